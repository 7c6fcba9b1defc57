"""Assembles the placement of a host's requests."""

import collections.abc as cabc
import random

from cassiawalk.clock import Clock
from cassiawalk.fleet.correctedtime import CorrectedTime
from cassiawalk.ingress.placement import Placer
from cassiawalk.ingress.prefixview import PrefixEstimator
from cassiawalk.ingress.replicas import PrefixDemand
from cassiawalk.ingress.versions import VersionChooser
from cassiawalk.ingressnode.profile import HostProfile
from cassiawalk.storeview.config import ConfigView
from cassiawalk.storeview.directory import Directory


def new_placer(
    *,
    profile: HostProfile,
    config: ConfigView,
    directory: Directory,
    time: CorrectedTime,
    limit_of: cabc.Callable[[str], float | None],
    hosts: cabc.Callable[[], int],
    clock: Clock,
    boot_clock: Clock,
    rng: random.Random,
    versions: VersionChooser | None = None,
) -> Placer:
    """Return the placer of a host; its profile says whether prefixes are placed by the estimate.

    :param limit_of: returns the limit that an upstream's process names, or None.
    :param hosts: returns the number of hosts that the requests come to.
    :param versions: chooses the version of the service; None if there are no rollouts.
    """
    estimator = PrefixEstimator(
        traits=config.engine_traits, hosts=hosts, now_s=time.now, clock=clock
    )
    return Placer(
        directory=directory,
        failure_domain=profile.failure_domain,
        fetches_prefixes=config.fetches_prefixes,
        now=time.now,
        rng=rng,
        limit_of=limit_of,
        prefix_demand=PrefixDemand(hosts=hosts, clock=boot_clock),
        prefix_estimator=estimator if profile.prefix_estimate else None,
        versions=versions,
    )
