"""Tells the scaler what there is: upstreams by failure domain, and the requests at them."""

import collections.abc as cabc

from cassiawalk.clock import Clock
from cassiawalk.duties.scaler import DomainState
from cassiawalk.duties.scaler import ServiceState
from cassiawalk.ids import FailureDomain
from cassiawalk.ids import ServiceName
from cassiawalk.ingress.config import ConfigView
from cassiawalk.ingress.config import ScalingBounds
from cassiawalk.ingress.config import ServiceConfig
from cassiawalk.ingress.directory import Directory
from cassiawalk.ingress.directory import Upstream

DEFAULT_SLOTS = 64
SETTLED_S = 5.0  # upstreams that live have written their entries after so long

Reading = cabc.Callable[[ServiceName], float]


class ScalingView:
    """Reads the state of services that may be scaled.

    :param reading: returns the prompt tokens a second that all callers of a service ask for.
    """

    def __init__(
        self, *, config: ConfigView, directory: Directory, reading: Reading, clock: Clock
    ) -> None:
        self._config = config
        self._directory = directory
        self._reading = reading
        self._clock = clock

    def services(self) -> list[ServiceState]:
        """Return one state for each scalable service."""
        config = self._config.current
        since = self._directory.loaded_at
        if config is None or since is None or self._clock.monotonic() - since < SETTLED_S:
            return []
        return [
            self._state(service, service.scaling)
            for service in config.services.values()
            if service.scaling is not None
        ]

    def _state(self, service: ServiceConfig, bounds: ScalingBounds) -> ServiceState:
        present = self._directory.all_for(service.name)
        slots = DEFAULT_SLOTS if service.engine is None else service.engine.slots
        return ServiceState(
            service=service.name,
            min_per_domain=bounds.min_per_domain,
            max_per_domain=bounds.max_per_domain,
            reclaimable_price=bounds.reclaimable_price,
            domain_prices=bounds.domain_prices,
            domains={domain: _domain(present, domain) for domain in bounds.domain_prices},
            running=sum(upstream.load.total for upstream in present),
            slots=slots,
            prefill_tokens_per_s=self._reading(service.name),
            boot_s=bounds.boot_s,
        )


def _domain(present: cabc.Sequence[Upstream], domain: FailureDomain) -> DomainState:
    there = [
        found.registration
        for found in present
        if found.registration.failure_domain == domain and found.takes_work
    ]
    reclaimable = sum(registration.reclaimable for registration in there)
    return DomainState(reclaimable=reclaimable, on_demand=len(there) - reclaimable)
