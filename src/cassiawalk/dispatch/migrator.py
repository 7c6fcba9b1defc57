"""Moves streams away from upstreams that leave."""

import asyncio
import collections.abc as cabc
import contextlib

import eliot

from cassiawalk.admission import Scheduler
from cassiawalk.app import Component
from cassiawalk.clock import Clock
from cassiawalk.dispatch.connector import Connector
from cassiawalk.dispatch.migration import MigrationAction
from cassiawalk.dispatch.migration import StreamState
from cassiawalk.dispatch.migration import TransferRates
from cassiawalk.dispatch.migration import plan_migrations
from cassiawalk.dispatch.placement import Placement
from cassiawalk.dispatch.placement import RunningStream
from cassiawalk.ids import RequestId
from cassiawalk.requests import RequestRecord
from cassiawalk.results import Refusal
from cassiawalk.routing import UpstreamState
from cassiawalk.routing import UpstreamTable
from cassiawalk.routing import UpstreamView

UNKNOWN_NOTICE_S = 3.0
DEFAULT_TOKEN_INTERVAL_S = 0.036
FIRST_BYTES_PER_TOKEN = 4096.0
FIRST_BYTES_PER_S = 100e6
RATE_GAIN = 0.3
LATEST_MOVE_S = 1.0


def estimate_tokens(text: str) -> int:
    """Return about how many tokens a text has."""
    return len(text.split())


class StreamMigrator(Component):
    """Looks for the next place of each stream on a leaving upstream, while the stream goes on.

    The old attempt is read until the new place is ready, so that its caller sees no gap; a stream
    that ends meanwhile is not moved.
    """

    def __init__(
        self, *, table: UpstreamTable, scheduler: Scheduler, connector: Connector, clock: Clock
    ) -> None:
        self._table = table
        self._scheduler = scheduler
        self._connector = connector
        self._clock = clock
        self._running: dict[RequestId, RunningStream] = {}
        self._bytes_per_token = FIRST_BYTES_PER_TOKEN
        self._bytes_per_s = FIRST_BYTES_PER_S
        table.add_leaving_listener(self._plan)

    @contextlib.asynccontextmanager
    async def watch(
        self, record: RequestRecord, view: UpstreamView
    ) -> cabc.AsyncIterator[RunningStream]:
        """Move the stream in the body if its upstream leaves.

        A move that the body did not take is given up, and its slot given back.
        """
        stream = RunningStream(record=record, view=view)
        self._running[record.request_id] = stream
        try:
            if view.state is UpstreamState.LEAVING:
                self._plan(view)
            yield stream
        finally:
            del self._running[record.request_id]
            if not stream.taken:
                await self._abandon(stream)

    async def take(self, stream: RunningStream) -> Placement | Refusal | None:
        """Return the next place of a stream that has ended; None if it was not to move."""
        if stream.move is None:
            return None
        stream.hurry.set()
        place = await stream.move
        stream.taken = True
        return place

    async def _abandon(self, stream: RunningStream) -> None:
        """Give up a stream's move, and its slot if it has one."""
        if stream.move is None:
            return
        stream.move.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            place = await stream.move
            if isinstance(place, Placement):
                self._scheduler.release(place.lease)

    def _plan(self, view: UpstreamView) -> None:
        """Decide about all streams on an upstream and start their moves."""
        streams = {rid: s for rid, s in self._running.items() if s.view is view and s.move is None}
        if not streams:
            return
        report = view.report
        interval_s = report.token_interval_s if report is not None else 0.0
        notice_s = self._notice_s(view)
        moves = plan_migrations(
            [_state(stream.record) for stream in streams.values()],
            notice_s=notice_s,
            token_interval_s=interval_s or DEFAULT_TOKEN_INTERVAL_S,
            rates=self._rates(),
        )
        # Transfers share the way out of the host, so they go one after the other.
        turn = asyncio.Lock()
        for move in moves:
            eliot.log_message(
                message_type="move:planned",
                request_id=move.request_id,
                upstream=view.upstream_id,
                action=move.action.value,
            )
            stream = streams[move.request_id]
            stream.reclaim_s = self._clock.wall() + notice_s
            stream.move = self.spawn(
                self._move(stream, move.action, turn), name=f"move-{move.request_id}"
            )

    async def _move(
        self, stream: RunningStream, action: MigrationAction, turn: asyncio.Lock
    ) -> Placement | Refusal:
        if action is MigrationAction.FINISH:
            await self._until_late(stream)
        kv: bytes | None = None
        if action is MigrationAction.TRANSFER:
            async with turn:
                kv = None if stream.hurry.is_set() else await self._export(stream)
        lease = await self._scheduler.acquire(
            stream.record, exclude=frozenset({stream.view.upstream_id})
        )
        if isinstance(lease, Refusal):
            return lease
        place = Placement(lease=lease)
        try:
            if kv is not None:
                place = await self._import(lease.upstream, kv, place)
        except BaseException:
            self._scheduler.release(lease)
            raise
        stream.interrupt()
        return place

    async def _until_late(self, stream: RunningStream) -> None:
        """Return when a stream that should have finished has ended early or has little time."""
        wait_s = stream.reclaim_s - LATEST_MOVE_S - self._clock.wall()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(max(0.0, wait_s)):
                await stream.hurry.wait()

    async def _export(self, stream: RunningStream) -> bytes | None:
        """Return the KV cache, or None if it can't be had before the upstream goes."""
        began = self._clock.monotonic()
        limit_s = max(0.0, stream.reclaim_s - LATEST_MOVE_S / 2 - self._clock.wall())
        tokens = _state(stream.record).stake_tokens
        engine = self._connector.engine(stream.view)
        try:
            async with asyncio.timeout(limit_s):
                blob = await engine.export_kv(stream.record.request_id)
        except TimeoutError:
            return None
        if blob is not None:
            self._note_transfer(len(blob), tokens, self._clock.monotonic() - began)
        return blob

    async def _import(self, target: UpstreamView, blob: bytes, place: Placement) -> Placement:
        handle = await self._connector.engine(target).import_kv(blob)
        if handle is None:
            return place
        return Placement(lease=place.lease, kv_handle=handle)

    def _note_transfer(self, size: int, tokens: int, took_s: float) -> None:
        per_token = size / max(1, tokens)
        per_s = size / max(1e-3, took_s)
        self._bytes_per_token += RATE_GAIN * (per_token - self._bytes_per_token)
        self._bytes_per_s += RATE_GAIN * (per_s - self._bytes_per_s)

    def _rates(self) -> TransferRates:
        return TransferRates(bytes_per_token=self._bytes_per_token, bytes_per_s=self._bytes_per_s)

    def _notice_s(self, view: UpstreamView) -> float:
        reclaim_s = self._table.reclaim_s(view)
        if reclaim_s is None:
            return UNKNOWN_NOTICE_S
        return reclaim_s - self._clock.wall()


def _state(record: RequestRecord) -> StreamState:
    return StreamState(
        request_id=record.request_id,
        stake_tokens=estimate_tokens(record.prompt) + record.tokens,
        remaining_tokens=max(0, record.kind.max_tokens - record.tokens),
        weight=record.kind.weight,
    )
