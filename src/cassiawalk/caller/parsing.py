"""Parses HTTP requests into request records, or refuses them."""

import dataclasses
import hashlib
import hmac
import string
import typing as t

import orjson
from starlette.requests import Request

from cassiawalk.clock import Clock
from cassiawalk.control import ConfigState
from cassiawalk.control.state import KindMode
from cassiawalk.control.state import PoolType
from cassiawalk.control.state import Workspace
from cassiawalk.ids import HostId
from cassiawalk.ids import KindName
from cassiawalk.ids import ServiceName
from cassiawalk.ids import WorkspaceName
from cassiawalk.ids import new_request_id
from cassiawalk.ids import uuid7_time_s
from cassiawalk.requests import RequestRecord
from cassiawalk.results import Refusal
from cassiawalk.results import ResultCode

MAX_BODY_BYTES = 4 * 1024 * 1024
MAX_PATH_BYTES = 2048
MAX_HEADER_BYTES = 32 * 1024
MAX_KEY_CHARS = 128
MAX_DEADLINE_S = 24 * 3600.0
DEADLINE_HEADER = "x-deadline-seconds"
_ALLOWED_KEY_CHARS = frozenset(string.ascii_letters + string.digits + "-_.:")


@dataclasses.dataclass(frozen=True, kw_only=True)
class Identity:
    """The workspace that a caller's token belongs to."""

    name: WorkspaceName
    workspace: Workspace


def authenticate(req: Request, state: ConfigState) -> Identity | Refusal:
    """Return the workspace of the request's bearer token, or a refusal.

    The token's digest is compared with those of all workspaces, each in constant time.
    """
    scheme, _, token = req.headers.get("authorization", "").partition(" ")
    if scheme.lower() != "bearer" or not token.strip():
        return Refusal(code=ResultCode.MISSING_TOKEN, detail="send Authorization: Bearer TOKEN")
    digest = hashlib.sha256(token.strip().encode()).hexdigest()
    found = None
    for name, workspace in state.workspaces.items():
        if hmac.compare_digest(workspace.token_sha256, digest):
            found = Identity(name=name, workspace=workspace)
    return found or Refusal(code=ResultCode.WRONG_TOKEN, detail="the token is not known")


def check_head(req: Request) -> Refusal | None:
    """Return a refusal if the path or the headers of a request are too large, else None."""
    path_bytes = len(req.url.path)
    if path_bytes > MAX_PATH_BYTES:
        detail = f"the path has {path_bytes} bytes; allowed: {MAX_PATH_BYTES}"
        return Refusal(code=ResultCode.HEAD_TOO_LARGE, detail=detail)
    header_bytes = sum(len(name) + len(value) for name, value in req.headers.raw)
    if header_bytes > MAX_HEADER_BYTES:
        detail = f"the headers have {header_bytes} bytes; allowed: {MAX_HEADER_BYTES}"
        return Refusal(code=ResultCode.HEAD_TOO_LARGE, detail=detail)
    return None


async def read_body(req: Request) -> bytes | Refusal:
    """Return the body of a request, or a refusal as soon as it exceeds ``MAX_BODY_BYTES``."""
    too_large = Refusal(
        code=ResultCode.BODY_TOO_LARGE, detail=f"the body exceeds {MAX_BODY_BYTES} bytes"
    )
    content_length = req.headers.get("content-length", "")
    if content_length.isdigit() and int(content_length) > MAX_BODY_BYTES:
        return too_large
    body = bytearray()
    async for chunk in req.stream():
        body += chunk
        if len(body) > MAX_BODY_BYTES:
            return too_large
    return bytes(body)


class RecordBuilder:
    """Builds the request records of one host.

    :param once_window_s: idempotency window in seconds; an older key is refused if it is a UUIDv7,
        which holds its time of creation.
    """

    def __init__(self, *, host: HostId, clock: Clock, once_window_s: float) -> None:
        self._host = host
        self._clock = clock
        self._once_window_s = once_window_s

    def build(
        self, req: Request, body: bytes, identity: Identity, state: ConfigState
    ) -> RequestRecord | Refusal:
        """Return the record of a new request, or a refusal."""
        service_name = ServiceName(req.path_params["service"])
        kind_name = KindName(req.path_params["kind"])
        service = state.services.get(service_name)
        if service is None:
            return Refusal(code=ResultCode.UNKNOWN_SERVICE, detail=f"no service {service_name!r}")
        allowed_services = identity.workspace.services.split()
        if allowed_services and service_name not in allowed_services:
            detail = f"workspace {identity.name!r} may not use service {service_name!r}"
            return Refusal(code=ResultCode.SERVICE_FORBIDDEN, detail=detail)
        kind = state.kind(service_name, kind_name)
        if kind is None:
            detail = f"service {service_name!r} has no kind {kind_name!r}"
            return Refusal(code=ResultCode.UNKNOWN_KIND, detail=detail)
        prompt = _prompt(body, state.pools[service.pool].type)
        if isinstance(prompt, Refusal):
            return prompt
        key = self._key(req, kind.mode)
        if isinstance(key, Refusal):
            return key
        deadline_s = self._deadline_s(req, kind.deadline_s)
        if isinstance(deadline_s, Refusal):
            return deadline_s
        return RequestRecord(
            request_id=new_request_id(self._host),
            workspace=identity.name,
            service=service_name,
            kind_name=kind_name,
            kind=kind,
            pool=service.pool,
            body=body,
            prompt=prompt,
            deadline_s=deadline_s,
            accepted_at=self._clock.monotonic(),
            share=identity.workspace.share,
            key=key,
        )

    def _key(self, req: Request, mode: KindMode) -> str | None | Refusal:
        key = req.headers.get("idempotency-key")
        if key is None:
            if mode is not KindMode.AT_MOST_ONCE:
                return None
            return Refusal(code=ResultCode.KEY_REQUIRED, detail="send an Idempotency-Key header")
        if not 1 <= len(key) <= MAX_KEY_CHARS or not _ALLOWED_KEY_CHARS.issuperset(key):
            detail = f"1 to {MAX_KEY_CHARS} letters, digits, '-', '_', '.' or ':' are allowed"
            return Refusal(code=ResultCode.BAD_KEY, detail=detail)
        created_s = uuid7_time_s(key)
        if created_s is not None and created_s < self._clock.wall() - self._once_window_s:
            detail = f"the key is older than the window of {self._once_window_s:g} s"
            return Refusal(code=ResultCode.KEY_EXPIRED, detail=detail)
        return key

    def _deadline_s(self, req: Request, default_s: float) -> float | Refusal:
        text = req.headers.get(DEADLINE_HEADER)
        try:
            timeout_s = default_s if text is None else float(text)
        except ValueError:
            timeout_s = -1.0
        if not 0.0 < timeout_s <= MAX_DEADLINE_S:
            detail = f"{DEADLINE_HEADER} is {text!r}; allowed: seconds up to {MAX_DEADLINE_S:g}"
            return Refusal(code=ResultCode.BAD_DEADLINE, detail=detail)
        return self._clock.wall() + timeout_s


def _prompt(body: bytes, pool_type: PoolType) -> str | Refusal:
    try:
        parsed: t.Any = orjson.loads(body)
    except orjson.JSONDecodeError as exc:
        return Refusal(code=ResultCode.BAD_JSON, detail=str(exc))
    if not isinstance(parsed, dict):
        return Refusal(code=ResultCode.BAD_JSON, detail="the body is not a JSON object")
    if pool_type is PoolType.PLAIN:
        return ""
    prompt = parsed.get("prompt")
    if not isinstance(prompt, str) or not prompt.strip():
        return Refusal(code=ResultCode.BAD_REQUEST, detail="'prompt' must be a text, not empty")
    return prompt
