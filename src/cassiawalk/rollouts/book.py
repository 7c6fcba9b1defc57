"""What a host knows of orders and states of rollouts, and what each version may get by that."""

import collections.abc as cabc
import dataclasses
import hashlib
import math

from cassiawalk.ids import ServiceName
from cassiawalk.ids import UpstreamId
from cassiawalk.ids import VersionName
from cassiawalk.rollouts.types import NO_VERSION
from cassiawalk.rollouts.types import Phase
from cassiawalk.rollouts.types import Role
from cassiawalk.rollouts.types import RolloutOrder
from cassiawalk.rollouts.types import RolloutState

# A host that has not heard of the holder for longer sends nothing to an unjudged version.
FRESH_S = 2.0
CANARIES_KEPT_S = 0.1  # as every request asks for the role of every upstream


@dataclasses.dataclass(frozen=True, kw_only=True)
class KnownUpstream:
    """An upstream of a service, as far as its role depends on it."""

    upstream_id: UpstreamId
    version: VersionName
    started_ms: int
    serves: bool


UpstreamsOf = cabc.Callable[[ServiceName], cabc.Iterable[KnownUpstream]]
ChangeListener = cabc.Callable[[RolloutState], None]


class RolloutBook:
    """The newest order and the furthest state of each service.

    Times are passed in as ``now``, in monotonic seconds of a clock that also runs while the host is
    suspended.

    :param upstreams_of: returns the upstreams of a service that are known.
    """

    def __init__(self, *, upstreams_of: UpstreamsOf) -> None:
        self._upstreams_of = upstreams_of
        self._states: dict[ServiceName, RolloutState] = {}
        self._heard_at: dict[ServiceName, float] = {}
        self._orders: dict[ServiceName, RolloutOrder] = {}
        self._bases: dict[ServiceName, VersionName] = {}
        self._listeners: list[ChangeListener] = []
        self._canaries: dict[ServiceName, tuple[float, RolloutState, tuple[UpstreamId, ...]]] = {}

    def add_listener(self, listener: ChangeListener) -> None:
        """Call ``listener`` with each state that comes in force."""
        self._listeners.append(listener)

    def offer_order(self, order: RolloutOrder) -> bool:
        """Take over an order; return whether it is newer than what is known."""
        known = self._orders.get(order.service)
        if known is not None and known.offset >= order.offset:
            return False
        self._orders[order.service] = order
        return True

    def offer_state(self, state: RolloutState, *, heard_at: float = -math.inf) -> bool:
        """Take over a state; return whether it is further than what is known.

        :param heard_at: as of when the holder is known to have announced it.
        """
        known = self._states.get(state.service)
        if known is not None and state.key < known.key:
            return False
        is_further = known is None or state.key > known.key
        if is_further or heard_at > self._heard_at[state.service]:
            self._heard_at[state.service] = heard_at
        else:
            return False
        self._states[state.service] = state
        if is_further:
            for listener in self._listeners:
                listener(state)
        return is_further

    def state(self, service: ServiceName) -> RolloutState | None:
        """Return the state of a service's newest known rollout."""
        return self._states.get(service)

    def states(self) -> list[RolloutState]:
        """Return the states of all services."""
        return list(self._states.values())

    def heard_at(self, service: ServiceName) -> float:
        """Return as of when the holder is known to have announced the state of a service."""
        return self._heard_at.get(service, -math.inf)

    def pending_orders(self) -> list[RolloutOrder]:
        """Return the orders that no state is known of."""
        return [order for order in self._orders.values() if self._is_pending(order)]

    def is_running(self, service: ServiceName) -> bool:
        """Return whether a rollout of a service runs."""
        state = self._states.get(service)
        return state is not None and not state.phase.is_final

    def unjudged(self, service: ServiceName, now: float) -> RolloutState | None:
        """Return the state of a service if an unjudged version may get requests now."""
        state = self._states.get(service)
        if state is None or not state.phase.is_unjudged:
            return None
        return state if now - self._heard_at[service] <= FRESH_S else None

    def base(self, service: ServiceName) -> VersionName | None:
        """Return the version that carries a service apart from a rollout; None if not known.

        Before the first rollout it is the version of the upstream that was started first, as this
        host saw it when it first asked.
        """
        state = self._states.get(service)
        if state is not None:
            return state.to if state.phase is Phase.COMPLETED else state.base
        known = self._bases.get(service)
        if known is not None:
            return known
        candidates = list(self._upstreams_of(service))
        if not candidates:
            return None
        first = min(candidates, key=lambda found: (found.started_ms, found.upstream_id))
        self._bases[service] = first.version
        return first.version

    def role(
        self, service: ServiceName, upstream_id: UpstreamId, version: VersionName, now: float
    ) -> Role:
        """Return what an upstream may get now."""
        state = self._states.get(service)
        if state is None:
            is_base = version in (NO_VERSION, self.base(service))
            return Role.CARRIES if is_base else Role.BARRED
        if version == state.to and state.to != state.base:
            return self._role_of_new(state, upstream_id, now)
        if version not in (state.base, NO_VERSION):
            return Role.BARRED
        if state.phase is Phase.COMPLETED and state.to != state.base:
            return Role.BARRED
        return Role.OUTGOING if state.phase is Phase.PROMOTED else Role.CARRIES

    def _role_of_new(self, state: RolloutState, upstream_id: UpstreamId, now: float) -> Role:
        if state.phase in (Phase.PROMOTED, Phase.COMPLETED):
            return Role.CARRIES
        if self.unjudged(state.service, now) is None:
            return Role.BARRED
        return Role.CANARY if upstream_id in self._canaries_of(state, now) else Role.BARRED

    def _canaries_of(self, state: RolloutState, now: float) -> tuple[UpstreamId, ...]:
        """Return the upstreams of an unjudged version that get requests, the same on all hosts."""
        known = self._canaries.get(state.service)
        if known is not None and known[1] is state and 0.0 <= now - known[0] < CANARIES_KEPT_S:
            return known[2]
        serving = [
            found.upstream_id
            for found in self._upstreams_of(state.service)
            if found.version == state.to and found.serves
        ]
        ranked = sorted(serving, key=lambda found: _rank(state, found))
        chosen = tuple(ranked[: state.width])
        self._canaries[state.service] = (now, state, chosen)
        return chosen

    def _is_pending(self, order: RolloutOrder) -> bool:
        state = self._states.get(order.service)
        return state is None or state.order < order.offset


def _rank(state: RolloutState, upstream_id: UpstreamId) -> bytes:
    return hashlib.blake2b(f"{state.order}/{upstream_id}".encode(), digest_size=8).digest()
