"""At-most-once requests on real processes that are killed, paused or cut off from the log."""

import asyncio
import pathlib
import signal
import typing as t

import pytest

from standins.fleet import Fleet
from tests.support import TOKEN_SHA256
from tests.support import Answer
from tests.support import send

CONFIG = (
    "create pool vacancy with type = plain",
    "create service beds with pool = vacancy",
    'create service audits with pool = vacancy, look_up = "/outcomes"',
    'create kind beds/hold with mode = at_most_once, path = "/holds"',
    'create kind beds/list with mode = quick, path = "/listings"',
    'create kind audits/close with mode = at_most_once, path = "/closures"',
    f'create workspace family with token_sha256 = "{TOKEN_SHA256}"',
)
PLAIN = "plain-0"
DEADLINE_S = 1.0


class OnceFleet:
    """Hosts in front of one plain service."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet

    async def start(self, hosts: int) -> None:
        await self.fleet.start_upstream(PLAIN, role="plain", pool="vacancy", failure_domain="north")
        await asyncio.gather(
            *(
                self.fleet.start_host(f"host-{number}", failure_domain=f"domain-{number}")
                for number in range(hosts)
            )
        )
        await self.fleet.wait_ready()
        for statement in CONFIG:
            status, answer = await self.fleet.run_statement("host-0", statement)
            assert status == 200, answer
        await self.fleet.wait_revision(len(CONFIG))
        await self._wait_connected(hosts)

    async def _wait_connected(self, hosts: int) -> None:
        """Wait until every host lists all hosts and reaches them."""
        async with asyncio.timeout(20):
            for host in self.fleet.hosts:
                while True:
                    _, answer = await self.fleet.run_statement(host, "show nodes")
                    if len(answer["rows"]) == hosts:
                        break
                    await asyncio.sleep(0.05)

    async def hold(self, host: int, key: str, **options: t.Any) -> Answer:
        return await send(self.fleet, f"host-{host}", "beds/hold", {"bed": 1}, key=key, **options)

    async def close(self, host: int, key: str) -> Answer:
        return await send(self.fleet, f"host-{host}", "audits/close", {"lot": 1}, key=key)

    async def runs(self, key: str) -> int:
        runs = await self.fleet.get(f"{self.fleet.standins[PLAIN].url}/runs")
        return int(runs.get(key, 0))

    async def wait_held(self, standin: str, query: str) -> None:
        await self.fleet.get(f"{self.fleet.standins[standin].url}/held?{query}")

    async def retry_until_settled(self, host: int, key: str) -> Answer:
        """Repeat the request until its answer is final, as a caller does."""
        async with asyncio.timeout(20):
            while True:
                answer = await self.hold(host, key)
                if answer.status == 200 or "retry_after_s" not in answer.body:
                    return answer
                await asyncio.sleep(0.1)


@pytest.fixture
async def once_fleet(tmp_path: pathlib.Path) -> t.AsyncIterator[OnceFleet]:
    async with Fleet(directory=tmp_path) as fleet:
        yield OnceFleet(fleet)


async def kill_when_reached(
    once_fleet: OnceFleet, host: int, call: t.Awaitable[Answer], reached: t.Any
) -> None:
    """Kill a host when its call has reached a stage."""
    task = asyncio.ensure_future(call)
    await reached
    await once_fleet.fleet.hosts[f"host-{host}"].process.kill()
    await asyncio.gather(task, return_exceptions=True)


async def test_gateway_killed_at_each_stage(once_fleet: OnceFleet) -> None:
    fleet = once_fleet.fleet
    await once_fleet.start(5)

    await fleet.set_faults("log", hold=True, streams="once")
    reached = once_fleet.wait_held("log", "count=1")
    await kill_when_reached(once_fleet, 1, once_fleet.hold(1, "at-claim"), reached)
    await fleet.set_faults("log")
    again = await once_fleet.hold(0, "at-claim")
    ran = await once_fleet.runs("at-claim")
    assert (again.status == 200 and ran == 1) or (again.body["ran"] == "unknown" and ran == 0)

    await fleet.set_faults(PLAIN, hold_before_run=True)
    reached = once_fleet.wait_held(PLAIN, "gate=before&count=1")
    await kill_when_reached(once_fleet, 2, once_fleet.hold(2, "at-dispatch"), reached)
    again = await once_fleet.hold(0, "at-dispatch")
    assert (again.body["name"], again.body["ran"]) == ("outcome_unknown", "unknown")
    await fleet.set_faults(PLAIN)
    assert (await once_fleet.hold(0, "at-dispatch")).body["name"] == "outcome_unknown"
    assert await once_fleet.runs("at-dispatch") <= 1

    await fleet.set_faults(PLAIN, hold_after_run=True)
    reached = once_fleet.wait_held(PLAIN, "gate=after&count=1")
    await kill_when_reached(once_fleet, 3, once_fleet.close(3, "after-run"), reached)
    await fleet.set_faults(PLAIN)
    found = await once_fleet.close(0, "after-run")
    assert found.status == 200, found.body
    assert found.body["answer"]["run"] == 1
    assert await once_fleet.runs("after-run") == 1

    assert (await once_fleet.hold(4, "recorded")).status == 200
    await fleet.hosts["host-4"].process.kill()
    again = await once_fleet.retry_until_settled(0, "recorded")
    assert (again.status, again.body["recorded"]) == (200, True)
    assert await once_fleet.runs("recorded") == 1


async def test_paused_gateway_resumes_after_its_deadline(once_fleet: OnceFleet) -> None:
    fleet = once_fleet.fleet
    await once_fleet.start(3)
    await fleet.set_faults("log", hold=True, streams="once")
    headers = {"x-deadline-seconds": str(DEADLINE_S)}
    call = asyncio.create_task(once_fleet.hold(1, "paused", **headers))
    await once_fleet.wait_held("log", "count=1")
    fleet.hosts["host-1"].process.signal(signal.SIGSTOP)
    await fleet.set_faults("log")
    await asyncio.sleep(1.5 * DEADLINE_S)
    fleet.hosts["host-1"].process.signal(signal.SIGCONT)
    refused = await call
    assert refused.status in (503, 504), refused.body
    assert refused.body["ran"] == "not run"
    assert await once_fleet.runs("paused") == 0
    assert (await once_fleet.retry_until_settled(0, "paused")).status == 200
    assert await once_fleet.runs("paused") == 1


async def test_lost_log_answers_and_repeats_at_all_hosts(once_fleet: OnceFleet) -> None:
    fleet = once_fleet.fleet
    await once_fleet.start(3)
    for number in range(6):
        key = f"lost-{number}"
        fault = {"lose_answers": 2} if number % 2 else {"late_appends": 2, "hold_late": True}
        await fleet.set_faults("log", streams="once", **fault)
        answers = await asyncio.gather(*(once_fleet.hold(host, key) for host in (0, 1, 2, 0, 1, 2)))
        await fleet.set_faults("log")
        for answer in answers:
            seen = (answer.status, answer.body.get("name"), answer.body.get("detail"))
            may_retry = seen[1] in ("in_progress", "claim_unavailable", "outcome_unknown")
            assert seen[0] == 200 or (may_retry and "retry-after" in answer.headers), seen
        settled = await once_fleet.retry_until_settled(number % 3, key)
        assert settled.status == 200, settled.body
        assert await once_fleet.runs(key) == 1


async def test_log_outage_during_dispatch_and_shutdown(once_fleet: OnceFleet) -> None:
    fleet = once_fleet.fleet
    await once_fleet.start(3)
    await fleet.set_faults(PLAIN, hold_before_run=True)
    call = asyncio.create_task(once_fleet.hold(1, "outage"))
    await once_fleet.wait_held(PLAIN, "gate=before&count=1")
    await fleet.set_faults("log", outage=True, streams="once")
    await fleet.set_faults(PLAIN)
    assert (await call).status == 200

    refused = await once_fleet.hold(0, "new")
    assert refused.body["name"] == "claim_unavailable"
    assert refused.body["ran"] == "not run"
    assert "retry-after" in refused.headers
    assert await once_fleet.runs("new") == 0
    assert (await send(fleet, "host-0", "beds/list", {})).status == 200
    assert (await once_fleet.hold(1, "outage")).body["recorded"] is True

    stopping = fleet.hosts["host-1"].process
    stopping.signal(signal.SIGTERM)
    await stopping.wait_line(lambda line: line.get("message_type") == "daemon:draining")
    await fleet.set_faults("log")
    assert await stopping.handle.wait() == 0
    assert not [line for line in stopping.lines if line.get("message_type") == "once:unrecorded"]
    again = await once_fleet.retry_until_settled(2, "outage")
    assert (again.status, again.body["recorded"]) == (200, True)
    assert await once_fleet.runs("outage") == 1


async def test_sequencer_paused_while_another_takes_over(once_fleet: OnceFleet) -> None:
    fleet = once_fleet.fleet
    await once_fleet.start(3)
    keys = [f"taken-over-{number}" for number in range(12)]
    await asyncio.gather(*(once_fleet.retry_until_settled(2, f"before-{key}") for key in keys))
    paused = fleet.hosts["host-2"].process
    paused.signal(signal.SIGSTOP)
    first = await asyncio.gather(*(once_fleet.retry_until_settled(0, key) for key in keys))
    paused.signal(signal.SIGCONT)
    hosts = (0, 1, 2)
    again = await asyncio.gather(
        *(once_fleet.retry_until_settled(h, key) for h in hosts for key in keys)
    )
    assert [answer.status for answer in (*first, *again)] == [200] * (4 * len(keys))
    assert all(answer.body["recorded"] for answer in again)
    assert [await once_fleet.runs(key) for key in keys] == [1] * len(keys)
