"""A fleet of three hosts and four engines for tests of failing upstreams."""

import asyncio
import collections.abc as cabc
import pathlib
import typing as t

from standins.answers import answer_length
from standins.answers import full_answer
from standins.fleet import READER_TOKEN
from standins.fleet import Fleet
from tests.support import TOKEN_SHA256
from tests.support import Answer
from tests.support import send

LONG_TOKENS = 300
QUICK_TOKENS = 24
DOMAINS = ("north", "south")
HOSTS = ("host-0", "host-1", "host-2")
ENGINES = ("engine-0", "engine-1", "engine-2", "engine-3")
WAIT_S = 20.0

CONFIG = (
    "create pool models with type = engine",
    "create service enquiries with pool = models",
    f"create kind enquiries/dossier with mode = must_arrive, max_tokens = {LONG_TOKENS}",
    f"create kind enquiries/quick with mode = quick, max_tokens = {QUICK_TOKENS}",
    f'create workspace family with token_sha256 = "{TOKEN_SHA256}"',
)


async def start_fleet(
    fleet: Fleet,
    *,
    hosts: cabc.Sequence[str] = HOSTS,
    engine_args: cabc.Sequence[str] = ("--report-lag-s", "0.1"),
) -> None:
    """Start the hosts and the engines: 0 and 2 in domain north, 1 and 3 in south."""
    await asyncio.gather(
        *(
            fleet.start_upstream(
                name,
                role="engine",
                pool="models",
                failure_domain=DOMAINS[index % 2],
                args=engine_args,
            )
            for index, name in enumerate(ENGINES)
        )
    )
    await asyncio.gather(*(fleet.start_host(name, failure_domain=f"own-{name}") for name in hosts))
    await fleet.wait_ready()
    for statement in CONFIG:
        status, answer = await fleet.run_statement("host-0", statement)
        assert status == 200, answer
    await fleet.wait_revision(len(CONFIG))
    for host in hosts:
        await wait_nodes(fleet, host, len(hosts))
        await wait_upstreams(fleet, host, lambda views: len(views) == len(ENGINES))
        await wait_upstreams(fleet, host, lambda views: set(views.values()) == {"serving"})


async def upstreams(fleet: Fleet, host: str) -> dict[str, str]:
    """Return the state of each upstream as a host reports it."""
    _, answer = await fleet.run_statement(host, "show upstreams", token=READER_TOKEN)
    return {item["upstream"]: item["state"] for item in answer["rows"]}


async def wait_until(condition: cabc.Callable[[], cabc.Awaitable[bool]]) -> None:
    """Return once the condition holds."""
    async with asyncio.timeout(WAIT_S):
        while not await condition():
            await asyncio.sleep(0.02)


async def wait_nodes(fleet: Fleet, host: str, count: int) -> None:
    """Return once a host lists ``count`` hosts, itself included."""

    async def reached() -> bool:
        _, answer = await fleet.run_statement(host, "show nodes", token=READER_TOKEN)
        return len(answer["rows"]) == count

    await wait_until(reached)


async def wait_upstreams(
    fleet: Fleet, host: str, predicate: cabc.Callable[[dict[str, str]], bool]
) -> None:
    """Return once a host's view of the upstreams satisfies the predicate."""

    async def holds() -> bool:
        return predicate(await upstreams(fleet, host))

    await wait_until(holds)


async def wait_leaving(fleet: Fleet, *names: str, hosts: cabc.Sequence[str] = HOSTS) -> None:
    """Return once the hosts report the engines as leaving."""
    for host in hosts:
        await wait_upstreams(
            fleet, host, lambda views: all(views.get(name) == "leaving" for name in names)
        )


async def runs(fleet: Fleet, engine: str) -> list[str]:
    """Return the ids of all attempts that were started on an engine."""
    answer: dict[str, t.Any] = await fleet.get(fleet.standins[engine].url + "/runs")
    return list(answer["runs"])


async def wait_runs(fleet: Fleet, count: int, *engines: str) -> None:
    """Return once the engines together have started ``count`` attempts."""

    async def begun() -> bool:
        return sum([len(await runs(fleet, name)) for name in engines or ENGINES]) >= count

    await wait_until(begun)


async def busiest_engine(fleet: Fleet) -> str:
    """Return the engine that has started the most attempts."""
    counts = [(len(await runs(fleet, name)), name) for name in ENGINES]
    return max(counts)[1]


def long_prompts(count: int, *, tokens: int = 0) -> list[str]:
    """Return prompts whose answers are longer than two thirds of ``LONG_TOKENS``.

    :param tokens: number of words added to each prompt; no two prompts share a prefix of them.
    """
    texts = (
        f"review the dossier of family {index}" + f" {index}" * tokens for index in range(1000)
    )
    found = [text for text in texts if answer_length(text, LONG_TOKENS) > LONG_TOKENS * 2 / 3]
    return found[:count]


def start_dossiers(fleet: Fleet, prompts: cabc.Sequence[str]) -> list[asyncio.Task[Answer]]:
    """Send a dossier request for each prompt, to the hosts in round-robin order."""
    return [
        asyncio.create_task(
            send(fleet, HOSTS[index % len(HOSTS)], "enquiries/dossier", {"prompt": prompt})
        )
        for index, prompt in enumerate(prompts)
    ]


def assert_complete(prompts: cabc.Sequence[str], answers: cabc.Sequence[Answer]) -> None:
    """Check that each answer is the complete answer to its own prompt."""
    for prompt, answer in zip(prompts, answers, strict=True):
        assert answer.status == 200, answer.body
        assert answer.body["complete"] is True
        assert answer.body["answer"] == full_answer(prompt, LONG_TOKENS)


async def metric(fleet: Fleet, host: str, name: str) -> float:
    """Return the sum of a counter over its labels."""
    res = await fleet.http.get(f"http://{fleet.hosts[host].admin}/metrics")
    lines = (await res.content()).decode().splitlines()
    return sum(float(line.rpartition(" ")[2]) for line in lines if line.startswith(name + "{"))


def new_fleet(tmp_path: pathlib.Path) -> Fleet:
    """Return a fleet that is not started."""
    return Fleet(directory=tmp_path)
