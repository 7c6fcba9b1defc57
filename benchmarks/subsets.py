"""Compares methods to assign upstreams to hosts: ``python -m benchmarks.subsets [SEEDS]``."""

import collections
import collections.abc as cabc
import random
import statistics
import sys
import time

from cassiawalk.membership import rank
from cassiawalk.routing.subset import SUBSET_SIZE
from cassiawalk.routing.subset import Endpoint
from cassiawalk.routing.subset import subsets

DOMAINS_PER_REGION = (5, 4, 4, 3, 2)
SIZES = ((8, 10, 10), (1000, 5600, SUBSET_SIZE))
AssignmentMethod = cabc.Callable[[list[Endpoint], list[Endpoint], int], dict[str, list[str]]]


def assign_subsets(
    hosts: list[Endpoint], upstreams: list[Endpoint], size: int
) -> dict[str, list[str]]:
    """Assign as the product does."""
    return subsets(hosts, upstreams, size=size)


def rendezvous(hosts: list[Endpoint], upstreams: list[Endpoint], size: int) -> dict[str, list[str]]:
    """Assign by rendezvous hashing among all upstreams."""
    names = [endpoint.name for endpoint in upstreams]
    return {host.name: rank(host.name, names)[:size] for host in hosts}


def rendezvous_in_region(
    hosts: list[Endpoint], upstreams: list[Endpoint], size: int
) -> dict[str, list[str]]:
    """Assign by rendezvous hashing among the upstreams of the host's region."""
    by_region: dict[str, list[str]] = {}
    for endpoint in upstreams:
        by_region.setdefault(endpoint.region, []).append(endpoint.name)
    return {host.name: rank(host.name, by_region[host.region])[:size] for host in hosts}


def uniform_random(
    hosts: list[Endpoint], upstreams: list[Endpoint], size: int
) -> dict[str, list[str]]:
    """Assign a random sample, seeded with the host's name."""
    names = [endpoint.name for endpoint in upstreams]
    return {host.name: random.Random(host.name).sample(names, size) for host in hosts}


METHODS: dict[str, AssignmentMethod] = {
    "deal": assign_subsets,
    "rendezvous": rendezvous,
    "rendezvous in region": rendezvous_in_region,
    "random": uniform_random,
}


def make_endpoints(prefix: str, count: int, rng: random.Random) -> list[Endpoint]:
    """Return hosts or upstreams, distributed unevenly over the failure domains."""
    domains = [
        (f"r{r}", f"r{r}d{d}") for r, size in enumerate(DOMAINS_PER_REGION) for d in range(size)
    ]
    if count <= 10:
        domains = [("r0", f"r0d{d}") for d in range(4)]
    weights = [rng.uniform(0.6, 1.4) for _ in domains]
    picked = rng.choices(domains, weights, k=count)
    return [
        Endpoint(name=f"{prefix}{index}", failure_domain=domain, region=region)
        for index, (region, domain) in enumerate(picked)
    ]


def measure(method: AssignmentMethod, seed: int, sizes: tuple[int, int, int]) -> dict[str, float]:
    """Return the figures of one method for one seed.

    :param sizes: the number of hosts, the number of upstreams and the size of a subset.
    """
    rng = random.Random(seed)
    hosts, upstreams = make_endpoints("h", sizes[0], rng), make_endpoints("u", sizes[1], rng)
    began = time.perf_counter()
    assigned = method(hosts, upstreams, sizes[2])
    took_s = time.perf_counter() - began
    by_name = {endpoint.name: endpoint for endpoint in [*hosts, *upstreams]}
    load: collections.Counter[str] = collections.Counter()
    same_domain = same_region = 0.0
    for host, names in assigned.items():
        for name in names:
            load[name] += 1 / len(names)  # type: ignore[assignment]
            same_domain += (by_name[host].failure_domain == by_name[name].failure_domain) / len(
                names
            )
            same_region += (by_name[host].region == by_name[name].region) / len(names)
    without_host = method(hosts[1:], upstreams, sizes[2])
    without_upstream = method(hosts, upstreams[1:], min(sizes[2], len(upstreams) - 1))
    return {
        "worst load / mean": max(load.values()) * len(upstreams) / len(hosts),
        "unused upstreams": float(len(upstreams) - len(load)),
        "in failure domain": same_domain / len(hosts),
        "in region": same_region / len(hosts),
        "moves, host leaves": _moves(assigned, without_host),
        "moves, upstream leaves": _moves(assigned, without_upstream),
        "seconds": took_s,
    }


def _moves(before: dict[str, list[str]], after: dict[str, list[str]]) -> float:
    """Return the number of upstreams that hosts get in addition to those they had."""
    return float(sum(len(set(after[host]) - set(before[host])) for host in after))


def main(seeds: int = 5) -> dict[str, dict[str, list[float]]]:
    """Print and return the median and range of each figure over the seeds."""
    results: dict[str, dict[str, list[float]]] = {}
    for sizes in SIZES:
        for name, method in METHODS.items():
            runs = [measure(method, seed, sizes) for seed in range(1, seeds + 1)]
            label = f"{sizes[0]} x {sizes[1]} {name}"
            results[label] = {}
            for key in runs[0]:
                values = [run[key] for run in runs]
                results[label][key] = [statistics.median(values), min(values), max(values)]
            cells = "  ".join(
                f"{key} {mid:.3f} [{low:.3f}, {high:.3f}]"
                for key, (mid, low, high) in results[label].items()
            )
            print(f"{label}: {cells}", flush=True)
    return results


if __name__ == "__main__":
    main(int(sys.argv[1]) if len(sys.argv) > 1 else 5)
