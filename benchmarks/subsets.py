"""Compares ways to choose a host's subset of upstreams: ``python -m benchmarks.subsets``."""

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

REGIONS = (5, 4, 4, 3, 2)
SIZES = ((8, 10, 10), (1000, 5600, SUBSET_SIZE))
Deal = cabc.Callable[[list[Endpoint], list[Endpoint], int], dict[str, list[str]]]


def deal(hosts: list[Endpoint], upstreams: list[Endpoint], size: int) -> dict[str, list[str]]:
    return subsets(hosts, upstreams, size=size)


def rendezvous(hosts: list[Endpoint], upstreams: list[Endpoint], size: int) -> dict[str, list[str]]:
    names = [place.name for place in upstreams]
    return {host.name: rank(host.name, names)[:size] for host in hosts}


def near_rendezvous(
    hosts: list[Endpoint], upstreams: list[Endpoint], size: int
) -> dict[str, list[str]]:
    """Rendezvous among the upstreams of the host's region."""
    by_region: dict[str, list[str]] = {}
    for place in upstreams:
        by_region.setdefault(place.region, []).append(place.name)
    return {host.name: rank(host.name, by_region[host.region])[:size] for host in hosts}


def plain_random(
    hosts: list[Endpoint], upstreams: list[Endpoint], size: int
) -> dict[str, list[str]]:
    names = [place.name for place in upstreams]
    return {host.name: random.Random(host.name).sample(names, size) for host in hosts}


WAYS: dict[str, Deal] = {
    "deal": deal,
    "rendezvous": rendezvous,
    "rendezvous in region": near_rendezvous,
    "random": plain_random,
}


def places(prefix: str, count: int, rng: random.Random) -> list[Endpoint]:
    """Return places spread unevenly over the failure domains."""
    domains = [(f"r{r}", f"r{r}d{d}") for r, size in enumerate(REGIONS) for d in range(size)]
    if count <= 10:
        domains = [("r0", f"r0d{d}") for d in range(4)]
    weights = [rng.uniform(0.6, 1.4) for _ in domains]
    picked = rng.choices(domains, weights, k=count)
    return [
        Endpoint(name=f"{prefix}{index}", failure_domain=domain, region=region)
        for index, (region, domain) in enumerate(picked)
    ]


def measure(way: Deal, seed: int, sizes: tuple[int, int, int]) -> dict[str, float]:
    """Return the figures of one way for one seed."""
    rng = random.Random(seed)
    hosts, upstreams = places("h", sizes[0], rng), places("u", sizes[1], rng)
    began = time.perf_counter()
    found = way(hosts, upstreams, sizes[2])
    took_s = time.perf_counter() - began
    where = {place.name: place for place in [*hosts, *upstreams]}
    load: collections.Counter[str] = collections.Counter()
    domain = region = 0.0
    for host, names in found.items():
        for name in names:
            load[name] += 1 / len(names)  # type: ignore[assignment]
            domain += (where[host].failure_domain == where[name].failure_domain) / len(names)
            region += (where[host].region == where[name].region) / len(names)
    without_host = way(hosts[1:], upstreams, sizes[2])
    without_upstream = way(hosts, upstreams[1:], min(sizes[2], len(upstreams) - 1))
    return {
        "worst load / mean": max(load.values()) * len(upstreams) / len(hosts),
        "unused upstreams": float(len(upstreams) - len(load)),
        "in failure domain": domain / len(hosts),
        "in region": region / len(hosts),
        "moves, host leaves": _moves(found, without_host),
        "moves, upstream leaves": _moves(found, without_upstream),
        "seconds": took_s,
    }


def _moves(before: dict[str, list[str]], after: dict[str, list[str]]) -> float:
    """Return how many new links hosts open."""
    return float(sum(len(set(after[host]) - set(before[host])) for host in after))


def main(seeds: int = 5) -> dict[str, dict[str, list[float]]]:
    """Print the table and return the median and range of each figure."""
    results: dict[str, dict[str, list[float]]] = {}
    for sizes in SIZES:
        for name, way in WAYS.items():
            runs = [measure(way, seed, sizes) for seed in range(1, seeds + 1)]
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
