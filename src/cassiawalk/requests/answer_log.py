"""The answer of one request so far.

Positions in the answer stay valid when chunks of text are joined and after a handover.
"""

import array
import bisect
import dataclasses

from cassiawalk.requests.answer import AnswerEvent
from cassiawalk.requests.answer import Ended
from cassiawalk.requests.answer import Failed
from cassiawalk.requests.answer import HandedOver
from cassiawalk.requests.answer import Result
from cassiawalk.requests.answer import Rewind
from cassiawalk.requests.answer import Text

BLOCK_CHARS = 4096
FIRST_RUN = "0"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Cursor:
    """A reader's position in an answer, as sent in the ``id`` of a server-sent event.

    ``position`` counts the characters of the text, then one for each closing event. ``run``
    identifies the run on a host whose answer was read; it is empty if the reader does not know it.
    """

    run: str = ""
    position: int = 0

    def __str__(self) -> str:
        return f"{self.position}:{self.run}" if self.run else str(self.position)


def parse_cursor(text: str) -> Cursor | None:
    """Return the cursor of a ``Last-Event-ID`` header, or None if it is malformed."""
    position, _, run = text.partition(":")
    if not position.isascii() or not position.isdigit():
        return None
    return Cursor(run=run, position=int(position))


@dataclasses.dataclass(frozen=True, kw_only=True)
class RunStart:
    """The position from which a run on a host continues the answer of the previous run."""

    run: str
    position: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class AnswerText:
    """The text of an answer with its token boundaries, as sent in a handover.

    ``ends`` holds the position after each chunk and ``counts`` the number of tokens up to it.
    """

    text: str
    ends: tuple[int, ...]
    counts: tuple[int, ...]
    runs: tuple[RunStart, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class PositionedEvent:
    """An answer event and the reader's cursor after it."""

    cursor: Cursor
    event: AnswerEvent


class AnswerLog:
    """Stores an answer: text in large blocks, token boundaries in arrays, and closing events.

    Readers hold only a position, so that a slow reader uses no memory.

    :param initial: the text handed over by the previous run.
    :param run: identifies the run on this host.
    """

    def __init__(self, *, initial: AnswerText | None = None, run: str = FIRST_RUN) -> None:
        self._blocks: list[str] = []
        self._blocks_end = 0
        self._tail: list[str] = []
        self._ends = array.array("L")
        self._counts = array.array("L")
        self._closing: list[Result | Ended | Failed] = []
        self.handover: HandedOver | None = None
        self.text_end = 0
        self.tokens = 0
        self.runs = [RunStart(run=run, position=0)]
        if initial is not None:
            self._restore(initial, run)

    @property
    def end(self) -> int:
        """Return the position after the last event."""
        return self.text_end + len(self._closing)

    @property
    def is_final(self) -> bool:
        """Return whether no further event can be added on this host."""
        return self.handover is not None or self.is_complete

    @property
    def is_complete(self) -> bool:
        """Return whether the answer has its end marker or its failure."""
        return bool(self._closing) and not isinstance(self._closing[-1], Result)

    @property
    def text(self) -> str:
        """Return the streamed answer so far."""
        return self._text_from(0)

    @property
    def events(self) -> list[AnswerEvent]:
        """Return the answer so far as events, with the text joined into one."""
        return [positioned.event for positioned in self.read(0)]

    def add(self, event: AnswerEvent) -> None:
        """Append an event; events after a final one are ignored."""
        if self.is_final:
            return
        if isinstance(event, Text):
            self._add_text(event)
        elif isinstance(event, HandedOver):
            self.handover = event
        elif not isinstance(event, Rewind):
            self._closing.append(event)

    def read(self, position: int) -> list[PositionedEvent]:
        """Return the events after a position, with the text joined into one event."""
        run = self.runs[-1].run
        found: list[PositionedEvent] = []

        def append(event: AnswerEvent) -> None:
            found.append(PositionedEvent(cursor=Cursor(run=run, position=position), event=event))

        if position < self.text_end:
            count = self.tokens - self._tokens_before(position)
            text = Text(count=count, text=self._text_from(position))
            position = self.text_end
            append(text)
        for event in self._closing[position - self.text_end :]:
            position += 1
            append(event)
        if self.handover is not None and not self.is_complete:
            append(self.handover)
        return found

    def resolve(self, cursor: Cursor) -> int:
        """Return the position up to which a reader's text matches this answer.

        The position is 0 if this answer does not continue the run that the reader has read.
        """
        if not cursor.run:
            return min(cursor.position, self.end)
        for index, start in enumerate(self.runs):
            if start.run == cursor.run:
                following = self.runs[index + 1 : index + 2]
                limit = following[0].position if following else self.end
                return min(cursor.position, limit)
        return 0

    def export(self) -> AnswerText:
        """Return the text and its token boundaries for a handover."""
        return AnswerText(
            text=self.text,
            ends=tuple(self._ends),
            counts=tuple(self._counts),
            runs=tuple(self.runs),
        )

    def _restore(self, initial: AnswerText, run: str) -> None:
        self._blocks = [initial.text]
        self._blocks_end = self.text_end = len(initial.text)
        self._ends = array.array("L", initial.ends)
        self._counts = array.array("L", initial.counts)
        self.tokens = self._counts[-1] if self._counts else 0
        self.runs = [*initial.runs, RunStart(run=run, position=self.text_end)]

    def _add_text(self, event: Text) -> None:
        self.text_end += len(event.text)
        self.tokens += event.count
        self._tail.append(event.text)
        self._ends.append(self.text_end)
        self._counts.append(self.tokens)
        if self.text_end - self._blocks_end >= BLOCK_CHARS:
            self._blocks.append("".join(self._tail))
            self._blocks_end = self.text_end
            self._tail.clear()

    def _tokens_before(self, position: int) -> int:
        index = bisect.bisect_right(self._ends, position)
        return self._counts[index - 1] if index else 0

    def _text_from(self, position: int) -> str:
        if len(self._tail) > 1:
            self._tail = ["".join(self._tail)]
        tail = self._tail[0] if self._tail else ""
        if position >= self._blocks_end:
            return tail[position - self._blocks_end :]
        return ("".join(self._blocks) + tail)[position:]
