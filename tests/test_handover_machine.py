import asyncio
import typing as t

import looptime
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import precondition
from hypothesis.stateful import rule

from cassiawalk.clients.cloud import ReclaimNotice
from cassiawalk.handover import HandoverOffer
from cassiawalk.handover import TargetSelector
from cassiawalk.ids import HostId
from cassiawalk.membership import LeavingSource
from cassiawalk.requests import RequestRecord
from tests.handover_callers import PartialAnswer
from tests.handover_callers import check_complete
from tests.handover_callers import read_to_the_end
from tests.handover_callers import until
from tests.handover_hosts import Cluster

DOMAINS = {"a": "1", "b": "1", "c": "2", "d": "2", "e": "3", "f": "3"}
MIN_STAYING_HOSTS = 2
ANSWERS_WAIT_S = 50.0
ANNOUNCE_WAIT_S = 0.1
HOSTS = st.sampled_from(sorted(DOMAINS))


class HandoverMachine(RuleBasedStateMachine):
    """Runs requests while hosts are reclaimed or killed and acknowledgements are lost."""

    def __init__(self) -> None:
        super().__init__()
        self.loop = looptime.new_event_loop(start=0)
        asyncio.set_event_loop(self.loop)
        self.cluster = Cluster(DOMAINS)
        self.leaving: set[str] = set()
        self.callers: dict[RequestRecord, asyncio.Task[PartialAnswer]] = {}
        self.partials: dict[RequestRecord, PartialAnswer] = {}
        self.lost: set[RequestRecord] = set()
        self._run(self.cluster.__aenter__())

    def _run(self, coro: t.Coroutine[t.Any, t.Any, t.Any]) -> t.Any:
        return self.loop.run_until_complete(coro)

    def _staying(self) -> list[str]:
        return [name for name in self.cluster.live() if name not in self.leaving]

    def _holders(self, record: RequestRecord) -> list[str]:
        """Return the live hosts that hold a request and have not handed it over."""
        holders = []
        for name in self.cluster.live():
            held = self.cluster.hosts[name].store.get(record.request_id)
            if held is not None and held.answer.handover is None:
                holders.append(name)
        return holders

    @rule(name=HOSTS, reader=HOSTS, tokens=st.sampled_from([60, 700, 900]))
    def submit(self, name: str, reader: str, tokens: int) -> None:
        """Accept a request and read its answer from any host."""
        if name not in self._staying() or reader not in self.cluster.live():
            return

        async def accept() -> None:
            record = self.cluster.submit(name, tokens=tokens)
            self.partials[record] = PartialAnswer()
            self._read(record, reader)

        self._run(accept())

    def _read(self, record: RequestRecord, reader: str) -> None:
        coro = read_to_the_end(self.cluster, record, self.partials[record], first=reader)
        self.callers[record] = asyncio.ensure_future(coro)

    @rule(reader=HOSTS)
    def reconnect(self, reader: str) -> None:
        """Cut all callers' connections; they continue to read from one host."""
        if reader not in self.cluster.live():
            return

        async def cut() -> None:
            for record, caller in self.callers.items():
                if caller.done() or record in self.lost:
                    continue
                caller.cancel()
                await asyncio.wait([caller])
                self._read(record, reader)

        self._run(cut())

    @rule(delay_s=st.sampled_from([0.001, 0.02, 0.5, 3.0]))
    def wait(self, delay_s: float) -> None:
        """Let time pass."""
        self._run(asyncio.sleep(delay_s))

    @precondition(lambda self: len(self._staying()) > MIN_STAYING_HOSTS)
    @precondition(lambda self: bool(self.callers))
    @rule(pick=st.integers(0, 99), notice_s=st.sampled_from([9.0, 12.0]))
    def reclaim(self, pick: int, notice_s: float) -> None:
        """Send a reclaim notice for a host that holds a request."""
        staying = self._staying()
        record = list(self.callers)[pick % len(self.callers)]
        holding = [name for name in self._holders(record) if name in staying]
        name = (holding or staying)[0]
        self.leaving.add(name)
        cluster = self.cluster

        async def notice() -> None:
            reclaim_s = cluster.clock.wall() + notice_s
            seq = len(cluster.cloud.sent_notices) + 1
            given = ReclaimNotice(seq=seq, host=HostId(name), reclaim_s=reclaim_s)
            cluster.cloud.sent_notices.append(given)
            for host in cluster.hosts.values():
                host.membership.mark_leaving(HostId(name), LeavingSource.CLOUD_NOTICE)

        self._run(notice())

    @precondition(lambda self: self.leaving - self.cluster.faults.dead)
    @rule(name=HOSTS, pick=st.integers(0, 3))
    def kill(self, name: str, pick: int) -> None:
        """End a leaving host once it is empty, or any host at once.

        Requests that only the latter held are lost, as with any unannounced failure.
        """
        staying = self._staying()
        leaving = sorted(self.leaving - self.cluster.faults.dead)
        name = name if pick == 0 else leaving[0]
        if name in self.cluster.faults.dead or staying in ([name], [name, *staying[1:2]]):
            return
        if name in staying and len(staying) <= MIN_STAYING_HOSTS:
            return

        async def end() -> None:
            if pick:
                store = self.cluster.hosts[name].store
                await until(lambda: not store.unfinished())
                await asyncio.sleep(ANNOUNCE_WAIT_S)
            for record, caller in self.callers.items():
                if self._holders(record) == [name] and not caller.done():
                    self.lost.add(record)
            self.cluster.kill(name)

        self._run(end())

    @precondition(lambda self: bool(self.callers) and len(self._staying()) > MIN_STAYING_HOSTS)
    @rule(pick=st.integers(0, 99), reader=HOSTS, lossy=st.booleans())
    def reclaim_and_reconnect(self, pick: int, reader: str, lossy: bool) -> None:
        """Reclaim a holder, end it once it is empty, and reconnect all callers to one host."""
        record = list(self.callers)[pick % len(self.callers)]
        holding = [name for name in self._holders(record) if name in self._staying()]
        if not holding:
            return
        if lossy:
            self.lose_acknowledgements(pick)
        self.reclaim(pick, 9.0)
        self._run(self._end_when_empty(holding[0]))
        self.reconnect(reader)

    async def _end_when_empty(self, name: str) -> None:
        store = self.cluster.hosts[name].store
        await until(lambda: not store.unfinished())
        await asyncio.sleep(ANNOUNCE_WAIT_S)
        self.cluster.kill(name)

    @precondition(lambda self: bool(self.callers))
    @rule(pick=st.integers(0, 99))
    def lose_acknowledgements(self, pick: int) -> None:
        """Lose the acknowledgements of the host to which one request would be offered first."""
        record = list(self.callers)[pick % len(self.callers)]
        for holder in self._holders(record):
            targets = self.cluster.hosts[holder].targets

            async def first(targets: TargetSelector = targets) -> list[HostId]:
                return targets.candidates(record.request_id)[:1]

            for name in self._run(first()):
                self.cluster.faults.lose_replies = {(name, HandoverOffer)}

    @rule()
    def keep_acknowledgements(self) -> None:
        """Stop losing acknowledgements."""
        self.cluster.faults.lose_replies = set()

    def teardown(self) -> None:
        """Check that every caller has its complete answer and that at most one host runs it."""
        try:
            self._run(self._check())
        finally:
            self._run(self.cluster.__aexit__())
            self.loop.close()

    async def _check(self) -> None:
        for record, caller in self.callers.items():
            if record in self.lost:
                caller.cancel()
        kept = [record for record in self.callers if record not in self.lost]
        if kept:
            await asyncio.wait([self.callers[record] for record in kept], timeout=ANSWERS_WAIT_S)
        for record in kept:
            assert len(self.cluster.running(record.request_id)) <= 1, record.request_id
            check_complete(self.callers[record].result(), record)


TestHandoverMachine = HandoverMachine.TestCase
TestHandoverMachine.settings = settings(max_examples=40, stateful_step_count=16)
