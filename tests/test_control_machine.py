"""State machine test of folds, snapshots and followers under faults."""

import asyncio
import sys

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import initialize
from hypothesis.stateful import invariant
from hypothesis.stateful import rule

from cassiawalk.clients import LogEntry
from cassiawalk.control import ConfigState
from cassiawalk.control import ControlFollower
from cassiawalk.control.commands import FORMAT_VERSION
from cassiawalk.control.commands import records
from cassiawalk.control.decoding import decode_entry
from cassiawalk.control.fold import fold_entries
from cassiawalk.control.snapshots import SnapshotStore
from cassiawalk.control.snapshots import decode_state
from cassiawalk.control.snapshots import encode_state
from cassiawalk.ids import Offset
from tests.control_support import ManualClock
from tests.control_support import MemoryLog
from tests.control_support import command
from tests.control_support import op

FOLLOWERS = 4
NAMES = ("a", "b", "c")


class ControlMachine(RuleBasedStateMachine):
    """Followers that read the log, peers or snapshots in any order.

    The model folds all records from the beginning. The state of a follower must always equal the
    model's state at the same offset, and its offset must never decrease.
    """

    def __init__(self) -> None:
        super().__init__()
        self.log = MemoryLog()
        self.clock = ManualClock()
        self.model = {Offset(-1): ConfigState()}
        self.followers = [self._new_follower() for _ in range(FOLLOWERS)]
        self.highest = [Offset(-1)] * FOLLOWERS
        self.commands = 0
        self.sent: list[bytes] = []
        self.accepted: set[bytes] = set()
        self.paused_writer_state: ConfigState | None = None

    def _new_follower(self) -> ControlFollower:
        return ControlFollower(log=self.log, clock=self.clock)

    @initialize()
    def publish_first_commands(self) -> None:
        """Fill the tables of verdicts and removals up to their limits."""
        for name in NAMES:
            self.publish("asha", "put", [name], None, False)
            self.publish("asha", "remove", [name], None, False)

    @rule(
        operator=st.sampled_from(["asha", "wanjiru"]),
        verb=st.sampled_from(["create", "put", "remove", "set"]),
        names=st.lists(st.sampled_from(NAMES), min_size=1, max_size=5),
        seen_by=st.sampled_from([None, *range(FOLLOWERS)]),
        lost=st.booleans(),
    )
    def publish(
        self, operator: str, verb: str, names: list[str], seen_by: int | None, lost: bool
    ) -> None:
        """An operator publishes commands; if ``lost``, each append is repeated."""
        expected = None if seen_by is None else self.followers[seen_by].state.revision
        for name in names:
            self.commands += 1
            fields = {} if verb == "remove" else {"reason": f"{operator}-{self.commands}"}
            change = op(verb, f"drain {name}", **fields)
            item = command(self.commands, change, expected=expected, operator=operator)
            payload = records.encode([item])
            self._append(payload)
            if lost:
                self._append(payload)

    @rule(index=st.integers(0, 200), garbage=st.binary(max_size=4))
    def repeat_an_old_command(self, index: int, garbage: bytes) -> None:
        """A duplicate arrives late, followed by an entry that isn't a command."""
        self._append(self.sent[index % len(self.sent)])
        self._append(garbage)

    @rule(index=st.integers(0, FOLLOWERS - 1))
    def read_log(self, index: int) -> None:
        """A host reads a batch."""
        asyncio.run(self.followers[index].read_log(wait_s=0))

    @rule(to=st.integers(0, FOLLOWERS - 1), source=st.integers(0, FOLLOWERS - 1))
    def adopt_from_peer(self, to: int, source: int) -> None:
        """A host adopts a peer's full state, which may be newer or older."""
        data = encode_state(self.followers[source].state)
        asyncio.run(self.followers[to].adopt(decode_state(data, version=FORMAT_VERSION)))

    @rule(
        to=st.integers(0, FOLLOWERS - 1),
        source=st.integers(0, FOLLOWERS - 1),
        skip=st.integers(-2, 2),
    )
    def relay_entries(self, to: int, source: int, skip: int) -> None:
        """A host gets entries from a peer, with overlaps or a gap."""
        after = Offset(max(-1, self.followers[to].state.through_offset + skip))
        entries = self.followers[source].recent.after(after)
        if entries:
            asyncio.run(self.followers[to].apply(entries, after=after))

    @rule(index=st.integers(0, FOLLOWERS - 1))
    def restart(self, index: int) -> None:
        """A host restarts with an empty state."""
        self.followers[index] = self._new_follower()
        self.highest[index] = Offset(-1)

    @rule(index=st.integers(0, FOLLOWERS - 1))
    def begin_snapshot(self, index: int) -> None:
        """A writer copies its state for a snapshot and is then paused."""
        self.paused_writer_state = self.followers[index].state

    @rule(lost=st.booleans())
    def finish_snapshot(self, lost: bool) -> None:
        """The paused writer resumes and publishes its copy."""
        if self.paused_writer_state is not None and self.paused_writer_state.through_offset >= 0:
            self.log.lose_answers = int(lost)
            asyncio.run(
                SnapshotStore(log=self.log).publish(
                    self.paused_writer_state, now_s=self.clock.wall()
                )
            )
            self.log.lose_answers = 0

    @rule(index=st.integers(0, FOLLOWERS - 1))
    def read_in_an_outage(self, index: int) -> None:
        """A host tries to read the log during an outage."""
        self.log.outage = True
        assert not asyncio.run(self.followers[index].read_log(wait_s=0))
        self.log.outage = False

    @rule(back=st.integers(0, 5))
    def expire(self, back: int) -> None:
        """Old records expire."""
        self.log.expire("control", self.log.end("control") - 1 - back)

    def _append(self, payload: bytes) -> None:
        offset = self.log.put("control", payload)
        entry = decode_entry(LogEntry(offset=offset, payload=payload))
        self.model[offset] = fold_entries(self.model[Offset(offset - 1)], [entry])
        if self.model[offset].revision > self.model[Offset(offset - 1)].revision:
            assert payload not in self.accepted, "a command took effect twice"
            self.accepted.add(payload)
        if payload not in self.sent:
            self.sent.append(payload)

    @invariant()
    def states_equal_the_model_and_never_go_back(self) -> None:
        """Compare every follower with the model at its offset."""
        for index, follower in enumerate(self.followers):
            through = follower.state.through_offset
            assert through >= self.highest[index]
            self.highest[index] = through
            assert follower.state == self.model[through]


@pytest.fixture(autouse=True)
def small_limits(monkeypatch: pytest.MonkeyPatch) -> None:
    module = sys.modules[fold_entries.__module__]
    for name, value in (("VERDICTS_KEPT", 4), ("REMOVALS_KEPT", 1), ("TRIM_BATCH", 1)):
        monkeypatch.setattr(module, name, value)


TestControlMachine = ControlMachine.TestCase
TestControlMachine.settings = settings(max_examples=200, stateful_step_count=50)
