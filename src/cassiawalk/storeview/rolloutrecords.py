"""Reads and writes the records of rollouts in the store."""

import collections.abc as cabc
import random

import cbor2
import eliot

from cassiawalk.clients import KeyedLog
from cassiawalk.clients import KeyedRecord
from cassiawalk.clients import ReadFailed
from cassiawalk.clock import Clock
from cassiawalk.duties.rollouts import StateRecords
from cassiawalk.errors import WireError
from cassiawalk.rollouts.book import RolloutBook
from cassiawalk.rollouts.types import RolloutState
from cassiawalk.storeview.follow import ReadOptions
from cassiawalk.storeview.follow import StreamFollower
from cassiawalk.storeview.source import RolloutSource
from cassiawalk.wire import from_plain
from cassiawalk.wire import load
from cassiawalk.wire import to_plain


def decode_state(record: KeyedRecord) -> RolloutState | None:
    """Return the state in a record, or None if there is none; log an unreadable one."""
    if record.value is None:
        return None
    try:
        return from_plain(RolloutState, load(record.value))
    except (WireError, AttributeError, TypeError, ValueError) as exc:
        eliot.log_message(message_type="rollout:unreadable", key=record.key, reason=str(exc))
        return None


class RolloutFollower(StreamFollower):
    """Follows the states of rollouts, for hosts that no other host can tell of them."""

    def __init__(
        self,
        *,
        log: KeyedLog,
        options: ReadOptions,
        book: RolloutBook,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        super().__init__(log=log, options=options, clock=clock, rng=rng)
        self._book = book
        self._reads = 0

    @property
    def loaded(self) -> bool:
        """Return whether the complete list has been read."""
        return self._next is not None

    def apply_record(self, record: KeyedRecord) -> None:
        """Take over the state in a record."""
        state = decode_state(record)
        if state is not None and self._book.offer_state(state):
            self._reads += 1

    def version(self) -> int:
        """Return the number of states that were new here."""
        return self._reads


class RolloutRecords(StateRecords):
    """Reads and writes the records for the holder of the duties."""

    def __init__(self, *, log: KeyedLog, source: RolloutSource) -> None:
        self._log = log
        self._source = source

    async def read(self) -> cabc.Sequence[RolloutState] | None:
        """Return the stored states, or None if the store does not answer."""
        found = await self._log.newest(stream=self._source.state_stream)
        if isinstance(found, ReadFailed):
            return None
        states = [decode_state(record) for record in found.records]
        return [state for state in states if state is not None]

    async def put_state(self, state: RolloutState) -> bool:
        """Write a state; return whether it is known to be in the store."""
        return await self._log.put(
            stream=self._source.state_stream,
            key=state.service,
            value=cbor2.dumps(to_plain(state)),
        )

    async def put_status(self, state: RolloutState) -> bool:
        """Write the status that the platform acts on; return whether it is known to be stored."""
        key, value = self._source.encode_status(state)
        return await self._log.put(stream=self._source.status_stream, key=key, value=value)
