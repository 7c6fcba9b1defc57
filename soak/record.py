"""What callers and upstreams saw of a run, and the promises that it is held to."""

import collections
import collections.abc as cabc
import dataclasses
import typing as t

import orjson

from standins.platform import DutyCall
from standins.platform import PlatformUpstream
from standins.platform_fleet import ONCE
from standins.platform_fleet import STREAM
from standins.raw_caller import Answer

NOT_RUN = frozenset((408, 421, 429, 503))
EVENTS = 5
WORKSPACE = "family"
ROUTE_LIMIT_S = 5.0
ANSWER_SLACK_S = 0.6
USAGE = "/usage"


@dataclasses.dataclass(kw_only=True)
class Asked:
    """One request of a caller; times in monotonic seconds."""

    request_id: str
    path: str
    host: str
    at: float
    ended_at: float | None = None
    answer: Answer | None = None
    lost: str | None = None


@dataclasses.dataclass(kw_only=True)
class Record:
    """A run as callers saw it, and when hosts were disturbed: name, from, to."""

    asked: dict[str, Asked] = dataclasses.field(default_factory=dict)
    disturbed: list[tuple[str, float, float]] = dataclasses.field(default_factory=list)

    def expect(self, request_id: str, path: str, host: str) -> None:
        """Note a request whose answer is looked at elsewhere."""
        self.asked[request_id] = Asked(request_id=request_id, path=path, host=host, at=0.0)

    def broken(
        self,
        *,
        upstreams: cabc.Iterable[PlatformUpstream],
        duties: cabc.Iterable[DutyCall],
        logs: cabc.Mapping[str, cabc.Iterable[dict[str, t.Any]]],
    ) -> list[str]:
        """Return one line for each promise that was not kept."""
        ran: collections.Counter[str] = collections.Counter()
        workspaces: set[str] = set()
        for upstream in upstreams:
            ran.update(upstream.executed_ids)
            workspaces.update(upstream.workspaces)
        found = [f"{each}: run, but nobody sent it" for each in ran if each not in self.asked]
        found += [f"run for the workspace {each!r}" for each in workspaces - {WORKSPACE}]
        for asked in self.asked.values():
            found += self._broken_for(asked, ran[asked.request_id])
        return found + _broken_duties(duties) + _broken_revisions(logs)

    def _broken_for(self, asked: Asked, runs: int) -> cabc.Iterator[str]:
        name = f"{asked.request_id} ({asked.path} at {asked.host})"
        if asked.path == ONCE and runs > 1:
            yield f"{name}: ran {runs} times"
        if self._is_late(asked):
            yield f"{name}: no answer {ROUTE_LIMIT_S + ANSWER_SLACK_S} s after it was sent"
        answer = asked.answer
        if answer is None:
            return
        if answer.header(b"x-request-id") != asked.request_id.encode():
            yield f"{name}: got the answer to {answer.header(b'x-request-id')!r}"
        sealed = answer.header(b"x-response-seal") is not None
        if answer.status in NOT_RUN and not sealed and runs:
            yield f"{name}: refused with {answer.status}, but it ran"
        if answer.status == 200:
            yield from _broken_answer(name, asked, answer, runs)

    def _is_late(self, asked: Asked) -> bool:
        """Return whether an undisturbed host left a request without an answer."""
        if asked.ended_at is None:
            return False
        limit = asked.at + ROUTE_LIMIT_S + ANSWER_SLACK_S
        touched = any(
            host == asked.host and begun < asked.ended_at and ended > asked.at
            for host, begun, ended in self.disturbed
        )
        return asked.ended_at > limit and not touched


def _broken_answer(name: str, asked: Asked, answer: Answer, runs: int) -> cabc.Iterator[str]:
    if runs == 0:
        yield f"{name}: answered with 200, but nothing ran"
    if answer.header(b"x-response-seal") is None:
        yield f"{name}: answered with 200 without an upstream's signature"
    whole = asked.request_id.encode()
    if asked.path == STREAM:
        numbers = range(1, EVENTS + 1)
        whole = b"".join(b"id: %d\ndata: piece %d\n\n" % (number, number) for number in numbers)
    if answer.body != whole:
        yield f"{name}: got {answer.body!r}, not {whole!r}"


def _broken_duties(duties: cabc.Iterable[DutyCall]) -> list[str]:
    holders: dict[int, set[str]] = collections.defaultdict(set)
    counts: dict[int, set[bytes]] = collections.defaultdict(set)
    for call in duties:
        holders[call.fencing_token].add(call.holder)
        if call.path == USAGE:
            told = orjson.dumps(call.body["counts"], option=orjson.OPT_SORT_KEYS)
            counts[call.body["window_seq"]].add(told)
    shared = [
        f"fence {fence}: used by {sorted(names)}"
        for fence, names in holders.items()
        if len(names) > 1
    ]
    return shared + [
        f"window {window}: reported as {sorted(told)}"
        for window, told in counts.items()
        if len(told) > 1
    ]


def _broken_revisions(logs: cabc.Mapping[str, cabc.Iterable[dict[str, t.Any]]]) -> list[str]:
    found = []
    for host, lines in logs.items():
        newest = -1
        for line in lines:
            if line.get("event") == "host:started":
                newest = -1
            if line.get("event") == "config:in-force":
                if line["revision"] <= newest:
                    found.append(f"{host}: revision {line['revision']} after {newest}")
                newest = line["revision"]
    return found
