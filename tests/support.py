"""Constants and a function to send requests, shared by process-level tests."""

import dataclasses
import hashlib
import typing as t

import orjson

from standins.fleet import Fleet

CALLER_TOKEN = "caller-token"
TOKEN_SHA256 = hashlib.sha256(CALLER_TOKEN.encode()).hexdigest()
MAX_TOKENS = 24

SMALL_CONFIG = (
    "create pool models with type = engine",
    "create pool vacancy with type = plain",
    "create service enquiries with pool = models",
    "create service beds with pool = vacancy",
    f"create kind enquiries/summary with mode = must_arrive, max_tokens = {MAX_TOKENS}",
    f"create kind enquiries/quick with mode = quick, max_tokens = {MAX_TOKENS}",
    'create kind beds/hold with mode = at_most_once, path = "/holds"',
    'create kind beds/list with mode = quick, path = "/listings"',
    f'create workspace family with token_sha256 = "{TOKEN_SHA256}"',
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Answer:
    """The HTTP answer that a caller gets."""

    status: int
    body: dict[str, t.Any]
    headers: dict[str, str]


async def send(
    fleet: Fleet,
    host: str,
    path: str,
    body: t.Any,
    *,
    key: str | None = None,
    token: str = CALLER_TOKEN,
    **headers: str,
) -> Answer:
    """Send a request to a host and return the complete answer."""
    sent = {"authorization": f"Bearer {token}", "content-type": "application/json", **headers}
    if key is not None:
        sent["idempotency-key"] = key
    data = body if isinstance(body, bytes) else orjson.dumps(body)
    url = f"http://{fleet.hosts[host].caller}/v1/services/{path}"
    res = await fleet.http.post(url, data=data, headers=sent)
    return Answer(
        status=res.status_code,
        body=orjson.loads(await res.content()),
        headers={name.lower(): value for name, value in res.headers.items()},
    )
