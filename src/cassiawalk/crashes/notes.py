"""Notes about crashing requests that hosts share with each other."""

from cassiawalk.clock import Clock
from cassiawalk.peer import MembershipFeed
from cassiawalk.peer import Note
from cassiawalk.peer import NoteStore
from cassiawalk.peer import NoteTopic

QUARANTINE_S = 3600.0


class CrashNotes:
    """Reads notes from the store and shares new ones with all hosts."""

    def __init__(self, *, note_store: NoteStore, feed: MembershipFeed, clock: Clock) -> None:
        self._note_store = note_store
        self._feed = feed
        self._clock = clock

    def items(self, topic: NoteTopic, name: str) -> tuple[str, ...]:
        """Return the items of a note; empty if there is no such note."""
        note = self._note_store.get(topic, name)
        return () if note is None else note.items

    def put_local(self, topic: NoteTopic, name: str, *, keep_s: float = QUARANTINE_S) -> None:
        """Store a note on this host only.

        :param keep_s: time until the note expires, in seconds.
        """
        self._note_store.merge(self._note(topic, name, keep_s, ()))

    async def share(
        self, topic: NoteTopic, name: str, *, keep_s: float, items: tuple[str, ...] = ()
    ) -> None:
        """Share a note and return once the reachable pollers have received it.

        :param keep_s: time until the note expires, in seconds.
        """
        await self._feed.share(self._note(topic, name, keep_s, items))

    def _note(self, topic: NoteTopic, name: str, keep_s: float, items: tuple[str, ...]) -> Note:
        now_s = self._clock.wall()
        return Note(topic=topic, name=name, at_s=now_s, until_s=now_s + keep_s, items=items)
