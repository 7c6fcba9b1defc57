"""Which engine is asked for prompt parts that the chosen one may lack."""

import pytest

from cassiawalk.ids import FailureDomain
from cassiawalk.ids import ServiceName
from cassiawalk.ids import UpstreamId
from cassiawalk.ingress.codec import PartId
from cassiawalk.ingress.codec import PromptPart
from cassiawalk.ingress.directory import Presence
from cassiawalk.ingress.directory import Registration
from cassiawalk.ingress.directory import Upstream
from cassiawalk.ingress.holders import LEAST_FETCHED_TOKENS
from cassiawalk.ingress.holders import NEWLY_STARTED_S
from cassiawalk.ingress.holders import home_order
from cassiawalk.ingress.holders import likely_holder
from tests.fakes import FakeClock

NAMES = ("u-1", "u-2", "u-3", "u-4")
PARTS = (PromptPart(part_id=PartId("5c"), tokens=2 * LEAST_FETCHED_TOKENS),)
NEW_MS = 100_000


def make(name: str, *, started_ms: int = 0, presence: Presence = Presence.READY) -> Upstream:
    registration = Registration(
        upstream_id=UpstreamId(name),
        service=ServiceName("models"),
        address=f"{name}:1",
        failure_domain=FailureDomain("here"),
        slots=4,
        presence=presence,
        started_ms=started_ms,
    )
    return Upstream(registration=registration, clock=FakeClock())


def ranked() -> list[Upstream]:
    made = {UpstreamId(name): make(name) for name in NAMES}
    return [made[name] for name in home_order(PARTS, made.values())]


def test_upstream_that_is_not_the_home_fetches_from_the_home() -> None:
    home, second, *rest = ranked()
    assert likely_holder(PARTS, second, [second, home, *rest], NEW_MS) is home


def test_home_that_was_always_there_fetches_from_nobody() -> None:
    home, *rest = ranked()
    assert likely_holder(PARTS, home, [home, *rest], NEW_MS) is None


def test_home_that_has_just_started_fetches_from_the_one_before() -> None:
    first, *rest = ranked()
    home = make(first.upstream_id, started_ms=NEW_MS)
    present = [home, *rest]
    assert likely_holder(PARTS, home, present, NEW_MS + 500) is rest[0]
    later_ms = NEW_MS + NEWLY_STARTED_S * 1000 + 1
    assert likely_holder(PARTS, home, present, later_ms) is None


def test_home_that_leaves_is_fetched_from_while_it_is_there() -> None:
    first, second, *rest = ranked()
    leaving = make(first.upstream_id, presence=Presence.LEAVING)
    assert likely_holder(PARTS, second, [leaving, second, *rest], NEW_MS) is leaving


def test_what_this_host_sent_itself_goes_before_what_it_supposes() -> None:
    home, second, third, *rest = ranked()
    third.load.note_cached(PARTS)
    present = [home, second, third, *rest]
    assert likely_holder(PARTS, second, present, NEW_MS) is third
    assert likely_holder(PARTS, third, present, NEW_MS) is None


def test_upstream_that_fails_is_not_fetched_from() -> None:
    home, second, *rest = ranked()
    home.health.note_failure(definite=True)
    assert likely_holder(PARTS, second, [home, second, *rest], NEW_MS) is None


@pytest.mark.parametrize("tokens", [0, LEAST_FETCHED_TOKENS - 1])
def test_short_parts_are_read(tokens: int) -> None:
    home, second, *rest = ranked()
    short = (PromptPart(part_id=PARTS[0].part_id, tokens=tokens),)
    assert likely_holder(short, second, [home, second, *rest], NEW_MS) is None
