"""Which versions may get requests, by what a host knows of orders and states."""

import dataclasses
import math
import random
import typing as t

import orjson
import pytest

from cassiawalk.clients import KeyedRecord
from cassiawalk.fleet.heartbeat import Heartbeat
from cassiawalk.fleet.hubsums import sum_of_spokes
from cassiawalk.ids import HostId
from cassiawalk.ids import Offset
from cassiawalk.ids import ServiceName
from cassiawalk.ids import UpstreamId
from cassiawalk.ids import VersionName
from cassiawalk.peer.messages import messages
from cassiawalk.platform.registrations import decode_registration
from cassiawalk.platform.rollouts import decode_order
from cassiawalk.platform.rollouts import encode_status
from cassiawalk.rollouts.book import FRESH_S
from cassiawalk.rollouts.book import KnownUpstream
from cassiawalk.rollouts.book import RolloutBook
from cassiawalk.rollouts.counting import LOST_TOGETHER_S
from cassiawalk.rollouts.counting import Outcome
from cassiawalk.rollouts.counting import Response
from cassiawalk.rollouts.counting import ResponseCounts
from cassiawalk.rollouts.counting import Timing
from cassiawalk.rollouts.counting import VersionCount
from cassiawalk.rollouts.evidence import OLD_VERSION
from cassiawalk.rollouts.types import Phase
from cassiawalk.rollouts.types import Role
from cassiawalk.rollouts.types import RolloutOrder
from cassiawalk.rollouts.types import RolloutState
from tests.fakes import make_heartbeat

SERVICE = ServiceName("models")
OLD, NEW = VersionName("v1"), VersionName("v2")
NOW = 100.0


def known(version: VersionName, number: int) -> KnownUpstream:
    return KnownUpstream(
        upstream_id=UpstreamId(f"{version}-{number}"),
        version=version,
        started_ms=number + (1000 if version == NEW else 0),
        serves=True,
    )


UPSTREAMS = [known(version, number) for version in (OLD, NEW) for number in range(4)]


def book() -> RolloutBook:
    return RolloutBook(upstreams_of=lambda _: UPSTREAMS)


def state(phase: Phase, *, order: int = 1, width: int = 2) -> RolloutState:
    return RolloutState(
        service=SERVICE,
        to=NEW,
        base=OLD,
        order=Offset(order),
        phase=phase,
        duration_s=12.0,
        started_s=0.0,
        since_s=0.0,
        width=width,
    )


def roles(found: RolloutBook, version: VersionName, now: float = NOW) -> list[Role]:
    return [
        found.role(SERVICE, upstream.upstream_id, version, now)
        for upstream in UPSTREAMS
        if upstream.version == version
    ]


def test_a_version_without_an_order_gets_nothing() -> None:
    """Guards against requests to upstreams that are started before their order is known."""
    found = book()
    assert set(roles(found, NEW)) == {Role.BARRED}
    assert set(roles(found, OLD)) == {Role.CARRIES}
    order = RolloutOrder(service=SERVICE, to=NEW, duration_s=9, offset=Offset(1), seen_s=0.0)
    assert found.offer_order(order)
    assert set(roles(found, NEW)) == {Role.BARRED}


@pytest.mark.parametrize(
    ("phase", "new", "old"),
    [
        (Phase.PROMOTED, Role.CARRIES, Role.OUTGOING),
        (Phase.COMPLETED, Role.CARRIES, Role.BARRED),
        (Phase.ROLLED_BACK, Role.BARRED, Role.CARRIES),
    ],
)
def test_roles_follow_from_the_phase_without_news(phase: Phase, new: Role, old: Role) -> None:
    """Guards against a judged version that depends on the holder of the duties."""
    found = book()
    found.offer_state(state(phase))
    assert set(roles(found, NEW)) == {new}
    assert set(roles(found, OLD)) == {old}


def test_an_unjudged_version_gets_requests_on_few_upstreams_while_news_is_fresh() -> None:
    """Guards against a host that goes on sending to an unjudged version without a holder."""
    found = book()
    found.offer_state(state(Phase.CANARY), heard_at=NOW)
    assert sorted(role.value for role in roles(found, NEW)) == ["barred"] * 2 + ["canary"] * 2
    assert set(roles(found, NEW, NOW + FRESH_S + 0.1)) == {Role.BARRED}
    found.offer_state(state(Phase.CANARY), heard_at=NOW + FRESH_S)
    assert Role.CANARY in roles(found, NEW, NOW + FRESH_S + 0.1)


@pytest.mark.parametrize("seed", range(30))
def test_all_hosts_reach_the_same_state_whatever_they_hear_first(seed: int) -> None:
    """Guards against a phase that goes back when old news comes late."""
    rng = random.Random(seed)
    news = [state(phase, order=order) for phase in Phase for order in (1, 2)]
    rng.shuffle(news)
    found, ranks = book(), []
    for one in news:
        found.offer_state(one, heard_at=rng.choice([-math.inf, NOW]))
        current = found.state(SERVICE)
        assert current is not None
        ranks.append(current.key)
    assert ranks == sorted(ranks)
    assert ranks[-1] == (2, Phase.COMPLETED.rank)


def test_nothing_of_rollouts_is_on_the_wire_without_rollouts() -> None:
    """Guards against heartbeats that grow on deployments without rollouts."""
    heartbeat = make_heartbeat(HostId("h-1"))
    plain = messages.to_plain(
        dataclasses.replace(heartbeat, counted=sum_of_spokes([heartbeat], {}, {}))
    )
    assert "rollouts" not in plain and "responses" not in plain
    assert "responses" not in plain["counted"]


def test_hubs_add_up_the_counts_of_their_hosts() -> None:
    """Guards against counts that are lost on the way through hubs or by their encoding."""
    count = VersionCount(
        service=SERVICE, order=Offset(1), route="/a/", upstream=UpstreamId("n"), counts=(3, 2, 1)
    )
    spokes = [make_heartbeat(HostId(f"h-{number}"), responses=(count,)) for number in range(2)]
    hub = make_heartbeat(HostId("hub"), counted=sum_of_spokes(spokes, {}, {}))
    found = messages.from_plain(messages.to_plain(hub))
    assert isinstance(found, Heartbeat) and found.counted is not None
    assert found.counted.responses == (dataclasses.replace(count, counts=(6, 4, 2)),)


@pytest.mark.parametrize(
    "value",
    [
        b"",
        b"{",
        b"[]",
        orjson.dumps({"service": "models", "to": "v2"}),
        orjson.dumps({"service": "models", "to": "", "duration_s": 9}),
        orjson.dumps({"service": "models", "to": 2, "duration_s": 9}),
        orjson.dumps({"service": "models", "to": "v2", "duration_s": -1}),
        orjson.dumps({"service": "models", "to": "v2", "duration_s": "9"}),
        orjson.dumps({"service": "other", "to": "v2", "duration_s": 9}),
    ],
)
def test_malformed_orders_are_ignored(value: bytes) -> None:
    """Guards against an operator's record that stops the reader or starts a wrong rollout."""
    record = KeyedRecord(key="rollout/models", value=value, offset=Offset(3))
    assert decode_order(record, 1.0) is None


@pytest.mark.parametrize(
    ("version", "known_as"), [("", ""), ("v2", "v2"), (None, None), (2, None), ([], None)]
)
def test_entry_is_read_if_its_version_is_text(version: object, known_as: str | None) -> None:
    """Guards against entries of other writers, which name no upstream."""
    entry = {"service": "models", "address": "10.0.0.1:80", "zone": "z", "slots": 4}
    entry |= {"state": "ready", "born": 1, "sequence": 1, "cold_remaining_ms": 0}
    found = decode_registration("u-1", orjson.dumps({**entry, "version": version}))
    assert (None if found is None else found.service_version) == known_as


def test_order_and_status_have_the_fields_of_the_platform() -> None:
    """Guards against a status record with other fields, which the platform does not accept."""
    value = orjson.dumps({"service": "models", "to": "v2", "duration_s": 12})
    order = decode_order(KeyedRecord(key="rollout/models", value=value, offset=Offset(3)), 1.0)
    assert order == RolloutOrder(
        service=SERVICE, to=NEW, duration_s=12.0, offset=Offset(3), seen_s=1.0
    )
    states = {phase: orjson.loads(encode_status(state(phase))[1]) for phase in Phase}
    assert encode_status(state(Phase.CANARY))[0] == "rollout/models"
    assert states == {
        Phase.PROBING: {"state": "running", "to": "v2"},
        Phase.CANARY: {"state": "running", "to": "v2"},
        Phase.PROMOTED: {"state": "running", "to": "v2"},
        Phase.ROLLED_BACK: {"state": "rolled_back", "to": "v2"},
        Phase.COMPLETED: {"state": "completed", "to": "v2"},
    }


def timed(seconds: float, **changes: t.Any) -> Response:
    fields: dict[str, t.Any] = {
        "service": SERVICE,
        "route": "/a/",
        "upstream": UpstreamId("n"),
        "outcome": Outcome.COMPLETE,
        "timings": (Timing(name="first", seconds=seconds, work=changes.pop("work", 100.0)),),
    }
    return Response(**{**fields, **changes})


@pytest.mark.parametrize(
    ("response", "slow"),
    [
        (timed(0.8), 1),
        (timed(0.8, outcome=Outcome.UNANSWERED), 1),
        (timed(0.3), 0),
        (timed(0.8, work=800.0), 0),
        (timed(0.8, upstream_age_s=1.0), 0),
        (timed(0.8, in_stall=True), 0),
        (timed(0.8, route="/unknown/"), 0),
    ],
    ids=["slow", "unanswered", "uneven", "cold-cache", "slow-start", "stall", "unknown-route"],
)
def test_slow_responses_are_told_from_those_with_another_cause(
    response: Response, slow: int
) -> None:
    """Guards against cold caches, slow starts and stalls that count against a version."""
    counts = ResponseCounts()
    for _ in range(20):
        counts.note(timed(0.1, upstream=OLD_VERSION), NOW)
    counts.begin(SERVICE, Offset(1))
    counts.note(response, NOW)
    assert [found.counts for found in counts.current()] == [(1, 0, slow)]


def test_answers_that_one_crash_ends_count_once() -> None:
    """Guards against a crashed upstream that condemns its version."""
    counts = ResponseCounts()
    counts.begin(SERVICE, Offset(1))
    lost = Response(
        service=SERVICE,
        route="/a/",
        upstream=UpstreamId("n"),
        outcome=Outcome.LOST,
        timings=(),
    )
    for number in range(20):
        counts.note(lost, NOW + number * LOST_TOGETHER_S / 50)
    assert [found.counts for found in counts.current()] == [(1, 1, 0)]
