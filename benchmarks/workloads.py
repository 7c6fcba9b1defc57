"""Workloads of the two deployments, as lists of arriving requests."""

import collections.abc as cabc
import dataclasses
import random

from cassiawalk.control.state import Kind
from cassiawalk.control.state import KindMode

ENGINE_POOL = "models"
PLAIN_POOL = "records"


@dataclasses.dataclass(frozen=True, kw_only=True)
class KindSpec:
    """A request kind with its share of the arrivals and the composition of its prompts.

    :param plain: whether requests of the kind go to plain services instead of engines.
    :param shared_words: the words that all prompts of a workspace have in common.
    :param topic_words: the words that all prompts on one topic have in common.
    :param unique_words: the words that no other prompt has.
    :param topics: the number of concurrent topics of a workspace.
    """

    name: str
    arrival_share: float
    kind: Kind
    plain: bool = False
    shared_words: int = 0
    topic_words: int = 0
    unique_words: int = 16
    topics: int = 1


@dataclasses.dataclass(frozen=True, kw_only=True)
class Deployment:
    """The size of a deployment, its request kinds and its workspaces.

    :param rate_per_s: the arrival rate at which all slots are just in use.
    :param workspaces: name, share of the arrivals and configured share of each workspace.
    """

    name: str
    engines: int
    plain_services: int
    gateways: int
    domains: tuple[str, ...]
    rate_per_s: float
    kinds: tuple[KindSpec, ...]
    workspaces: tuple[tuple[str, float, float], ...]
    cost_weight: float
    recompute_weight: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Arrival:
    """One caller's request."""

    at_s: float
    spec: KindSpec
    workspace: str
    share: float
    prompt: str


def _kind(mode: KindMode, target_ms: int, deadline_s: float, tokens: int, weight: float) -> Kind:
    return Kind(
        mode=mode, target_ms=target_ms, deadline_s=deadline_s, max_tokens=tokens, weight=weight
    )


_WORKSPACES = (
    ("w1", 0.5, 3.0),
    ("w2", 0.3, 3.0),
    ("w3", 0.1, 1.0),
    ("w4", 0.06, 1.0),
    ("w5", 0.04, 1.0),
)

CARE = Deployment(
    name="shayyasandhan",
    engines=10,
    plain_services=4,
    gateways=8,
    domains=("kolkata", "howrah", "durgapur", "siliguri"),
    rate_per_s=52.0,
    cost_weight=1.0,
    recompute_weight=0.3,
    workspaces=_WORKSPACES,
    kinds=(
        KindSpec(
            name="status",
            arrival_share=0.45,
            kind=_kind(KindMode.QUICK, 800, 10.0, 24, 3.0),
            shared_words=256,
        ),
        KindSpec(
            name="summary",
            arrival_share=0.25,
            kind=_kind(KindMode.QUICK, 1400, 30.0, 64, 1.0),
            shared_words=256,
            topic_words=192,
            topics=12,
        ),
        KindSpec(
            name="dossier",
            arrival_share=0.10,
            kind=_kind(KindMode.MUST_ARRIVE, 5000, 120.0, 160, 2.0),
            topic_words=1536,
            topics=6,
        ),
        KindSpec(
            name="listing",
            arrival_share=0.20,
            kind=_kind(KindMode.QUICK, 500, 10.0, 1, 1.0),
            plain=True,
        ),
    ),
)

TIMBER = Deployment(
    name="mvule",
    engines=6,
    plain_services=4,
    gateways=8,
    domains=("nairobi-1", "nairobi-2", "thika", "machakos"),
    rate_per_s=24.0,
    cost_weight=0.3,
    recompute_weight=1.0,
    workspaces=_WORKSPACES,
    kinds=(
        KindSpec(
            name="checklist",
            arrival_share=0.30,
            kind=_kind(KindMode.QUICK, 1000, 10.0, 32, 2.0),
            shared_words=512,
        ),
        KindSpec(
            name="trace",
            arrival_share=0.25,
            kind=_kind(KindMode.QUICK, 1400, 30.0, 64, 1.0),
            topic_words=512,
            topics=8,
        ),
        KindSpec(
            name="dossier",
            arrival_share=0.20,
            kind=_kind(KindMode.MUST_ARRIVE, 8000, 180.0, 224, 3.0),
            topic_words=2048,
            topics=4,
        ),
        KindSpec(
            name="lookup",
            arrival_share=0.25,
            kind=_kind(KindMode.QUICK, 500, 10.0, 1, 2.0),
            plain=True,
        ),
    ),
)


def arrivals(
    deployment: Deployment,
    rng: random.Random,
    *,
    duration_s: float,
    load: cabc.Callable[[float], float],
) -> list[Arrival]:
    """Return Poisson arrivals whose rate follows ``load(t)`` times the deployment's rate."""
    peak = max(load(float(second)) for second in range(int(duration_s) + 1))
    prompts = _Prompts()
    result: list[Arrival] = []
    now_s = 0.0
    while (now_s := now_s + rng.expovariate(deployment.rate_per_s * peak)) < duration_s:
        if rng.random() > load(now_s) / peak:
            continue
        spec = rng.choices(deployment.kinds, [kind.arrival_share for kind in deployment.kinds])[0]
        name, _, share = rng.choices(
            deployment.workspaces, [arrival_share for _, arrival_share, _ in deployment.workspaces]
        )[0]
        prompt = prompts.make(spec, name, rng, len(result))
        result.append(Arrival(at_s=now_s, spec=spec, workspace=name, share=share, prompt=prompt))
    return result


class _Prompts:
    """Generates prompt texts; each topic is replaced by a new one after a random number of uses."""

    def __init__(self) -> None:
        self._generations: dict[tuple[str, str, int], int] = {}

    def make(self, spec: KindSpec, workspace: str, rng: random.Random, number: int) -> str:
        topic_key = (spec.name, workspace, rng.randrange(spec.topics))
        generation = self._generations.setdefault(topic_key, 0)
        if rng.random() < 0.15:
            self._generations[topic_key] = generation + 1
        topic = f"{spec.name}{workspace}x{topic_key[2]}g{generation}"
        words = [f"{workspace}s"] * spec.shared_words + [topic] * spec.topic_words
        return " ".join([*words, *([f"r{number}"] * spec.unique_words)])
