"""Renders answers as server-sent events or as one JSON document."""

import base64
import collections.abc as cabc
import dataclasses
import typing as t

import orjson

from cassiawalk.caller.problem import problem_body
from cassiawalk.requests import AnswerEvent
from cassiawalk.requests import Cursor
from cassiawalk.requests import Ended
from cassiawalk.requests import Failed
from cassiawalk.requests import HandedOver
from cassiawalk.requests import PositionedEvent
from cassiawalk.requests import RequestRecord
from cassiawalk.requests import Result
from cassiawalk.requests import Rewind
from cassiawalk.requests import Text
from cassiawalk.requests.answer import FINAL_EVENTS


async def follow(
    record: RequestRecord, *, after: Cursor
) -> cabc.AsyncGenerator[PositionedEvent, None]:
    """Yield the events of a record after a cursor, up to the final one.

    The first event is ``Rewind`` if the text that the reader has is not all part of the answer.
    """
    position = record.answer.resolve(after)
    if position < after.position:
        cursor = Cursor(run=record.answer.runs[-1].run, position=position)
        yield PositionedEvent(cursor=cursor, event=Rewind(keep=position))
    with record.attached_reader():
        while True:
            await record.wait_past(position)
            for positioned in record.answer.read(position):
                position = positioned.cursor.position
                yield positioned
                if isinstance(positioned.event, FINAL_EVENTS):
                    return
            if record.is_final and position >= record.answer.end:
                return


def result_json(result: Result) -> t.Any:
    """Return the answer of a plain service as a JSON value.

    A body that is not JSON becomes ``{"base64": ...}``.
    """
    try:
        return orjson.loads(result.body)
    except orjson.JSONDecodeError:
        return {"base64": base64.b64encode(result.body).decode()}


def sse_frame(positioned: PositionedEvent, request_id: str) -> bytes:
    """Return an answer event in the format of server-sent events."""
    name, data = _sse_parts(positioned.event, request_id)
    cursor = str(positioned.cursor).encode()
    return b"id: %s\nevent: %s\ndata: %s\n\n" % (cursor, name.encode(), orjson.dumps(data))


def _sse_parts(event: AnswerEvent, request_id: str) -> tuple[str, dict[str, t.Any]]:
    if isinstance(event, Text):
        return "token", {"text": event.text, "count": event.count}
    if isinstance(event, Result):
        answer = {"status": event.status, "answer": result_json(event)}
        return "result", {**answer, "recorded": event.recorded}
    if isinstance(event, Ended):
        return "end", {"request_id": request_id, "tokens": event.tokens, "complete": True}
    if isinstance(event, HandedOver):
        return "handover", {"location": f"/v1/requests/{request_id}", "host": event.host}
    if isinstance(event, Rewind):
        return "rewind", {"keep": event.keep}
    return "error", problem_body(event, request_id)


@dataclasses.dataclass(kw_only=True)
class CollectedAnswer:
    """An answer that is collected from its events."""

    tokens: int = 0
    text: list[str] = dataclasses.field(default_factory=list)
    result: Result | None = None
    final: Ended | Failed | HandedOver | None = None

    def add(self, event: AnswerEvent) -> None:
        """Add the next event."""
        if isinstance(event, Text):
            self.text.append(event.text)
            self.tokens += event.count
        elif isinstance(event, Result):
            self.result = event
        elif isinstance(event, Rewind):
            self.text = ["".join(self.text)[: event.keep]]
        else:
            self.final = event

    def body(self, request_id: str) -> dict[str, t.Any]:
        """Return the answer as one JSON document."""
        common = {"request_id": request_id, "complete": isinstance(self.final, Ended)}
        if self.result is not None:
            answer = result_json(self.result)
            return {**common, "answer": answer, "recorded": self.result.recorded}
        tokens = self.final.tokens if isinstance(self.final, Ended) else self.tokens
        return {**common, "answer": "".join(self.text), "tokens": tokens}
