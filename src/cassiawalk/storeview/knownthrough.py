"""Up to where a host knows all changes of a stream."""

from cassiawalk.ids import Offset


class KnownThrough:
    """The offset up to which all changes are known.

    A list in several pages and a copy hold changes beyond a gap: others before them may be missing.
    Such a change raises the offset only once the gap is known to be closed.
    """

    def __init__(self) -> None:
        self.offset = Offset(-1)
        self._beyond_gaps: list[Offset] = []

    def advance_to(self, offset: Offset) -> None:
        """Record that all changes up to ``offset`` have been applied."""
        self.offset = max(self.offset, offset)
        self._beyond_gaps = [found for found in self._beyond_gaps if found > self.offset]

    def note_change(self, offset: Offset, *, gapless: bool) -> None:
        """Record a change that has been applied.

        :param gapless: whether all changes before it have been applied, too.
        """
        if gapless:
            self.advance_to(offset)
        elif offset > self.offset:
            self._beyond_gaps.append(offset)

    def note_read_before(self, end: Offset) -> None:
        """Record that all records before ``end`` have been read, so that no gap is left there."""
        closed = [found for found in self._beyond_gaps if found < end]
        if closed:
            self.advance_to(max(closed))
