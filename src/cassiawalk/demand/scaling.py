"""Provides the scaler with the state of each service: upstreams by failure domain, and load."""

import collections.abc as cabc

from cassiawalk.clock import Clock
from cassiawalk.demand.prefillspeed import PrefillSpeeds
from cassiawalk.duties.scaler import TARGET_SLOT_USE
from cassiawalk.duties.scaler import DomainState
from cassiawalk.duties.scaler import ServiceState
from cassiawalk.ids import FailureDomain
from cassiawalk.ids import ServiceName
from cassiawalk.ingress.placement import SLOT_TIME_S
from cassiawalk.rollouts.types import Role
from cassiawalk.storeview.config import ConfigView
from cassiawalk.storeview.config import ScalingBounds
from cassiawalk.storeview.config import ServiceConfig
from cassiawalk.storeview.directory import Directory
from cassiawalk.storeview.upstream import Upstream

DEFAULT_SLOTS = 64
LIMIT_STANDS_S = 5.0
MAX_LIMITED = 8192
DIRECTORY_SETTLE_S = 5.0  # by then, all live upstreams have written their entries

PrefillDemand = cabc.Callable[[ServiceName], float]


class ScalingView:
    """Collects the state of the services that may be scaled.

    :param prefill_demand: returns the prefill demand of a service over all hosts, in tokens per
        second.
    :param limit_of: returns the limit that an upstream's process names, in requests a second.
    :param speeds: how fast the engines of each service prefill.
    """

    def __init__(
        self,
        *,
        config: ConfigView,
        directory: Directory,
        prefill_demand: PrefillDemand,
        speeds: PrefillSpeeds,
        limit_of: cabc.Callable[[str], float | None],
        clock: Clock,
    ) -> None:
        self._limit_of = limit_of
        self._limited_since: dict[str, float] = {}
        self._config = config
        self._directory = directory
        self._prefill_demand = prefill_demand
        self._speeds = speeds
        self._clock = clock

    def services(self) -> list[ServiceState]:
        """Return the state of each scalable service.

        The result is empty until ``DIRECTORY_SETTLE_S`` s after the directory was first loaded, as
        entries of live upstreams may still be missing.
        """
        config = self._config.current
        since = self._directory.loaded_at
        if config is None or since is None or self._clock.monotonic() - since < DIRECTORY_SETTLE_S:
            return []
        return [
            self._state(service, service.scaling)
            for service in config.services.values()
            if service.scaling is not None
        ]

    def _state(self, service: ServiceConfig, bounds: ScalingBounds) -> ServiceState:
        upstreams = [
            found for found in self._directory.all_for(service.name) if found.role is Role.CARRIES
        ]
        slots = DEFAULT_SLOTS if service.engine is None else service.engine.slots
        return ServiceState(
            service=service.name,
            min_per_domain=bounds.min_per_domain,
            max_per_domain=bounds.max_per_domain,
            reclaimable_price=bounds.reclaimable_price,
            domain_prices=bounds.domain_prices,
            domains={domain: _domain(upstreams, domain) for domain in bounds.domain_prices},
            running=sum(upstream.load.total for upstream in upstreams),
            slots=slots,
            prefill_tokens_per_s=self._prefill_demand(service.name),
            speed_tokens_per_s=self._speeds.tokens_per_s(service.name),
            boot_s=bounds.boot_s,
            mean_speed=_mean_speed(upstreams),
            limited=sum(self._taken_by_limit(upstream) for upstream in upstreams),
        )

    def _taken_by_limit(self, upstream: Upstream) -> float:
        """Return the part of an upstream's usual load that its limit takes away, from 0 to 1.

        A limit that has not stood for ``LIMIT_STANDS_S`` s takes nothing: it is no reason to order
        another upstream.
        """
        limit = self._limit_of(upstream.process)
        if limit is None or not upstream.serves:
            self._limited_since.pop(upstream.process, None)
            return 0.0
        now = self._clock.monotonic()
        since = self._limited_since.setdefault(upstream.process, now)
        while len(self._limited_since) > MAX_LIMITED:
            del self._limited_since[next(iter(self._limited_since))]
        if now - since < LIMIT_STANDS_S:
            return 0.0
        usual_per_s = TARGET_SLOT_USE * upstream.slots / SLOT_TIME_S
        return max(0.0, 1.0 - limit / usual_per_s)


def _mean_speed(upstreams: cabc.Sequence[Upstream]) -> float:
    """Return the mean speed of the upstreams that serve, where one of usual speed has 1.0.

    It is at most 1.0: fewer upstreams than of usual speed are not ordered, as a lower number
    empties caches and what is learned may be wrong.
    """
    speeds = [1.0 / found.speed.slowness for found in upstreams if found.serves]
    return min(1.0, sum(speeds) / len(speeds)) if speeds else 1.0


def _domain(upstreams: cabc.Sequence[Upstream], domain: FailureDomain) -> DomainState:
    registrations = [
        found.registration
        for found in upstreams
        if found.registration.failure_domain == domain and found.serves
    ]
    reclaimable = sum(registration.reclaimable for registration in registrations)
    return DomainState(reclaimable=reclaimable, on_demand=len(registrations) - reclaimable)
