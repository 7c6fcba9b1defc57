"""Renders failures as problem details (RFC 9457)."""

import math
import typing as t

from starlette.responses import JSONResponse

from cassiawalk.requests import Failed
from cassiawalk.results import CODES
from cassiawalk.results import http_status

PROBLEM_MEDIA_TYPE = "application/problem+json"


def problem_body(failure: Failed, request_id: str | None) -> dict[str, t.Any]:
    """Return the problem details of a failed or refused request."""
    info = CODES[failure.code]
    body: dict[str, t.Any] = {
        "type": f"urn:cassiawalk:result:{int(failure.code)}",
        "title": info.meaning,
        "status": http_status(failure.code, failure.ran),
        "detail": failure.detail,
        "code": int(failure.code),
        "name": failure.code.name.lower(),
        "ran": failure.ran.value,
    }
    if request_id is not None:
        body["request_id"] = request_id
    if failure.retry_after_s is not None:
        body["retry_after_s"] = failure.retry_after_s
    return body


def problem_response(failure: Failed, request_id: str | None = None) -> JSONResponse:
    """Return the HTTP response for a failed or refused request."""
    headers = {}
    if failure.retry_after_s is not None:
        headers["Retry-After"] = str(math.ceil(failure.retry_after_s))
    return JSONResponse(
        problem_body(failure, request_id),
        status_code=http_status(failure.code, failure.ran),
        headers=headers,
        media_type=PROBLEM_MEDIA_TYPE,
    )
