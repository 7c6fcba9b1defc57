"""The record of a run, and the checks of the system's guarantees against it."""

import collections
import collections.abc as cabc
import dataclasses
import time
import typing as t

import orjson

from standins.platform import DutyCall
from standins.platform_fleet import ONCE
from standins.platform_fleet import STREAM
from standins.platform_upstream import PlatformUpstream
from standins.raw_caller import Answer

NOT_EXECUTED_STATUSES = frozenset((408, 421, 429, 503))
STREAM_EVENTS = 5
WORKSPACE = "family"
ROUTE_TIMEOUT_S = 5.0
ANSWER_TOLERANCE_S = 0.6
USAGE_PATH = "/usage"


@dataclasses.dataclass(kw_only=True)
class SentRequest:
    """One request of a caller; times in seconds of the monotonic clock.

    ``error`` is the type of the exception that ended it without an answer.
    """

    request_id: str
    path: str
    host: str
    sent_at: float
    ended_at: float | None = None
    answer: Answer | None = None
    error: str | None = None


@dataclasses.dataclass(kw_only=True)
class RunRecord:
    """The requests of a run by id, and its disruptions.

    A disruption is a host's name with its start and end, in seconds of the monotonic clock.
    """

    requests: dict[str, SentRequest] = dataclasses.field(default_factory=dict)
    disruptions: list[tuple[str, float, float]] = dataclasses.field(default_factory=list)

    def add_unchecked(self, request_id: str, path: str, host: str) -> None:
        """Add a request whose answer is checked elsewhere."""
        self.requests[request_id] = SentRequest(
            request_id=request_id, path=path, host=host, sent_at=time.monotonic()
        )

    def violations(
        self,
        *,
        upstreams: cabc.Iterable[PlatformUpstream],
        duties: cabc.Iterable[DutyCall],
        logs: cabc.Mapping[str, cabc.Iterable[dict[str, t.Any]]],
    ) -> list[str]:
        """Return one line for each violated guarantee.

        :param duties: the accepted calls of duties.
        :param logs: the log lines of each host, by host name.
        """
        runs_by_id: collections.Counter[str] = collections.Counter()
        workspaces: set[str] = set()
        for upstream in upstreams:
            runs_by_id.update(upstream.executed_ids)
            workspaces.update(upstream.workspaces)
        found = [
            f"{request_id}: executed, but no caller sent it"
            for request_id in runs_by_id
            if request_id not in self.requests
        ]
        found += [
            f"executed for the workspace {workspace!r}" for workspace in workspaces - {WORKSPACE}
        ]
        for sent in self.requests.values():
            found += self._check_request(sent, runs_by_id[sent.request_id])
        return found + _check_duties(duties) + _check_revisions(logs)

    def _check_request(self, sent: SentRequest, runs: int) -> cabc.Iterator[str]:
        name = f"{sent.request_id} ({sent.path} at {sent.host})"
        if sent.path == ONCE and runs > 1:
            yield f"{name}: executed {runs} times"
        if self._is_late(sent):
            yield f"{name}: no answer {ROUTE_TIMEOUT_S + ANSWER_TOLERANCE_S} s after it was sent"
        answer = sent.answer
        if answer is None:
            return
        if answer.header(b"x-request-id") != sent.request_id.encode():
            yield f"{name}: got the answer to {answer.header(b'x-request-id')!r}"
        sealed = answer.header(b"x-response-seal") is not None
        if answer.status in NOT_EXECUTED_STATUSES and not sealed and runs:
            yield f"{name}: refused with {answer.status}, but it was executed"
        if answer.status == 200:
            yield from _check_answer(name, sent, answer, runs)

    def _is_late(self, sent: SentRequest) -> bool:
        """Return whether a host that was not disrupted meanwhile took too long to answer."""
        if sent.ended_at is None:
            return False
        limit = sent.sent_at + ROUTE_TIMEOUT_S + ANSWER_TOLERANCE_S
        disrupted = any(
            host == sent.host and start < sent.ended_at and end > sent.sent_at
            for host, start, end in self.disruptions
        )
        return sent.ended_at > limit and not disrupted


def _check_answer(name: str, sent: SentRequest, answer: Answer, runs: int) -> cabc.Iterator[str]:
    if runs == 0:
        yield f"{name}: answered with 200, but it was not executed"
    if answer.header(b"x-response-seal") is None:
        yield f"{name}: answered with 200 without an upstream's response seal"
    expected = sent.request_id.encode()
    if sent.path == STREAM:
        numbers = range(1, STREAM_EVENTS + 1)
        expected = b"".join(b"id: %d\ndata: piece %d\n\n" % (number, number) for number in numbers)
    if answer.body != expected:
        yield f"{name}: got {answer.body!r}, not {expected!r}"


def _check_duties(duties: cabc.Iterable[DutyCall]) -> list[str]:
    holders: dict[int, set[str]] = collections.defaultdict(set)
    counts: dict[int, set[bytes]] = collections.defaultdict(set)
    for call in duties:
        holders[call.fencing_token].add(call.holder)
        if call.path == USAGE_PATH:
            reported = orjson.dumps(call.body["counts"], option=orjson.OPT_SORT_KEYS)
            counts[call.body["window_seq"]].add(reported)
    shared = [
        f"fencing token {token}: used by {sorted(names)}"
        for token, names in holders.items()
        if len(names) > 1
    ]
    return shared + [
        f"window {window}: reported as {sorted(reported)}"
        for window, reported in counts.items()
        if len(reported) > 1
    ]


def _check_revisions(logs: cabc.Mapping[str, cabc.Iterable[dict[str, t.Any]]]) -> list[str]:
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
