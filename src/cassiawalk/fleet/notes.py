"""Replicates notes between hosts, over the same links as heartbeats."""

import asyncio
import collections.abc as cabc
import dataclasses
import hashlib

from cassiawalk.app import Component
from cassiawalk.clock import Clock
from cassiawalk.fleet.heartbeat import Heartbeat
from cassiawalk.fleet.heartbeats import HeartbeatExchange
from cassiawalk.ids import HostId
from cassiawalk.peer import Note
from cassiawalk.peer import NoteSharing
from cassiawalk.peer import NoteStore
from cassiawalk.peer import PeerFailure
from cassiawalk.peer import PeerLinks
from cassiawalk.peer.messages import messages

CALL_TIMEOUT_S = 0.5
DIFFERENCE_TOLERANCE_S = 1.0  # two heartbeat intervals, in which notes are still under way
DIGEST_BYTES = 8


@messages.register("notes")
@dataclasses.dataclass(frozen=True, kw_only=True)
class NotesCall:
    """Sends notes.

    :param complete: whether these are all that the sender has; it then asks for those it lacks.
    """

    host: HostId
    notes: tuple[Note, ...]
    complete: bool = False


@messages.register("notes-reply")
@dataclasses.dataclass(frozen=True, kw_only=True)
class NotesReply:
    """Confirms the notes; holds those that a sender of all its notes lacks."""

    notes: tuple[Note, ...] = ()


class NoteExchange(Component, NoteSharing):
    """Sends new notes at once to the hosts that this one exchanges heartbeats with.

    A hub passes on what is new to it. A host that does not answer is called once more. Heartbeats
    carry a digest of the sender's notes; hosts whose digests differ for long exchange all of their
    notes, which replaces lost messages and informs hosts that were restarted or cut off.
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
        self._digest: tuple[int, str] = (0, "")

    async def share(self, notes: cabc.Sequence[Note]) -> None:
        """Store notes and return once the live partners have them or failed to answer."""
        new = [note for note in notes if self._store.merge(note)]
        await self._send(new, self._heartbeats.partners())

    async def handle(self, call: NotesCall) -> NotesReply:
        """Merge the notes of another host; a hub passes on those that are new."""
        new = [note for note in call.notes if self._store.merge(note)]
        if new and self._heartbeats.is_hub and not self._heartbeats.full_mesh:
            others = [host for host in self._heartbeats.partners() if host != call.host]
            self.spawn(self._send(new, others), name="notes-passed-on")
        if not call.complete:
            return NotesReply()
        theirs = {(note.key, note.at_s) for note in call.notes}
        lacking = [n for n in self._store.notes().values() if (n.key, n.at_s) not in theirs]
        return NotesReply(notes=tuple(lacking))

    def digest(self) -> str:
        """Return a digest of all notes; empty if there are none."""
        if self._store.is_empty():
            return ""
        notes = self._store.notes()
        if self._digest[0] != self._store.version:
            self._digest = (self._store.version, _digest(notes.values()))
        return self._digest[1]

    def compare(self, heartbeat: Heartbeat) -> None:
        """Exchange all notes with a host whose notes have differed for some time."""
        host = heartbeat.host
        if heartbeat.notes is None or heartbeat.notes == self.digest():
            self._differs_since.pop(host, None)
            return
        now = self._clock.monotonic()
        since = self._differs_since.setdefault(host, now)
        if now - since >= DIFFERENCE_TOLERANCE_S:
            self._differs_since[host] = now
            self.spawn(self._exchange(host), name=f"notes-{host}")

    async def _exchange(self, host: HostId) -> None:
        own = tuple(self._store.notes().values())
        call = NotesCall(host=self._host, notes=own, complete=True)
        reply = await self._links.call(host, call, NotesReply, timeout_s=CALL_TIMEOUT_S)
        if isinstance(reply, NotesReply):
            for note in reply.notes:
                self._store.merge(note)

    async def _send(self, notes: cabc.Sequence[Note], hosts: cabc.Iterable[HostId]) -> None:
        if not notes:
            return
        call = NotesCall(host=self._host, notes=tuple(notes))
        called = list(hosts)
        replies = await asyncio.gather(*(self._call(host, call) for host in called))
        for host, reply in zip(called, replies, strict=True):
            if isinstance(reply, PeerFailure):
                self.spawn(self._call(host, call), name=f"notes-again-{host}")

    async def _call(self, host: HostId, call: NotesCall) -> NotesReply | PeerFailure:
        return await self._links.call(host, call, NotesReply, timeout_s=CALL_TIMEOUT_S)


def _digest(notes: cabc.Iterable[Note]) -> str:
    names = sorted(f"{note.topic.value}/{note.name}/{note.at_s!r}" for note in notes)
    hashed = hashlib.blake2b("\n".join(names).encode(), digest_size=DIGEST_BYTES)
    return hashed.hexdigest()
