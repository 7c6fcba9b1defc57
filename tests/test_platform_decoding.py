"""Decoding of valid and malformed settings, configuration, upstream entries and heads."""

import dataclasses
import pathlib
import typing as t

import hypothesis
import hypothesis.strategies as st
import orjson
import pytest

from cassiawalk.errors import UsageError
from cassiawalk.errors import WireError
from cassiawalk.http1 import HeadError
from cassiawalk.ids import FailureDomain
from cassiawalk.ids import ServiceName
from cassiawalk.ids import UpstreamId
from cassiawalk.ids import WorkspaceName
from cassiawalk.ingress.codec import AttemptHeaders
from cassiawalk.ingress.codec import Demand
from cassiawalk.platform.codec import PlatformHeadCodec
from cassiawalk.platform.config import decode_config
from cassiawalk.platform.host import main
from cassiawalk.platform.registrations import decode_registration
from cassiawalk.platform.settings import load_settings
from cassiawalk.results import NOT_RUN_STATUSES
from cassiawalk.results import Execution
from cassiawalk.results import Refusal
from cassiawalk.results import ResultCode
from cassiawalk.storeview.config import RetryRule
from cassiawalk.storeview.load import ReportedLoad
from cassiawalk.storeview.upstream import Presence

ROUTE = {
    "name": "r-1",
    "host": "Care.Example",
    "path_prefix": "/a/",
    "kind": "streaming",
    "timeout_ms": 5000,
    "target_latency_ms": 600,
    "priority": 2,
    "service": "models",
    "max_attempts": 2,
    "resume_streams": True,
}
ENGINE = {"slots": 64, "kv_capacity_tokens": 1000, "moves": True, "backups": False, "most": 12}
SCALING = {"min": 1, "max": 5, "boot_time_s": 4.0, "spot_price": 0.15, "zone_prices": {"z": 0.8}}
CONFIG = {
    "version": 7,
    "routes": [ROUTE],
    "services": [
        {"name": "models", "max_connections": 9, "engine": ENGINE, "scaling": SCALING},
        {"name": "plain", "max_connections": 4},
    ],
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 4194304,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    },
    "tenants": [{"name": "t-1", "api_keys": ["k"], "unit": "tokens", "rate_per_s": 5, "burst": 6}],
}
ENTRY = {
    "service": "models",
    "address": "10.0.0.1:80",
    "zone": "z",
    "slots": 64,
    "state": "ready",
    "born": 17,
    "version": "v1",
    "cold_remaining_ms": 0,
    "sequence": 3,
}
SETTINGS = {
    "node_name": "n-1",
    "ip": "127.0.0.1",
    "zone": "z",
    "listen": {"front": "127.0.0.1:8001", "ready": "127.0.0.1:8002"},
    "internal_port_range": [7600, 7615],
    "bounds": {"grace_s": 6, "retry_budget_extra": 58, "lease_ms": 3000, "quota_slack": 100},
    "platform": {"address": "127.0.0.1:8003"},
    "cloud_api": {"address": "127.0.0.1:8004"},
}


def _changed(table: dict[str, t.Any], **changes: t.Any) -> bytes:
    return orjson.dumps({**table, **changes})


def test_configuration_is_decoded() -> None:
    found = decode_config(orjson.dumps(CONFIG))
    route = found.route_for(b"care.example", b"/a/b")
    assert route is not None
    assert (route.rule, route.limit_s, route.target_latency_s, route.rank) == (
        RetryRule.STREAM_RESUMABLE,
        5.0,
        0.6,
        2,
    )
    assert [split.service for split in route.splits] == ["models"]
    space = found.workspace_for(b"k")
    assert space is not None
    assert (space.name, space.by_tokens, space.rate_per_s) == ("t-1", True, 5.0)
    service = found.services[ServiceName("models")]
    assert service.scaling is not None
    assert service.scaling.domain_prices == {FailureDomain("z"): 0.8}
    assert found.limits.idle_timeout_s == 15.0


def test_memory_and_link_of_engines_are_decoded() -> None:
    """Guards against an estimate of fetches without what operators declare of them."""
    engine = {**ENGINE, "kv_token_bytes": 1024, "link_mbps": 2500.0}
    services = [{"name": "models", "engine": engine}, {"name": "older", "engine": ENGINE}]
    found = decode_config(_changed(CONFIG, services=services)).services
    declared = found[ServiceName("models")].engine
    assert declared is not None
    assert (declared.memory_tokens, declared.token_bytes, declared.link_mbps) == (1000, 1024, 2500)
    older = found[ServiceName("older")].engine
    assert older is not None
    assert (older.token_bytes, older.link_mbps) == (0, 0.0)


@pytest.mark.parametrize(
    ("kind", "rule"),
    [
        ("safe", RetryRule.REPEATABLE),
        ("unsafe", RetryRule.ONCE),
        ("keyed", RetryRule.ONCE),
        ("something new", RetryRule.ONCE),
    ],
)
def test_unknown_kinds_are_sent_once(kind: str, rule: RetryRule) -> None:
    found = decode_config(_changed(CONFIG, routes=[{**ROUTE, "kind": kind}]))
    assert found.routes[0].rule is rule


def test_service_with_weight_zero_gets_no_requests() -> None:
    split = [{"service": "a", "weight": 0}, {"service": "b", "weight": 3}]
    found = decode_config(_changed(CONFIG, routes=[{**ROUTE, "traffic_split": split}]))
    assert [part.service for part in found.routes[0].splits] == ["b"]


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"[]",
        b"{",
        _changed(CONFIG, version="7"),
        _changed(CONFIG, version=True),
        _changed(CONFIG, routes=[5]),
        _changed(CONFIG, routes=[{**ROUTE, "host": None}]),
        _changed(CONFIG, routes=[{**ROUTE, "timeout_ms": "soon"}]),
        _changed(CONFIG, limits=None),
        _changed(CONFIG, services=[{}]),
    ],
)
def test_malformed_configuration_is_an_error(data: bytes) -> None:
    with pytest.raises(WireError):
        decode_config(data)


def test_upstream_entry_is_decoded() -> None:
    found = decode_registration("i-1", orjson.dumps({**ENTRY, "use_spot": True, "leaves_ms": 2500}))
    assert found is not None
    assert found.upstream_id == UpstreamId("i-1")
    assert (found.presence, found.reclaimable, found.leaves_s) == (Presence.READY, True, 2.5)


@pytest.mark.parametrize(
    "data",
    [
        b"\xff\x00",
        b"null",
        _changed(ENTRY, state="new-state"),
        _changed(ENTRY, state=None),
        _changed(ENTRY, address="10.0.0.1"),
        _changed(ENTRY, address="10.0.0.1:99999"),
        _changed(ENTRY, address=80),
        _changed(ENTRY, slots="64"),
        _changed(ENTRY, born=1.5),
        _changed(ENTRY, service=None),
    ],
)
def test_malformed_upstream_entry_is_ignored(data: bytes) -> None:
    assert decode_registration("i-1", data) is None


@hypothesis.given(st.binary(max_size=200))
def test_arbitrary_bytes_raise_no_unexpected_error(data: bytes) -> None:
    decode_registration("i-1", data)
    with pytest.raises(WireError):
        decode_config(data)


@hypothesis.given(
    st.dictionaries(
        st.sampled_from([*ENTRY, "use_spot", "leaves_ms"]),
        st.one_of(
            st.none(), st.booleans(), st.integers(), st.text(max_size=8), st.lists(st.none())
        ),
    )
)
def test_arbitrary_fields_of_an_upstream_entry_raise_nothing(changes: dict[str, t.Any]) -> None:
    try:
        data = orjson.dumps({**ENTRY, **changes})
    except TypeError:
        return  # an integer that orjson can't encode
    decode_registration("i-1", data)


def test_settings_are_decoded(tmp_path: pathlib.Path) -> None:
    path = tmp_path / "settings.json"
    path.write_bytes(orjson.dumps({**SETTINGS, "something": "new"}))
    found = load_settings(path)
    assert found.profile.host_id == "n-1"
    assert str(found.profile.peer_address) == "127.0.0.1:7600"
    assert found.profile.bounds.stop_s == 6.0
    assert found.profile.bounds.quota_amount == 100.0
    assert found.duty_address == "127.0.0.1:8004"


@pytest.mark.parametrize(
    ("placement", "estimates"),
    [({}, False), ({"prefix_estimate": True}, True), ({"prefix_estimate": False}, False)],
)
def test_prefix_estimate_is_a_setting(
    tmp_path: pathlib.Path, placement: dict[str, bool], estimates: bool
) -> None:
    path = tmp_path / "settings.json"
    path.write_bytes(orjson.dumps({**SETTINGS, "placement": placement}))
    assert load_settings(path).profile.prefix_estimate is estimates


@pytest.mark.parametrize(
    ("changes", "named"),
    [
        ({"placement": {"prefix_estimate": "yes"}}, "prefix_estimate"),
        ({"node_name": None}, "node_name"),
        ({"listen": {}}, "front"),
        ({"listen": {"front": "here", "ready": "127.0.0.1:1"}}, "here"),
        ({"internal_port_range": [1]}, "internal_port_range"),
        ({"bounds": {"grace_s": "long"}}, "grace_s"),
        ({"platform": {}}, "address"),
        ({"admission": {"queueing": "no"}}, "queueing"),
    ],
)
def test_error_for_malformed_settings_names_the_field(
    changes: dict[str, t.Any],
    named: str,
    tmp_path: pathlib.Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    path = tmp_path / "settings.json"
    path.write_bytes(orjson.dumps({**SETTINGS, **changes}))
    with pytest.raises(UsageError, match=named):
        load_settings(path)
    assert main([str(path), "--check-settings"]) == 64
    assert named in capsys.readouterr().err


@pytest.mark.parametrize(
    ("section", "queueing"),
    [(None, True), ({}, True), ({"queueing": True}, True), ({"queueing": False}, False)],
)
def test_queueing_is_on_unless_the_settings_switch_it_off(
    section: dict[str, bool] | None, queueing: bool, tmp_path: pathlib.Path
) -> None:
    """Guards against a switch that is not read, and against one that files without it turn off."""
    path = tmp_path / "settings.json"
    path.write_bytes(orjson.dumps({**SETTINGS, "admission": section}))
    assert load_settings(path).profile.queueing is queueing


def test_missing_settings_file_is_an_error(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    assert main([str(tmp_path / "none.json")]) == 64
    assert "can't be read" in capsys.readouterr().err


def test_demand_is_read_from_the_head() -> None:
    headers = [
        (b"X-Request-ID", b"q1"),
        (b"X-Deadline-Ms", b"1500"),
        (b"X-Token-Usage", b"1460,80"),
        (b"X-Prompt-Prefix", b"5c:800,91:410, e4:250"),
        (b"Last-Event-Id", b"12"),
    ]
    found = PlatformHeadCodec().parse_request(headers)
    assert (found.prompt_tokens, found.output_tokens, found.deadline_s) == (1460, 80, 1.5)
    assert [part.part_id for part in found.shared_prefix] == ["5c", "91"]
    assert found.last_event == b"12"


def test_request_without_id_is_refused() -> None:
    with pytest.raises(HeadError, match="X-Request-Id"):
        PlatformHeadCodec().parse_request([(b"Host", b"a")])


@pytest.mark.parametrize("digits", [10, 400, 5000])
@pytest.mark.parametrize(
    ("header", "value"),
    [
        (b"X-Token-Usage", b"%s,1"),
        (b"X-Token-Usage", b"1,%s"),
        (b"X-Prompt-Prefix", b"5c1e07a2:%s"),
    ],
)
def test_counts_that_no_prompt_has_are_refused(header: bytes, value: bytes, digits: int) -> None:
    """Guards against counts too large for the sums of a quota, and against an error in int()."""
    with pytest.raises(HeadError) as raised:
        PlatformHeadCodec().parse_request(
            [(b"X-Request-Id", b"1"), (header, value % (b"9" * digits))]
        )
    assert raised.value.status == 400


def test_resumed_stream_sends_one_last_event_id() -> None:
    headers = [(b"Host", b"a"), (b"Last-Event-Id", b"3")]
    added = AttemptHeaders(
        upstream_id=UpstreamId("i-1"),
        left_s=1.25,
        workspace=WorkspaceName("t-1"),
        last_event=b"9",
    )
    head = list(PlatformHeadCodec().build_upstream_head(headers, b"", added))
    assert [value for name, value in head if name.lower() == b"last-event-id"] == [b"9"]
    assert (b"X-Deadline-Ms", b"1250") in head


def test_callers_cannot_set_the_engine_to_fetch_from() -> None:
    headers = [(b"Host", b"a"), (b"Kv-Fetch", b"10.0.0.1:1")]
    added = AttemptHeaders(upstream_id=UpstreamId("i-1"), left_s=1.0, workspace=None)
    assert [name for name, _ in PlatformHeadCodec().build_upstream_head(headers, b"", added)][
        0
    ] == b"Host"
    assert b"kv-fetch" not in {
        name.lower() for name, _ in PlatformHeadCodec().build_upstream_head(headers, b"", added)
    }
    added = dataclasses.replace(added, holder_address="10.0.0.2:2")
    assert (b"Kv-Fetch", b"10.0.0.2:2") in PlatformHeadCodec().build_upstream_head(
        headers, b"", added
    )


@pytest.mark.parametrize("load", [b"3,0,8", b" 3 , 0 , 8 "])
def test_load_is_read_from_an_answer(load: bytes) -> None:
    metadata = PlatformHeadCodec().parse_answer_head(200, [(b"X-Server-Load", load)])
    assert metadata.load == ReportedLoad(running=3, waiting=0, slots=8)
    assert metadata.unreadable == ()


@pytest.mark.parametrize(
    ("load", "pace"),
    [(b"3,1,8,100", 1.0), (b"3,1,8, 250 ", 2.5), (b"3,1,8,80", 0.8), (b"3,1,8,112.5", 1.125)],
)
def test_pace_is_read_from_an_answer(load: bytes, pace: float) -> None:
    """Guards against headers with four values being dropped as malformed."""
    metadata = PlatformHeadCodec().parse_answer_head(200, [(b"X-Server-Load", load)])
    assert metadata.load == ReportedLoad(running=3, waiting=1, slots=8, pace=pace)
    assert metadata.unreadable == ()


@pytest.mark.parametrize("load", [b"", b"3,0", b"3,0,x", b"-1,0,8"])
def test_malformed_load_of_an_answer_is_ignored(load: bytes) -> None:
    assert PlatformHeadCodec().parse_answer_head(200, [(b"X-Server-Load", load)]).load is None


@pytest.mark.parametrize(
    "load",
    [
        b"",
        b"3,0",
        b"3,0,8,",
        b"3,0,8,x",
        b"3,0,8,-1",
        b"3,0,8,0",
        b"3,0,8,nan",
        b"3,0,8,inf",
        b"3,0,8,1e30",
        b"3,0,8,100,5",
        b"3,0," + b"9" * 5000,
    ],
)
def test_unreadable_load_of_an_answer_is_named_once_beside_what_can_be_read(load: bytes) -> None:
    """Guards against reports that are dropped without a log line, and against an error."""
    headers = [(b"X-Server-Load", load), (b"Server-Limit", b"7")]
    metadata = PlatformHeadCodec().parse_answer_head(200, headers)
    assert metadata.load is None
    assert metadata.limit_per_s == 7.0
    assert len(metadata.unreadable) == 1
    assert metadata.unreadable[0].startswith("X-Server-Load: ")


@pytest.mark.parametrize("execution", Execution)
@pytest.mark.parametrize("code", ResultCode)
def test_not_run_status_is_sent_only_if_the_request_has_not_run(
    code: ResultCode, execution: Execution
) -> None:
    refusal = Refusal(code=code, detail="why", retry_after_s=0.25, execution=execution)
    demand = Demand(
        request_id=PlatformHeadCodec().parse_request([(b"X-Request-Id", b"q")]).request_id
    )
    status, headers, body = PlatformHeadCodec().build_refusal(demand, refusal)
    if status in NOT_RUN_STATUSES:
        assert execution is Execution.NOT_RUN
        assert (b"Retry-After", b"0.250") in headers
    if execution is Execution.NOT_RUN and status >= 500:
        assert status == 503
    assert orjson.loads(body)["ran"] == execution.value
