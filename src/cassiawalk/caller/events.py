"""Answers as server-sent events and as whole JSON documents."""

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
    """Yield a record's events after a reader's place, up to the final one."""
    position = record.answer.resolve(after)
    if position < after.position:
        cursor = Cursor(run=record.answer.runs[-1].run, position=position)
        yield PositionedEvent(cursor=cursor, event=Rewind(keep=position))
    with record.attached_reader():
        while True:
            await record.wait_past(position)
            for numbered in record.answer.read(position):
                position = numbered.cursor.position
                yield numbered
                if isinstance(numbered.event, FINAL_EVENTS):
                    return
            if record.is_final and position >= record.answer.end:
                return


def result_json(result: Result) -> t.Any:
    """Return a plain service's answer as JSON, or as base64 text if it is not JSON."""
    try:
        return orjson.loads(result.body)
    except orjson.JSONDecodeError:
        return {"base64": base64.b64encode(result.body).decode()}


def sse_frame(numbered: PositionedEvent, request_id: str) -> bytes:
    """Return the server-sent event for an answer event."""
    name, data = _sse_parts(numbered.event, request_id)
    cursor = str(numbered.cursor).encode()
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
class WholeAnswer:
    """Collects events into one answer."""

    tokens: int = 0
    text: list[str] = dataclasses.field(default_factory=list)
    result: Result | None = None
    final: Ended | Failed | HandedOver | None = None

    def add(self, event: AnswerEvent) -> None:
        """Take the next event."""
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
        """Return the JSON document of a whole answer."""
        head = {"request_id": request_id, "complete": isinstance(self.final, Ended)}
        if self.result is not None:
            answer = result_json(self.result)
            return {**head, "answer": answer, "recorded": self.result.recorded}
        tokens = self.final.tokens if isinstance(self.final, Ended) else self.tokens
        return {**head, "answer": "".join(self.text), "tokens": tokens}
