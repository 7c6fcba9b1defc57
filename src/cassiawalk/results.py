"""Numbered result codes, and refusals, each of which carries a code."""

import dataclasses
import enum
import typing as t


class Execution(enum.Enum):
    """Whether an upstream ran a request, as far as that is known."""

    NOT_RUN = "not run"
    RAN = "ran"
    UNKNOWN = "unknown"


# Each of these HTTP statuses says to a caller that its request has not run and never will.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
MAY_HAVE_RUN_STATUS = 502  # instead of a status that would wrongly say so


class ResultCode(enum.IntEnum):
    """Every way in which a request or a command can end."""

    COMPLETE = 1000
    RECORDED_ANSWER = 1001
    BAD_JSON = 2000
    BAD_REQUEST = 2001
    MISSING_TOKEN = 2002
    WRONG_TOKEN = 2003
    UNKNOWN_SERVICE = 2004
    UNKNOWN_KIND = 2005
    UNKNOWN_REQUEST = 2006
    BAD_KEY = 2007
    KEY_REQUIRED = 2008
    KEY_REUSED = 2009
    KEY_EXPIRED = 2010
    BODY_TOO_LARGE = 2011
    BAD_DEADLINE = 2012
    SERVICE_FORBIDDEN = 2013
    HEAD_TOO_LARGE = 2014
    OVER_LIMIT = 3000
    DEADLINE_UNREACHABLE = 3001
    QUEUE_FULL = 3002
    NO_UPSTREAM = 3003
    CLAIM_UNAVAILABLE = 3004
    DRAINING = 3005
    QUARANTINED = 3006
    DEADLINE_PASSED_WAITING = 3007
    CONFIGURATION_STALE = 3008
    SUSPECT = 3009
    RETRIES_EXHAUSTED = 4000
    UPSTREAM_REJECTED = 4001
    DEADLINE_PASSED_RUNNING = 4002
    CRASHED_UPSTREAM = 4003
    ABANDONED = 4004
    HOST_STOPPED = 4005
    IN_PROGRESS = 5000
    OUTCOME_UNKNOWN = 5001
    INTERNAL = 5002
    RECLAIMED = 5003
    COMMAND_ACCEPTED = 6000
    COMMAND_CONFLICT = 6001
    COMMAND_REJECTED = 6002
    COMMAND_UNKNOWN = 6003
    STATEMENT_FAULT = 6004
    ROLE_FORBIDDEN = 6005
    LOG_UNAVAILABLE = 6006


@dataclasses.dataclass(frozen=True, kw_only=True)
class CodeInfo:
    """What a result code means to callers and operators.

    ``status`` is the HTTP status, ``execution`` the default if nothing more is known about the
    request, ``retry`` whether repeating the request is of use, and ``action`` advice to operators.
    """

    status: int
    execution: Execution
    retry: bool
    meaning: str
    action: str


def _info(status: int, execution: Execution, retry: bool, meaning: str, action: str) -> CodeInfo:
    return CodeInfo(status=status, execution=execution, retry=retry, meaning=meaning, action=action)


_NOT_RUN = Execution.NOT_RUN
_RAN = Execution.RAN
_UNKNOWN = Execution.UNKNOWN

CODES: t.Mapping[ResultCode, CodeInfo] = {
    ResultCode.COMPLETE: _info(200, _RAN, False, "The whole answer was delivered.", "None."),
    ResultCode.RECORDED_ANSWER: _info(
        200, _RAN, False, "The key was used before; this is the recorded answer.", "None."
    ),
    ResultCode.BAD_JSON: _info(
        400, _NOT_RUN, False, "The body is not a JSON object.", "Tell the caller."
    ),
    ResultCode.BAD_REQUEST: _info(
        400, _NOT_RUN, False, "A field or header has a wrong value.", "Tell the caller."
    ),
    ResultCode.MISSING_TOKEN: _info(
        401, _NOT_RUN, False, "No bearer token was sent.", "Give the caller a token."
    ),
    ResultCode.WRONG_TOKEN: _info(
        403, _NOT_RUN, False, "The token belongs to no workspace.", "Check the workspace's token."
    ),
    ResultCode.UNKNOWN_SERVICE: _info(
        404, _NOT_RUN, False, "The service does not exist.", "Create it, or tell the caller."
    ),
    ResultCode.UNKNOWN_KIND: _info(
        404, _NOT_RUN, False, "The service has no such request kind.", "Create it."
    ),
    ResultCode.UNKNOWN_REQUEST: _info(
        404, _UNKNOWN, False, "No live host knows this request id.", "See the run-book on loss."
    ),
    ResultCode.BAD_KEY: _info(
        400, _NOT_RUN, False, "The Idempotency-Key is malformed.", "Tell the caller."
    ),
    ResultCode.KEY_REQUIRED: _info(
        400, _NOT_RUN, False, "An at-most-once kind needs an Idempotency-Key.", "Tell the caller."
    ),
    ResultCode.KEY_REUSED: _info(
        422, _NOT_RUN, False, "The key was used with another body.", "Tell the caller."
    ),
    ResultCode.KEY_EXPIRED: _info(
        422, _NOT_RUN, False, "The key is older than the idempotency window.", "Tell the caller."
    ),
    ResultCode.BODY_TOO_LARGE: _info(
        413, _NOT_RUN, False, "The body exceeds the limit.", "Tell the caller."
    ),
    ResultCode.BAD_DEADLINE: _info(
        400, _NOT_RUN, False, "The deadline header is malformed.", "Tell the caller."
    ),
    ResultCode.SERVICE_FORBIDDEN: _info(
        403, _NOT_RUN, False, "The workspace may not use this service.", "Change the workspace."
    ),
    ResultCode.HEAD_TOO_LARGE: _info(
        431, _NOT_RUN, False, "The path or the headers exceed the limit.", "Tell the caller."
    ),
    ResultCode.OVER_LIMIT: _info(
        429,
        _NOT_RUN,
        True,
        "The workspace is over its limit.",
        "Raise the limit if the load is intended.",
    ),
    ResultCode.DEADLINE_UNREACHABLE: _info(
        503, _NOT_RUN, True, "The deadline can't be met at the present load.", "Add upstreams."
    ),
    ResultCode.QUEUE_FULL: _info(
        503, _NOT_RUN, True, "The queue of this host is full.", "Add hosts or upstreams."
    ),
    ResultCode.NO_UPSTREAM: _info(
        503, _NOT_RUN, True, "No upstream of the pool takes work.", "Look at show upstreams."
    ),
    ResultCode.CLAIM_UNAVAILABLE: _info(
        503, _NOT_RUN, True, "The key can't be claimed now.", "Look at the log service."
    ),
    ResultCode.DRAINING: _info(
        503, _NOT_RUN, True, "This host is stopping; ask again at another.", "None."
    ),
    ResultCode.QUARANTINED: _info(
        503, _NOT_RUN, False, "The request crashed upstreams and is quarantined.", "Run-book."
    ),
    ResultCode.DEADLINE_PASSED_WAITING: _info(
        504, _NOT_RUN, True, "The deadline passed in the queue.", "Add upstreams."
    ),
    ResultCode.CONFIGURATION_STALE: _info(
        503, _NOT_RUN, True, "This host has no current configuration.", "Look at the log service."
    ),
    ResultCode.SUSPECT: _info(
        503,
        _NOT_RUN,
        True,
        "Upstreams died running the request; it has to wait until it can run alone.",
        "Run-book.",
    ),
    ResultCode.RETRIES_EXHAUSTED: _info(
        502, _RAN, True, "Upstreams failed and no retry is left.", "Look at show upstreams."
    ),
    ResultCode.UPSTREAM_REJECTED: _info(
        502, _RAN, False, "The upstream answered with an error.", "Look at the upstream."
    ),
    ResultCode.DEADLINE_PASSED_RUNNING: _info(
        504, _RAN, True, "The deadline passed while an upstream worked.", "Check the kind."
    ),
    ResultCode.CRASHED_UPSTREAM: _info(
        502, _RAN, False, "The request crashed the upstream that ran it.", "Run-book."
    ),
    ResultCode.HOST_STOPPED: _info(
        502, _UNKNOWN, True, "The host stopped before the answer had ended.", "Run-book on loss."
    ),
    ResultCode.IN_PROGRESS: _info(
        409, _UNKNOWN, True, "A request with this key is still running.", "None."
    ),
    ResultCode.OUTCOME_UNKNOWN: _info(
        500, _UNKNOWN, False, "Whether the request ran can't be told.", "Check the upstream."
    ),
    ResultCode.ABANDONED: _info(
        499, _UNKNOWN, True, "Every caller left, and the request was cancelled.", "None."
    ),
    ResultCode.INTERNAL: _info(
        500, _UNKNOWN, True, "A fault inside cassiawalk ended the request.", "Report the log line."
    ),
    ResultCode.RECLAIMED: _info(
        502, _UNKNOWN, True, "The host left before the request could be moved.", "Run-book on loss."
    ),
    ResultCode.COMMAND_ACCEPTED: _info(
        200, _RAN, False, "The command is in the configuration.", "None."
    ),
    ResultCode.COMMAND_CONFLICT: _info(
        409, _NOT_RUN, False, "Another command changed the same object.", "Read and repeat."
    ),
    ResultCode.COMMAND_REJECTED: _info(
        422, _NOT_RUN, False, "The command does not fit the configuration.", "Correct it."
    ),
    ResultCode.COMMAND_UNKNOWN: _info(
        202, _UNKNOWN, True, "The log did not confirm the command.", "Ask by its command id."
    ),
    ResultCode.STATEMENT_FAULT: _info(
        400, _NOT_RUN, False, "The statement can't be read.", "Correct it at the caret."
    ),
    ResultCode.ROLE_FORBIDDEN: _info(
        403, _NOT_RUN, False, "The operator's token lacks the role.", "Use a token with the role."
    ),
    ResultCode.LOG_UNAVAILABLE: _info(
        503, _NOT_RUN, True, "The log service refused the command.", "Try again."
    ),
}


def http_status(code: ResultCode, ran: Execution) -> int:
    """Return the HTTP status of a refusal, which says "not run" only if that is certain."""
    status = CODES[code].status
    if ran is not Execution.NOT_RUN and status in NOT_RUN_STATUSES:
        return MAY_HAVE_RUN_STATUS
    return status


@dataclasses.dataclass(frozen=True, kw_only=True)
class Refusal:
    """The final answer to a request that has no result.

    ``retry_after_s`` is in seconds, or None if a retry is of no use. ``execution`` overrides the
    default of the code where more is known about the request.
    """

    code: ResultCode
    detail: str
    retry_after_s: float | None = None
    execution: Execution | None = None

    @property
    def ran(self) -> Execution:
        """Return whether the request ran, as far as that is known."""
        return self.execution or CODES[self.code].execution
