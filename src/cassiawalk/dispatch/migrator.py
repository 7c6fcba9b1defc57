"""Migrates streams in flight off upstreams that are leaving."""

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

DEFAULT_NOTICE_S = 3.0
DEFAULT_TOKEN_INTERVAL_S = 0.036
INITIAL_BYTES_PER_TOKEN = 4096.0
INITIAL_BYTES_PER_S = 100e6
RATE_SMOOTHING = 0.3
MIGRATION_LEAD_S = 1.0


def estimate_tokens(text: str) -> int:
    """Return an estimate of a text's token count: its number of words."""
    return len(text.split())


class StreamMigrator(Component):
    """Finds a new upstream for each stream on a leaving upstream while the stream continues.

    The old attempt is read until a slot for the next one is ready, so that the caller sees no
    gap. A stream that ends before that is not migrated.
    """

    def __init__(
        self, *, table: UpstreamTable, scheduler: Scheduler, connector: Connector, clock: Clock
    ) -> None:
        self._table = table
        self._scheduler = scheduler
        self._connector = connector
        self._clock = clock
        self._running: dict[RequestId, RunningStream] = {}
        self._bytes_per_token = INITIAL_BYTES_PER_TOKEN
        self._bytes_per_s = INITIAL_BYTES_PER_S
        table.add_leaving_listener(self._plan)

    @contextlib.asynccontextmanager
    async def watch(
        self, record: RequestRecord, view: UpstreamView
    ) -> cabc.AsyncIterator[RunningStream]:
        """Migrate the stream that the body reads if its upstream leaves.

        If the body exits without calling ``take``, the migration is cancelled and its slot
        released.
        """
        stream = RunningStream(record=record, view=view)
        self._running[record.request_id] = stream
        try:
            if view.state is UpstreamState.LEAVING:
                self._plan(view)
            yield stream
        finally:
            del self._running[record.request_id]
            if not stream.consumed:
                await self._abandon(stream)

    async def take(self, stream: RunningStream) -> Placement | Refusal | None:
        """Return the placement of a stream's next attempt, or None if none was planned.

        Call it once the current attempt has ended; it waits until the placement is ready.
        """
        if stream.migration is None:
            return None
        stream.ended.set()
        placement = await stream.migration
        stream.consumed = True
        return placement

    async def _abandon(self, stream: RunningStream) -> None:
        """Cancel a stream's migration and release its slot if it has one."""
        if stream.migration is None:
            return
        stream.migration.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            placement = await stream.migration
            if isinstance(placement, Placement):
                self._scheduler.release(placement.lease)

    def _plan(self, view: UpstreamView) -> None:
        """Plan the migrations of all streams on an upstream and start them."""
        streams = {
            rid: s for rid, s in self._running.items() if s.view is view and s.migration is None
        }
        if not streams:
            return
        report = view.report
        interval_s = report.token_interval_s if report is not None else 0.0
        notice_s = self._notice_s(view)
        decisions = plan_migrations(
            [_stream_state(stream.record) for stream in streams.values()],
            notice_s=notice_s,
            token_interval_s=interval_s or DEFAULT_TOKEN_INTERVAL_S,
            rates=self._rates(),
        )
        # Transfers share the upstream's outgoing bandwidth, so they run one at a time.
        transfer_lock = asyncio.Lock()
        for decision in decisions:
            eliot.log_message(
                message_type="move:planned",
                request_id=decision.request_id,
                upstream=view.upstream_id,
                action=decision.action.value,
            )
            stream = streams[decision.request_id]
            stream.reclaim_s = self._clock.wall() + notice_s
            stream.migration = self.spawn(
                self._migrate(stream, decision.action, transfer_lock),
                name=f"move-{decision.request_id}",
            )

    async def _migrate(
        self, stream: RunningStream, action: MigrationAction, transfer_lock: asyncio.Lock
    ) -> Placement | Refusal:
        if action is MigrationAction.FINISH:
            await self._wait_for_end(stream)
        kv: bytes | None = None
        if action is MigrationAction.TRANSFER:
            async with transfer_lock:
                kv = None if stream.ended.is_set() else await self._export(stream)
        lease = await self._scheduler.acquire(
            stream.record, exclude=frozenset({stream.view.upstream_id})
        )
        if isinstance(lease, Refusal):
            return lease
        placement = Placement(lease=lease)
        try:
            if kv is not None:
                placement = await self._import(lease.upstream, kv, placement)
        except BaseException:
            self._scheduler.release(lease)
            raise
        stream.interrupt()
        return placement

    async def _wait_for_end(self, stream: RunningStream) -> None:
        """Return when a stream's attempt has ended or too little time is left to wait for it."""
        wait_s = stream.reclaim_s - MIGRATION_LEAD_S - self._clock.wall()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(max(0.0, wait_s)):
                await stream.ended.wait()

    async def _export(self, stream: RunningStream) -> bytes | None:
        """Return the stream's KV cache, or None if the export fails or takes too long."""
        began = self._clock.monotonic()
        limit_s = max(0.0, stream.reclaim_s - MIGRATION_LEAD_S / 2 - self._clock.wall())
        tokens = _stream_state(stream.record).context_tokens
        engine = self._connector.engine(stream.view)
        try:
            async with asyncio.timeout(limit_s):
                blob = await engine.export_kv(stream.record.request_id)
        except TimeoutError:
            return None
        if blob is not None:
            self._note_transfer(len(blob), tokens, self._clock.monotonic() - began)
        return blob

    async def _import(self, target: UpstreamView, blob: bytes, placement: Placement) -> Placement:
        handle = await self._connector.engine(target).import_kv(blob)
        if handle is None:
            return placement
        return Placement(lease=placement.lease, kv_handle=handle)

    def _note_transfer(self, size: int, tokens: int, duration_s: float) -> None:
        per_token = size / max(1, tokens)
        per_s = size / max(1e-3, duration_s)
        self._bytes_per_token += RATE_SMOOTHING * (per_token - self._bytes_per_token)
        self._bytes_per_s += RATE_SMOOTHING * (per_s - self._bytes_per_s)

    def _rates(self) -> TransferRates:
        return TransferRates(bytes_per_token=self._bytes_per_token, bytes_per_s=self._bytes_per_s)

    def _notice_s(self, view: UpstreamView) -> float:
        reclaim_s = self._table.reclaim_s(view)
        if reclaim_s is None:
            return DEFAULT_NOTICE_S
        return reclaim_s - self._clock.wall()


def _stream_state(record: RequestRecord) -> StreamState:
    return StreamState(
        request_id=record.request_id,
        context_tokens=estimate_tokens(record.prompt) + record.tokens,
        remaining_tokens=max(0, record.kind.max_tokens - record.tokens),
        weight=record.kind.weight,
    )
