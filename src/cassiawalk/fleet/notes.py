"""Replicates notes between hosts, over the same links as heartbeats."""

import asyncio
import collections.abc as cabc
import functools

import eliot

from cassiawalk.app import Component
from cassiawalk.clock import Clock
from cassiawalk.fleet.heartbeat import Heartbeat
from cassiawalk.fleet.heartbeats import HeartbeatExchange
from cassiawalk.fleet.noteoutbox import NoteOutbox
from cassiawalk.fleet.noteoutbox import Receipt
from cassiawalk.fleet.notepages import MAX_WANTED
from cassiawalk.fleet.notepages import NotesCall as NotesCall
from cassiawalk.fleet.notepages import NotesReply as NotesReply
from cassiawalk.fleet.notepages import page_of
from cassiawalk.fleet.notepages import urgency
from cassiawalk.ids import HostId
from cassiawalk.peer import Note
from cassiawalk.peer import NoteSharing
from cassiawalk.peer import NoteStore
from cassiawalk.peer import PeerLinks
from cassiawalk.peer.notes import VERDICTS
from cassiawalk.peer.notesums import key_hash

CALL_TIMEOUT_S = 0.5
PAGE_TIMEOUT_S = 2.0  # a page of a comparison is less urgent, and slow links take longer
DIFFERENCE_TOLERANCE_S = 1.0  # two heartbeat intervals, in which notes are still under way
# The host with the lower id compares; the other one does if that one has not, as its calls may
# not get through.
COMPARE_BACK_AFTER_S = 3.0
PAGE_PAUSE_S = 0.05
MAX_COMPARISONS = 4  # that send pages at once, at a hub with many hosts that lack notes
PAGES_KEPT = 8  # encoded pages that may still be sent to further hosts


class NoteExchange(Component, NoteSharing):
    """Sends new notes at once to the hosts that this one exchanges heartbeats with.

    A hub passes on what is new to it. Heartbeats carry a digest of the sender's notes; hosts whose
    digests differ for long compare the checksums of their notes and send each other, page by page,
    what one of them lacks. This replaces lost messages and informs hosts that were restarted or cut
    off. Each host compares with another at most once at a time.
    """

    def __init__(
        self,
        *,
        host: HostId,
        store: NoteStore,
        heartbeats: HeartbeatExchange,
        links: PeerLinks,
        clock: Clock,
    ) -> None:
        self._host = host
        self._store = store
        self._heartbeats = heartbeats
        self._links = links
        self._clock = clock
        self._differs_since: dict[HostId, float] = {}
        self._comparing: set[HostId] = set()
        self._introduced: dict[HostId, str] = {}
        self._page_turns = asyncio.Semaphore(MAX_COMPARISONS)
        self._outboxes: dict[HostId, NoteOutbox] = {}
        self._call_with = functools.lru_cache(maxsize=PAGES_KEPT)(self._new_call)

    async def share(self, notes: cabc.Sequence[Note]) -> None:
        """Store notes and return once the live partners have them or failed to answer."""
        new = [note for note in notes if self._store.merge(note)]
        await self._send(new, self._heartbeats.partners()).wait()

    async def handle(self, call: NotesCall) -> NotesReply:
        """Merge the notes of another host; a hub passes on those that are new.

        Of notes that this host had missed, a hub passes on only verdicts: the others are compared.
        """
        new = [note for note in call.notes if self._store.merge(note)]
        if call.missed or call.wanted:
            if call.host < self._host:
                self._differs_since[call.host] = self._clock.monotonic()
            new = [note for note in new if note.topic in VERDICTS]
        if new and self._heartbeats.is_hub and not self._heartbeats.full_mesh:
            self._send(new, [host for host in self._heartbeats.partners() if host != call.host])
        if call.sums:
            return self._differences(call.sums)
        if call.wanted:
            return NotesReply(notes=page_of(self._found(call.wanted)))
        if not call.complete:
            return NotesReply()
        theirs = {(note.key, note.at_s) for note in call.notes}
        lacking = [n for n in self._store.notes().values() if (n.key, n.at_s) not in theirs]
        return NotesReply(notes=page_of(sorted(lacking, key=urgency)))

    def digest(self) -> str:
        """Return a digest of all notes; empty if there are none."""
        self._store.drop_expired()
        return "" if self._store.is_empty() else self._store.sums.digest()

    def compare(self, heartbeat: Heartbeat) -> None:
        """Compare notes with a host whose notes have differed for some time.

        A process that has none yet gets the most urgent page at once.
        """
        host = heartbeat.host
        if heartbeat.notes is None or heartbeat.notes == self.digest():
            self._differs_since.pop(host, None)
            return
        now = self._clock.monotonic()
        since = self._differs_since.setdefault(host, now)
        if host in self._comparing:
            return
        after_s = DIFFERENCE_TOLERANCE_S if self._host < host else COMPARE_BACK_AFTER_S
        if not heartbeat.notes and self._introduced.get(host) != heartbeat.incarnation:
            self._introduced[host] = heartbeat.incarnation
            self._comparing.add(host)
            self.spawn(self._introduce(host), name=f"first-notes-{host}")
        elif now - since >= after_s:
            self._comparing.add(host)
            self.spawn(self._compare(host), name=f"notes-{host}")

    async def _introduce(self, host: HostId) -> None:
        page = page_of(sorted(self._store.notes().values(), key=urgency))
        call = NotesCall(host=self._host, notes=page, missed=True)
        try:
            await self._links.call(host, call, NotesReply, timeout_s=CALL_TIMEOUT_S)
        finally:
            self._comparing.discard(host)

    async def _compare(self, host: HostId) -> None:
        try:
            await self._exchange(host)
        finally:
            self._comparing.discard(host)
            self._differs_since[host] = self._clock.monotonic()

    async def _exchange(self, host: HostId) -> None:
        """Send what another host lacks, and ask for what this one lacks."""
        self._store.drop_expired()
        call = NotesCall(host=self._host, sums=self._store.sums.sums())
        reply = await self._links.call(host, call, NotesReply, timeout_s=CALL_TIMEOUT_S)
        if not isinstance(reply, NotesReply) or not reply.buckets:
            return
        theirs = dict(zip(reply.hashes, reply.times, strict=False))
        own = {
            hashed: note
            for bucket in reply.buckets
            for hashed, key in self._store.sums.keys_in(bucket).items()
            if (note := self._store.find(key)) is not None
        }
        lacking = [
            note
            for hashed, note in own.items()
            if hashed not in theirs or theirs[hashed] < note.at_s
        ]
        wanted = [
            hashed
            for hashed, at_s in theirs.items()
            if hashed not in own or own[hashed].at_s < at_s
        ]
        eliot.log_message(
            message_type="notes:compared", peer=host, sent=len(lacking), wanted=len(wanted)
        )
        async with self._page_turns:
            await self._send_missed(host, sorted(lacking, key=urgency))
            await self._fetch(host, wanted)

    async def _send_missed(self, host: HostId, notes: list[Note]) -> None:
        while notes:
            page = page_of(notes)
            notes = notes[len(page) :]
            call = NotesCall(host=self._host, notes=page, missed=True)
            if await self._ask(host, call) is None:
                return
            await self._clock.sleep(PAGE_PAUSE_S)

    async def _fetch(self, host: HostId, wanted: list[bytes]) -> None:
        while wanted:
            asked = tuple(wanted[:MAX_WANTED])
            reply = await self._ask(host, NotesCall(host=self._host, wanted=asked))
            if reply is None:
                return
            for note in reply.notes:
                self._store.merge(note)
            received = {key_hash(note.key) for note in reply.notes}
            # What is asked for and not found has expired there meanwhile.
            left = [] if not received else [name for name in asked if name not in received]
            wanted = [*left, *wanted[MAX_WANTED:]]
            await self._clock.sleep(PAGE_PAUSE_S)

    async def _ask(self, host: HostId, call: NotesCall) -> NotesReply | None:
        reply = await self._links.call(host, call, NotesReply, timeout_s=PAGE_TIMEOUT_S)
        return reply if isinstance(reply, NotesReply) else None

    def _differences(self, sums: tuple[bytes, ...]) -> NotesReply:
        """Return the notes in the buckets whose checksums differ."""
        self._store.drop_expired()
        own = self._store.sums
        pairs = zip(own.sums(), sums, strict=False)
        buckets = tuple(number for number, (ours, theirs) in enumerate(pairs) if ours != theirs)
        kept = {
            hashed: note.at_s
            for bucket in buckets
            for hashed, key in own.keys_in(bucket).items()
            if (note := self._store.find(key)) is not None
        }
        return NotesReply(buckets=buckets, hashes=tuple(kept), times=tuple(kept.values()))

    def _found(self, wanted: cabc.Iterable[bytes]) -> list[Note]:
        keys = (self._store.sums.key(hashed) for hashed in wanted if hashed)
        notes = (self._store.find(key) for key in keys if key is not None)
        return sorted((note for note in notes if note is not None), key=urgency)

    def _send(self, notes: cabc.Sequence[Note], hosts: cabc.Sequence[HostId]) -> Receipt:
        """Let notes wait for hosts; return what tells when they have been sent."""
        receipt = Receipt(len(notes) * len(hosts))
        for host in hosts if notes else ():
            outbox = self._outboxes.get(host)
            if outbox is None:
                outbox = NoteOutbox(send=functools.partial(self._send_page, host))
                self._outboxes[host] = outbox
            if outbox.add(notes, receipt):
                self.spawn(self._run(host, outbox), name=f"notes-to-{host}")
        return receipt

    async def _run(self, host: HostId, outbox: NoteOutbox) -> None:
        try:
            await outbox.run()
        finally:
            if outbox.is_idle:
                self._outboxes.pop(host, None)

    async def _send_page(self, host: HostId, page: tuple[Note, ...]) -> bool:
        call = self._call_with(page)
        reply = await self._links.call(host, call, NotesReply, timeout_s=CALL_TIMEOUT_S)
        return isinstance(reply, NotesReply)

    def _new_call(self, page: tuple[Note, ...]) -> NotesCall:
        return NotesCall(host=self._host, notes=page)
