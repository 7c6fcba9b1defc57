"""Malformed input from outside ends in a known error or a log line. Deterministic in every run."""

import contextlib
import copy
import json
import typing as t

import hypothesis
import pytest
from hypothesis import strategies as st

from cassiawalk.clients import KeyedRecord
from cassiawalk.errors import WireError
from cassiawalk.fleet.hosts import _decode
from cassiawalk.http1 import HeadError
from cassiawalk.http1.heads import check_raw_head
from cassiawalk.ids import Offset
from cassiawalk.ingress.events import EventSplitter
from cassiawalk.platform import names
from cassiawalk.platform._fields import parse_object
from cassiawalk.platform.codec import PlatformHeadCodec
from cassiawalk.platform.config import decode_config
from cassiawalk.platform.registrations import decode_registration
from cassiawalk.platform.settings import _settings
from cassiawalk.platform.store import _read_batch
from standins.platform_fleet import platform_config
from tests.answer_ends import ends_with_empty_line

deterministic = hypothesis.settings(
    derandomize=True,
    max_examples=300,
    deadline=None,
    suppress_health_check=[hypothesis.HealthCheck.too_slow],
)
SCALARS = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(),
    st.floats(),
    st.text(max_size=12),
    st.binary(max_size=4),
)
VALUES = st.recursive(
    SCALARS,
    lambda inner: st.one_of(
        st.lists(inner, max_size=3), st.dictionaries(st.text(max_size=6), inner, max_size=3)
    ),
    max_leaves=6,
)
ENTRY = {
    "service": "models",
    "address": "10.0.0.1:80",
    "zone": "here",
    "slots": 8,
    "state": "ready",
    "born": 1,
    "version": "v1",
    "cold_remaining_ms": 0,
    "sequence": 1,
    "leaves_ms": 2000,
    "use_spot": True,
}
SETTINGS = {
    "node_name": "host-0",
    "ip": "10.0.0.1",
    "zone": "here",
    "listen": {"front": "10.0.0.1:8001", "ready": "10.0.0.1:8002"},
    "internal_port_range": [7600, 7615],
    "limits": {"cpu_share": 0.5, "cores": 2, "link_mbps": 10.0},
    "bounds": {"grace_s": 6, "quota_slack": 190000},
    "platform": {"address": "10.0.0.2:80"},
    "cloud_api": {"address": "10.0.0.3:80"},
}
CONFIG = platform_config(3)
CONFIG["routes"][0]["traffic_split"] = [{"service": "models", "weight": 0.5}]
CONFIG["services"][0]["engine"] = {"slots": 4, "kv_capacity_tokens": 100, "moves": True}
CONFIG["services"][0]["scaling"] = {
    "min": 1,
    "max": 4,
    "boot_time_s": 4.0,
    "spot_price": 0.2,
    "zone_prices": {"here": 1.0},
}
CONFIG["tenants"][0].update(priority=1, rate_per_s=5.0, burst=3, unit="tokens", plain_tokens=9)


def _paths(value: t.Any, path: tuple[t.Any, ...] = ()) -> list[tuple[t.Any, ...]]:
    if not isinstance(value, dict | list):
        return [path]
    steps = value.items() if isinstance(value, dict) else enumerate(value)
    return [path, *(found for step, inner in steps for found in _paths(inner, (*path, step)))]


@st.composite
def damaged(draw: st.DrawFn, valid: t.Any) -> t.Any:
    """Return ``valid`` with one value replaced or removed, or another value altogether."""
    path = draw(st.sampled_from(_paths(valid)))
    if not path:
        return draw(VALUES)
    found = copy.deepcopy(valid)
    at = found
    for step in path[:-1]:
        at = at[step]
    if draw(st.booleans()):
        at[path[-1]] = draw(VALUES)
    else:
        del at[path[-1]]
    return found


def _json(value: t.Any) -> bytes:
    return json.dumps(value, default=bytes.hex).encode("utf-8", "surrogatepass")


@deterministic
@hypothesis.given(damaged(CONFIG))
def test_damaged_configuration_is_refused_or_decoded(value: t.Any) -> None:
    with contextlib.suppress(WireError):
        decode_config(_json(value))


@deterministic
@hypothesis.given(damaged(ENTRY))
def test_damaged_upstream_entry_is_ignored_or_decoded(value: t.Any) -> None:
    found = decode_registration("i-1", _json(value))
    assert found is None or found.upstream_id == "i-1"


@deterministic
@hypothesis.given(damaged(SETTINGS))
def test_damaged_settings_are_refused_or_decoded(value: t.Any) -> None:
    with contextlib.suppress(WireError):
        _settings(parse_object(_json(value)))


@deterministic
@hypothesis.given(st.binary(max_size=60))
def test_arbitrary_bytes_as_a_record_are_refused(data: bytes) -> None:
    for read in (decode_config, lambda raw: _read_batch(raw, Offset(0))):
        with contextlib.suppress(WireError):
            read(data)
    assert decode_registration("i-1", data) is None
    assert _decode(KeyedRecord(key="host-0", value=data or None, offset=Offset(0))) is None


NAMES = st.sampled_from(
    (
        names.REQUEST_ID,
        names.DEADLINE,
        names.API_KEY,
        names.TOKEN_COUNTS,
        names.PROMPT_PARTS,
        names.LAST_EVENT,
        names.LOAD,
        b"host",
    )
)
VALUE = st.one_of(
    st.binary(max_size=20),
    st.sampled_from((b"1e400", b"nan", b"-1", b"1,2", b"5c:800,91:410", b"5c:", b":3", b"\xb2,1")),
)


@deterministic
@hypothesis.given(st.lists(st.tuples(NAMES, VALUE), max_size=8))
def test_arbitrary_headers_are_refused_or_decoded(headers: list[tuple[bytes, bytes]]) -> None:
    codec = PlatformHeadCodec()
    codec.parse_answer_head(200, headers)
    try:
        demand = codec.parse_request(headers)
    except HeadError as exc:
        assert exc.status == 400
        return
    assert demand.request_id
    assert demand.deadline_s is None or 0 <= demand.deadline_s < 1e6


@deterministic
@hypothesis.given(st.binary(max_size=80))
def test_raw_heads_are_refused_or_accepted(head: bytes) -> None:
    try:
        check_raw_head(head)
    except HeadError as exc:
        assert exc.status == 400
        return
    assert b"\n" not in head.replace(b"\r\n", b"")


@deterministic
@hypothesis.given(
    st.lists(st.sampled_from((b"id: 1\n", b"data: x\n", b"\n", b"\r\n", b"\r", b"d: y\r", b"i")))
)
def test_events_stay_complete_however_the_stream_is_split(pieces: list[bytes]) -> None:
    splitter, whole = EventSplitter(), b""
    for piece in pieces:
        whole += splitter.feed(piece)
    rest = splitter.take_incomplete()
    assert whole + rest == b"".join(pieces)
    assert ends_with_empty_line(whole)
    assert not any(ends_with_empty_line(whole + rest[:size]) for size in range(1, len(rest) + 1))


def test_undamaged_examples_are_decoded() -> None:
    """Without this, the tests of damaged input could pass on input that is never valid."""
    assert decode_config(_json(CONFIG)).workspaces[0].by_tokens
    assert decode_registration("i-1", _json(ENTRY)) is not None
    assert _settings(SETTINGS).profile.strength == pytest.approx(10.0)
