"""Distributes the host list, leaving marks and notes from the pollers to all other hosts."""

import asyncio
import collections.abc as cabc
import contextlib
import dataclasses

from cassiawalk.app import Component
from cassiawalk.clients import CloudApi
from cassiawalk.clients import HostEntry
from cassiawalk.clock import Clock
from cassiawalk.errors import WireError
from cassiawalk.ids import HostId
from cassiawalk.membership import LeavingMark
from cassiawalk.membership import LeavingSource
from cassiawalk.membership import Membership
from cassiawalk.membership import rank
from cassiawalk.peer.links import PeerFailure
from cassiawalk.peer.links import PeerLinks
from cassiawalk.peer.messages import StreamPart
from cassiawalk.peer.messages import messages
from cassiawalk.peer.notes import Note
from cassiawalk.peer.notes import NoteKey
from cassiawalk.peer.notes import NoteSharing
from cassiawalk.peer.notestore import NoteStore
from cassiawalk.wire import from_plain
from cassiawalk.wire import to_plain

NOTICE_POLL_WAIT_S = 10.0
NOTICE_PAUSE_S = 0.05
ROLE_CHECK_INTERVAL_S = 1.0
HEARTBEAT_INTERVAL_S = 2.0
HEARTBEAT_TIMEOUT_S = 5.0
RETRY_DELAY_S = 0.5
CALL_TIMEOUT_S = 2.0
_OWN_SOURCES = frozenset(LeavingSource) - {LeavingSource.PEER}


@messages.register("share")
@dataclasses.dataclass(frozen=True, kw_only=True)
class ShareCall:
    """Sends a poller the marks and notes that originate at the sender."""

    marks: tuple[LeavingMark, ...] = ()
    notes: tuple[Note, ...] = ()


@messages.register("share-reply")
@dataclasses.dataclass(frozen=True, kw_only=True)
class ShareReply:
    """Confirms that the marks and notes were merged."""


@messages.register("feed")
@dataclasses.dataclass(frozen=True, kw_only=True)
class FeedCall:
    """Subscribes to the host list, marks and notes: all of them first, then their changes."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class FeedUpdate:
    """Changes since the previous update; an empty update is a heartbeat."""

    entries: tuple[HostEntry, ...] = ()
    removed: tuple[HostId, ...] = ()
    marks: tuple[LeavingMark, ...] = ()
    notes: tuple[Note, ...] = ()


_HEARTBEAT = StreamPart(item={})


class MembershipFeed(Component, NoteSharing):
    """Polls the cloud's reclaim notices, or follows a host that does.

    Marks and notes that originate at this host are sent to the pollers at once; the pollers send
    them to all other hosts.
    """

    def __init__(
        self,
        *,
        host: HostId,
        membership: Membership,
        links: PeerLinks,
        note_store: NoteStore,
        cloud: CloudApi,
        clock: Clock,
    ) -> None:
        self._host = host
        self._membership = membership
        self._links = links
        self._note_store = note_store
        self._cloud = cloud
        self._clock = clock
        self._last_notice_seq = 0
        self._changed = asyncio.Event()
        self._acknowledged: dict[HostId, set[LeavingMark | Note]] = {}
        self._own_notes: dict[NoteKey, Note] = {}

    async def start(self) -> None:
        """Start polling or following."""
        self._membership.add_listener(self._signal_change)
        self._note_store.add_listener(self._note_changed)
        self.keep_running(self._poll_notices, name="cloud-notices")
        self.keep_running(self._push_updates, name="leaving-marks")
        self.keep_running(self._follow, name="membership-feed")

    async def handle_share(self, call: ShareCall) -> ShareReply:
        """Merge the marks and notes of a peer."""
        for mark in call.marks:
            self._merge_mark(mark)
        for note in call.notes:
            self._note_store.merge(note)
        return ShareReply()

    async def share(self, notes: cabc.Sequence[Note]) -> None:
        """Store notes and return once the reachable pollers have them."""
        for note in notes:
            self._own_notes[note.key] = note
            self._note_store.merge(note)
        await self._send_to_pollers()

    async def serve(self, _: FeedCall) -> cabc.AsyncIterator[StreamPart]:
        """Yield updates for a follower, and a heartbeat after each interval without a change."""
        sent_entries: cabc.Mapping[HostId, HostEntry] = {}
        sent_marks: set[LeavingMark] = set()
        sent_notes: dict[NoteKey, Note] = {}
        while True:
            changed = self._changed
            entries = self._membership.all_entries()
            marks = set(self._membership.leaving_marks())
            notes = self._note_store.notes()
            update = FeedUpdate(
                entries=tuple(e for h, e in entries.items() if sent_entries.get(h) is not e),
                removed=tuple(h for h in sent_entries if h not in entries),
                marks=tuple(marks - sent_marks),
                notes=tuple(n for key, n in notes.items() if sent_notes.get(key) != n),
            )
            yield StreamPart(item=to_plain(update))
            sent_entries, sent_marks, sent_notes = entries, marks, notes
            while not await self._is_set_within(changed, HEARTBEAT_INTERVAL_S):
                yield _HEARTBEAT

    @staticmethod
    async def _is_set_within(event: asyncio.Event, limit_s: float) -> bool:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(limit_s):
                await event.wait()
        return event.is_set()

    def _signal_change(self) -> None:
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def _merge_mark(self, mark: LeavingMark) -> None:
        self._membership.merge_mark(dataclasses.replace(mark, source=LeavingSource.PEER))

    async def _push_updates(self) -> None:
        """Send this host's own marks and notes to each poller until the poller confirms them."""
        while True:
            changed = self._changed
            await self._send_to_pollers()
            await self._is_set_within(changed, ROLE_CHECK_INTERVAL_S)

    async def _send_to_pollers(self) -> None:
        now_s = self._clock.wall()
        self._own_notes = {k: n for k, n in self._own_notes.items() if n.until_s > now_s}
        marks = [m for m in self._membership.leaving_marks() if m.source in _OWN_SOURCES]
        own: set[LeavingMark | Note] = {*marks, *self._own_notes.values()}
        pollers = [host for host in self._membership.pollers() if host != self._host]
        self._acknowledged = {host: self._acknowledged.get(host, set()) & own for host in pollers}
        await asyncio.gather(*(self._send_new(poller, own) for poller in pollers))

    async def _send_new(self, poller: HostId, own: set[LeavingMark | Note]) -> None:
        acknowledged = self._acknowledged[poller]
        new = own - acknowledged
        if not new:
            return
        call = ShareCall(
            marks=tuple(item for item in new if isinstance(item, LeavingMark)),
            notes=tuple(item for item in new if isinstance(item, Note)),
        )
        reply = await self._links.call(poller, call, ShareReply, timeout_s=CALL_TIMEOUT_S)
        if isinstance(reply, ShareReply):
            acknowledged.update(new)

    def _note_changed(self, _: Note) -> None:
        self._signal_change()

    async def _poll_notices(self) -> None:
        while True:
            if not self._membership.is_polling:
                await self._clock.sleep(ROLE_CHECK_INTERVAL_S)
                continue
            notices = await self._cloud.notices(
                after=self._last_notice_seq, wait_s=NOTICE_POLL_WAIT_S
            )
            if notices is None:
                await self._clock.sleep(RETRY_DELAY_S)
                continue
            for notice in notices:
                self._last_notice_seq = max(self._last_notice_seq, notice.seq)
                self._membership.apply_notice(notice)
            # An API that ignores ``wait_s`` must not be called in a busy loop.
            await self._clock.sleep(NOTICE_PAUSE_S)

    async def _follow(self) -> None:
        while True:
            pollers = [h for h in self._membership.pollers() if h != self._host]
            if self._host in self._membership.pollers() or not pollers:
                await self._clock.sleep(ROLE_CHECK_INTERVAL_S)
                continue
            await self._follow_one(rank(self._host, pollers)[0])
            await self._clock.sleep(RETRY_DELAY_S)

    async def _follow_one(self, poller: HostId) -> None:
        """Apply a poller's updates until it fails or is no longer a poller."""
        entries: dict[HostId, HostEntry] = {}
        items = self._links.stream(poller, FeedCall())
        with contextlib.suppress(TimeoutError, StopAsyncIteration, WireError):
            async with contextlib.aclosing(items):
                while poller in self._membership.pollers():
                    async with asyncio.timeout(HEARTBEAT_TIMEOUT_S):
                        item = await anext(items)
                    if isinstance(item, PeerFailure):
                        break
                    self._apply(poller, entries, from_plain(FeedUpdate, item))
                return
        self._membership.mark_unreachable(poller)

    def _apply(self, poller: HostId, entries: dict[HostId, HostEntry], update: FeedUpdate) -> None:
        self._membership.record_feed_update()
        for host in update.removed:
            entries.pop(host, None)
        entries.update({entry.host: entry for entry in update.entries})
        # A list that lacks the poller or this host is older than the one this host already has.
        recent = poller in entries and self._host in entries
        if recent and (update.entries or update.removed):
            self._membership.replace_entries(entries)
        for mark in update.marks:
            self._merge_mark(mark)
        for note in update.notes:
            self._note_store.merge(note)
