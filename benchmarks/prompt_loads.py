"""The loads that ``benchmarks.prompt_load`` simulates."""

import dataclasses

from benchmarks.batch_engine import EngineModel
from benchmarks.noise import NoiseModel
from benchmarks.prompt_kinds import KINDS
from benchmarks.prompt_kinds import EngineChange
from benchmarks.prompt_kinds import Load
from benchmarks.prompt_kinds import PromptKind

# Reclaims the engines of three failure domains within 5 s and starts engines of another price.
RECLAIM_WAVES = (
    EngineChange(at_s=6.0, count=-6),
    EngineChange(at_s=8.0, count=-6),
    EngineChange(at_s=10.0, count=6),
    EngineChange(at_s=11.0, count=-6),
    EngineChange(at_s=12.0, count=6),
    EngineChange(at_s=15.0, count=6),
)
UNEQUAL_LOAD = Load(
    hosts=80,
    engines=16,
    kinds=tuple(dataclasses.replace(kind, prefixes=kind.prefixes // 4) for kind in KINDS),
    plans_steps=True,
    slow_one_in=4,
)
# Loads for the choice between a cached prefix, a fetch and a prefill. The engines have the memory
# of the smallest of the deployment's, and their running requests take part of it.
MEMORY_MODEL = EngineModel(cache_tokens=444_000)
HOT_KIND = PromptKind(
    name="hot",
    requests_per_s=30.0,
    prefix_tokens=6300,
    unique_tokens=2890,
    prefixes=1,
    output_tokens=52,
    target_s=0.845,
    urgency=0,
)
PREFIX_LOAD = dataclasses.replace(
    UNEQUAL_LOAD, slow_one_in=0, model=MEMORY_MODEL, shares_memory=True, duration_s=25.0
)
MANY_PREFIXES = tuple(dataclasses.replace(kind, prefixes=kind.prefixes // 2) for kind in KINDS)
# Prompts without shared prefixes: any engine is as good as another.
UNSHARED_KINDS = tuple(
    dataclasses.replace(
        kind, prefix_tokens=0, prefixes=10**9, requests_per_s=2 * kind.requests_per_s
    )
    for kind in KINDS
)
# The loads with prompts of the table in docs/design/upstream-load.md.
UNSHARED_LOAD = dataclasses.replace(
    UNEQUAL_LOAD, slow_one_in=0, duration_s=25.0, kinds=UNSHARED_KINDS, heartbeat_delay_s=1.0
)
SHARED_LOAD = dataclasses.replace(UNEQUAL_LOAD, duration_s=25.0)
TABLE_LOADS = {
    "table: unshared, 1 s": UNSHARED_LOAD,
    "table: unshared, 1.9 s": dataclasses.replace(UNSHARED_LOAD, heartbeat_delay_s=1.9),
    "table: unshared, noise": dataclasses.replace(UNSHARED_LOAD, noise=NoiseModel()),
    "table: unshared, unequal": dataclasses.replace(UNSHARED_LOAD, slow_one_in=4),
    "table: shared, unequal": SHARED_LOAD,
    "table: shared, unequal, noise": dataclasses.replace(SHARED_LOAD, noise=NoiseModel()),
    "table: shared, unequal, 12 engines": dataclasses.replace(SHARED_LOAD, engines=12),
}
PREFIX_LOADS = {
    "prefixes": PREFIX_LOAD,
    "hot prefix": dataclasses.replace(PREFIX_LOAD, kinds=(*PREFIX_LOAD.kinds, HOT_KIND)),
    "many prefixes": dataclasses.replace(PREFIX_LOAD, kinds=MANY_PREFIXES, engines=16),
}
LOADS = {
    **TABLE_LOADS,
    **PREFIX_LOADS,
    **{
        f"{name}, estimate": dataclasses.replace(load, prefix_estimate=True)
        for name, load in {**TABLE_LOADS, **PREFIX_LOADS}.items()
    },
    "calm": Load(),
    "waves": Load(changes=RECLAIM_WAVES),
    "waves, nothing fetched": Load(changes=RECLAIM_WAVES, fetches_prefixes=False),
    "few engines": Load(engines=16),
    "unequal": UNEQUAL_LOAD,
    "noise": dataclasses.replace(UNEQUAL_LOAD, slow_one_in=0, noise=NoiseModel()),
    "unequal, noise": dataclasses.replace(UNEQUAL_LOAD, noise=NoiseModel()),
    "unequal, noise, late heartbeats": dataclasses.replace(
        UNEQUAL_LOAD, noise=NoiseModel(), heartbeat_delay_s=1.5
    ),
}
