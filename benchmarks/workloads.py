"""Workloads of the two deployments as streams of arrivals."""

import collections.abc as cabc
import dataclasses
import random

from cassiawalk.control.state import Kind
from cassiawalk.control.state import KindMode

ENGINE_POOL = "models"
PLAIN_POOL = "records"


@dataclasses.dataclass(frozen=True, kw_only=True)
class KindSpec:
    """One request kind: its configuration, its part of the arrivals and its prompts.

    ``shared_words`` of a prompt are the same for a workspace; ``topic_words`` are the same for the
    repeats of a topic; ``own_words`` are its own. ``topics`` counts the live topics of a workspace.
    """

    name: str
    part: float
    kind: Kind
    plain: bool = False
    shared_words: int = 0
    topic_words: int = 0
    own_words: int = 16
    topics: int = 1


@dataclasses.dataclass(frozen=True, kw_only=True)
class Deployment:
    """Sizes and request kinds. ``rate_per_s`` is the load at which all slots are just busy."""

    name: str
    engines: int
    plains: int
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
    plains=4,
    gateways=8,
    domains=("kolkata", "howrah", "durgapur", "siliguri"),
    rate_per_s=52.0,
    cost_weight=1.0,
    recompute_weight=0.3,
    workspaces=_WORKSPACES,
    kinds=(
        KindSpec(
            name="status",
            part=0.45,
            kind=_kind(KindMode.QUICK, 800, 10.0, 24, 3.0),
            shared_words=256,
        ),
        KindSpec(
            name="summary",
            part=0.25,
            kind=_kind(KindMode.QUICK, 1400, 30.0, 64, 1.0),
            shared_words=256,
            topic_words=192,
            topics=12,
        ),
        KindSpec(
            name="dossier",
            part=0.10,
            kind=_kind(KindMode.MUST_ARRIVE, 5000, 120.0, 160, 2.0),
            topic_words=1536,
            topics=6,
        ),
        KindSpec(
            name="listing", part=0.20, kind=_kind(KindMode.QUICK, 500, 10.0, 1, 1.0), plain=True
        ),
    ),
)

TIMBER = Deployment(
    name="mvule",
    engines=6,
    plains=4,
    gateways=8,
    domains=("nairobi-1", "nairobi-2", "thika", "machakos"),
    rate_per_s=24.0,
    cost_weight=0.3,
    recompute_weight=1.0,
    workspaces=_WORKSPACES,
    kinds=(
        KindSpec(
            name="checklist",
            part=0.30,
            kind=_kind(KindMode.QUICK, 1000, 10.0, 32, 2.0),
            shared_words=512,
        ),
        KindSpec(
            name="trace",
            part=0.25,
            kind=_kind(KindMode.QUICK, 1400, 30.0, 64, 1.0),
            topic_words=512,
            topics=8,
        ),
        KindSpec(
            name="dossier",
            part=0.20,
            kind=_kind(KindMode.MUST_ARRIVE, 8000, 180.0, 224, 3.0),
            topic_words=2048,
            topics=4,
        ),
        KindSpec(
            name="lookup", part=0.25, kind=_kind(KindMode.QUICK, 500, 10.0, 1, 2.0), plain=True
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
    found: list[Arrival] = []
    now = 0.0
    while (now := now + rng.expovariate(deployment.rate_per_s * peak)) < duration_s:
        if rng.random() > load(now) / peak:
            continue
        spec = rng.choices(deployment.kinds, [kind.part for kind in deployment.kinds])[0]
        name, _, share = rng.choices(
            deployment.workspaces, [part for _, part, _ in deployment.workspaces]
        )[0]
        prompt = prompts.make(spec, name, rng, len(found))
        found.append(Arrival(at_s=now, spec=spec, workspace=name, share=share, prompt=prompt))
    return found


class _Prompts:
    """Texts of prompts; a topic ends after a few repeats and a new one takes its place."""

    def __init__(self) -> None:
        self._generations: dict[tuple[str, str, int], int] = {}

    def make(self, spec: KindSpec, workspace: str, rng: random.Random, number: int) -> str:
        slot = (spec.name, workspace, rng.randrange(spec.topics))
        generation = self._generations.setdefault(slot, 0)
        if rng.random() < 0.15:
            self._generations[slot] = generation + 1
        topic = f"{spec.name}{workspace}x{slot[2]}g{generation}"
        words = [f"{workspace}s"] * spec.shared_words + [topic] * spec.topic_words
        return " ".join([*words, *([f"r{number}"] * spec.own_words)])
