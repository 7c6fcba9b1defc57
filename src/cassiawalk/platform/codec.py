"""Parses and builds heads of requests and answers in the platform's format."""

import orjson

from cassiawalk.http1 import HeadError
from cassiawalk.http1 import Headers
from cassiawalk.http1.heads import forwardable
from cassiawalk.ids import RequestId
from cassiawalk.ingress.codec import AnswerMetadata
from cassiawalk.ingress.codec import AttemptHeaders
from cassiawalk.ingress.codec import Demand
from cassiawalk.ingress.codec import HeadCodec
from cassiawalk.platform import names
from cassiawalk.platform.availability import header_text
from cassiawalk.platform.availability import read_availability
from cassiawalk.results import NOT_RUN_STATUSES
from cassiawalk.results import Execution
from cassiawalk.results import Refusal
from cassiawalk.results import ResultCode
from cassiawalk.results import http_status
from cassiawalk.storeview.load import ReportedLoad
from cassiawalk.storeview.promptparts import PartId
from cassiawalk.storeview.promptparts import PromptPart

UNKNOWN_KEY_STATUS = 401
NOT_RUN_STATUS = 503  # instead of another 5xx status if the request has not run

USUAL_PACE = 100.0  # the stated pace of a machine that is as fast as usual
MAX_PACE = 1000.0  # times as long as usual; more is taken for an error
MAX_COUNT_DIGITS = 9  # int() raises an error above some thousand

MAX_COUNT_DIGITS = 9  # of tokens; no prompt is longer
MAX_TOLD_BYTES = 64  # of a header that can't be read

_LENGTH = b"content-length"
_LOAD_NAME = b"X-Server-Load"
_NOT_RUN_NAME = b"X-Not-Executed"


class PlatformHeadCodec(HeadCodec):
    """The platform's format of heads."""

    def parse_request(self, headers: Headers) -> Demand:
        """Return what a request asks for.

        :raises HeadError: if the request id is missing, or a header is malformed or repeated.
        """
        found = _unique_headers(headers)
        request_id = found.get(names.REQUEST_ID)
        if not request_id:
            raise HeadError(400, "the request has no X-Request-Id")
        prompt_tokens, output_tokens = _token_counts(found.get(names.TOKEN_COUNTS))
        return Demand(
            request_id=RequestId(request_id.decode("latin-1")),
            key=found.get(names.API_KEY),
            deadline_s=_deadline_s(found.get(names.DEADLINE)),
            parts=_parts(found.get(names.PROMPT_PARTS)),
            prompt_tokens=prompt_tokens,
            output_tokens=output_tokens,
            last_event=found.get(names.LAST_EVENT),
        )

    def build_upstream_head(self, headers: Headers, body: bytes, added: AttemptHeaders) -> Headers:
        """Return the caller's head with reserved headers replaced by those of the attempt."""
        dropped = names.RESERVED_HEADERS
        if added.last_event is not None:
            dropped = dropped | {names.LAST_EVENT}
        kept = [
            (name, value) for name, value in forwardable(headers) if name.lower() not in dropped
        ]
        if body and not any(name.lower() == _LENGTH for name, _ in kept):
            kept.append((b"Content-Length", str(len(body)).encode()))
        kept.append((names.REMAINING_TIME, str(int(added.left_s * 1000)).encode()))
        kept.append((names.EXPECTED_UPSTREAM, added.upstream_id.encode()))
        if added.workspace is not None:
            kept.append((names.WORKSPACE, added.workspace.encode()))
        if added.urgency is not None:
            kept.append((names.URGENCY, str(added.urgency).encode()))
        if added.last_event is not None:
            kept.append((names.RESUME_AFTER, added.last_event))
        if added.holder_address is not None:
            kept.append((names.FETCH_FROM, added.holder_address.encode()))
        return kept

    def parse_answer_head(self, status: int, headers: Headers) -> AnswerMetadata:
        """Return what an answer's head states."""
        found = {name.lower(): value for name, value in headers}
        request_id = found.get(names.REQUEST_ID)
        said = read_availability(status, headers)
        stated = found.get(names.LOAD)
        load = _load(stated)
        unreadable = said.unreadable
        if stated is not None and load is None:
            unreadable += (header_text(_LOAD_NAME, stated),)
        markers = _not_run_markers(headers)
        odd_markers = markers - names.NOT_EXECUTED_YES
        unreadable += tuple(header_text(_NOT_RUN_NAME, value) for value in sorted(odd_markers))
        wrong_upstream = status == names.WRONG_UPSTREAM_STATUS
        is_proved = bool(markers) and not odd_markers and _can_be_not_run(status)
        return AnswerMetadata(
            request_id=None if request_id is None else RequestId(request_id.decode("latin-1")),
            signed=names.SIGNATURE in found,
            not_run=is_proved or wrong_upstream,
            claims_not_run=bool(markers & names.NOT_EXECUTED_YES) or status in NOT_RUN_STATUSES,
            wrong_upstream=wrong_upstream,
            load=load,
            leaving=said.leaving,
            pause_s=said.pause_s,
            limit_per_s=said.limit_per_s,
            unreadable=unreadable,
        )

    def build_caller_head(self, headers: Headers) -> Headers:
        """Return an answer's head without headers of the upstream's connection.

        An answer that is passed on was run for, whatever an unreadable marker says.
        """
        return [field for field in forwardable(headers) if field[0].lower() != names.NOT_EXECUTED]

    def build_refusal(self, demand: Demand | None, refusal: Refusal) -> tuple[int, Headers, bytes]:
        """Return status, head and body of a refusal in the platform's format."""
        status = _status(refusal)
        headers: list[tuple[bytes, bytes]] = [(b"Content-Type", b"application/json")]
        if demand is not None:
            headers.append((names.REQUEST_ID_OUT, demand.request_id.encode("latin-1")))
        if refusal.retry_after_s is not None and status in NOT_RUN_STATUSES:
            headers.append((names.RETRY_AFTER, f"{refusal.retry_after_s:.3f}".encode()))
        body = {
            "error": refusal.code.name.lower(),
            "code": int(refusal.code),
            "detail": refusal.detail,
            "ran": refusal.ran.value,
        }
        return status, headers, orjson.dumps(body)


def _status(refusal: Refusal) -> int:
    if refusal.code is ResultCode.WRONG_TOKEN:
        return UNKNOWN_KEY_STATUS
    status = http_status(refusal.code, refusal.ran)
    if refusal.ran is Execution.NOT_RUN and status >= 500:
        return NOT_RUN_STATUS
    return status


def _not_run_markers(headers: Headers) -> frozenset[bytes]:
    """Return the values of the headers that say that the request was not run."""
    found = (value for name, value in headers if name.lower() == names.NOT_EXECUTED)
    return frozenset(value.strip().lower() for value in found)


def _can_be_not_run(status: int) -> bool:
    """Return whether an answer with this status may say that its request was not run.

    An upstream that answers with another one has run the request, so its marker is an error.
    """
    return 400 <= status < 500 or status == NOT_RUN_STATUS


def _unique_headers(headers: Headers) -> dict[bytes, bytes]:
    """Return the headers by lower-case name; those that cassiawalk acts on must be unique."""
    found: dict[bytes, bytes] = {}
    for name, value in headers:
        lowered = name.lower()
        if lowered in found and lowered in _NO_DUPLICATES:
            raise HeadError(400, f"the header {lowered.decode('latin-1')} comes twice")
        found[lowered] = value.strip()
    return found


_NO_DUPLICATES = frozenset(
    (
        names.REQUEST_ID,
        names.API_KEY,
        names.DEADLINE,
        names.TOKEN_COUNTS,
        names.PROMPT_PARTS,
        names.LAST_EVENT,
    )
)


def _deadline_s(value: bytes | None) -> float | None:
    if value is None:
        return None
    try:
        millis = float(value)
    except ValueError:
        raise HeadError(400, f"X-Deadline-Ms is {value!r}, not a number") from None
    if not 0 <= millis < 1e9:
        raise HeadError(400, f"X-Deadline-Ms is {value!r}, not between 0 and 1e9")
    return millis / 1000


def _token_counts(value: bytes | None) -> tuple[int, int]:
    if value is None:
        return 0, 0
    prompt, comma, output = value.partition(b",")
    prompt, output = prompt.strip(), output.strip()
    if not comma or not _is_count(prompt) or not _is_count(output):
        raise HeadError(400, f"X-Token-Usage is {value[:MAX_TOLD_BYTES]!r}, not two counts")
    return int(prompt), int(output)


def _parts(value: bytes | None) -> tuple[PromptPart, ...]:
    if not value:
        return ()
    return tuple(_part(entry.strip()) for entry in value.split(b","))


def _is_count(value: bytes) -> bool:
    return value.isdigit() and len(value) <= MAX_COUNT_DIGITS


def _part(entry: bytes) -> PromptPart:
    part_id, colon, tokens = entry.partition(b":")
    if not part_id or not colon or not _is_count(tokens):
        raise HeadError(400, f"X-Prompt-Prefix holds {entry[:MAX_TOLD_BYTES]!r}, not ID:TOKENS")
    return PromptPart(part_id=PartId(part_id.decode("latin-1")), tokens=int(tokens))


def _load(value: bytes | None) -> ReportedLoad | None:
    """Return the load that a header states; None if it is missing or can't be read."""
    if value is None:
        return None
    counts = [count.strip() for count in value.split(b",")]
    if len(counts) not in (3, 4):
        return None
    if not all(count.isdigit() and len(count) <= MAX_COUNT_DIGITS for count in counts[:3]):
        return None
    running, waiting, slots = (int(count) for count in counts[:3])
    if len(counts) == 3:
        return ReportedLoad(running=running, waiting=waiting, slots=slots)
    pace = _pace(counts[3])
    if pace is None:
        return None
    return ReportedLoad(running=running, waiting=waiting, slots=slots, pace=pace)


def _pace(value: bytes) -> float | None:
    """Return how many times as long as usual work takes; None if ``value`` does not say it."""
    try:
        pace = float(value) / USUAL_PACE
    except ValueError:
        return None
    return pace if 0.0 < pace <= MAX_PACE else None
