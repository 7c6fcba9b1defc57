"""Measures the costs of at-most-once execution: memory, takeover, claim throughput and latency.

Run it with ``python -m benchmarks.once_costs``; ``--json FILE`` also writes the figures to a file.
"""

import argparse
import asyncio
import collections
import dataclasses
import pathlib
import statistics
import time
import tracemalloc
import typing as t

import orjson

from cassiawalk.clients import Appended
from cassiawalk.clients import AppendOutcome
from cassiawalk.clients import LogEntry
from cassiawalk.clients import LogService
from cassiawalk.clients import ReadBatch
from cassiawalk.clients import ReadOutcome
from cassiawalk.clock import SystemClock
from cassiawalk.ids import ClaimId
from cassiawalk.ids import HostId
from cassiawalk.ids import Offset
from cassiawalk.ids import Partition
from cassiawalk.ids import RequestId
from cassiawalk.ids import new_uuid7
from cassiawalk.once import Claim
from cassiawalk.once import Granted
from cassiawalk.once import Ledger
from cassiawalk.once import Outcome
from cassiawalk.once import Sequencer
from cassiawalk.once.checkpoint import checkpoint_parts
from cassiawalk.once.pool import APPENDS_PER_S
from cassiawalk.once.reader import PartitionReader
from cassiawalk.once.records import OnceRecord
from cassiawalk.once.records import records

RETENTION_S = 1e9
BODY = b'{"hold": "5c1f", "bed": 7, "home": "north-3", "until": "2031-01-01T10:00:00Z"}'
LEDGER_SIZES = (1_000, 10_000, 50_000)
REPLAY_CLAIMS = 20_000
RECORDS_PER_APPEND = 20
APPEND_LATENCY_S = 0.005
MEASURED_S = 3.0
CALLERS = (1, 20, 100, 400)
PARTITIONS = (16, 64)


class MemoryLog(LogService):
    """A log service that stores streams in memory; an append takes ``latency_s`` seconds."""

    def __init__(self, *, latency_s: float = 0.0) -> None:
        self.payloads: dict[str, list[bytes]] = collections.defaultdict(list)
        self.appends = 0
        self._latency_s = latency_s

    async def append(self, *, stream: str, payload: bytes) -> AppendOutcome:
        if self._latency_s:
            await asyncio.sleep(self._latency_s)
        self.appends += 1
        self.payloads[stream].append(payload)
        return Appended(offset=Offset(len(self.payloads[stream]) - 1))

    async def read(
        self, *, stream: str, start: Offset, limit: int, wait_s: float = 0.0
    ) -> ReadOutcome:
        payloads = self.payloads[stream]
        return ReadBatch(
            entries=tuple(
                LogEntry(offset=Offset(start + index), payload=payload)
                for index, payload in enumerate(payloads[start : start + limit])
            ),
            first_offset=Offset(0),
            end_offset=Offset(len(payloads)),
        )


@dataclasses.dataclass(frozen=True, kw_only=True)
class Row:
    """One measured figure and its unit."""

    name: str
    value: float
    unit: str


def make_claim(number: int) -> Claim:
    """Return a claim of a new key by one of eight hosts."""
    host = HostId(f"entry-{number % 8}")
    return Claim(
        key=f"family/{new_uuid7()}",
        claim_id=ClaimId(new_uuid7()),
        body_digest=f"{number:032x}",
        gateway=host,
        incarnation=f"01a23de7-110d-7405-abb3-{number % 8:012d}",
        request_id=RequestId(f"{new_uuid7()}.{host}"),
        claimed_s=time.time(),
    )


def make_history(claims: int) -> t.Iterator[list[OnceRecord]]:
    """Yield batches of records as a sequencer appends them: claims, each with its outcome."""
    batch: list[OnceRecord] = []
    for number in range(claims):
        claim = make_claim(number)
        batch.append(claim)
        batch.append(Outcome(key=claim.key, claim_id=claim.claim_id, status=200, body=BODY))
        if len(batch) >= RECORDS_PER_APPEND:
            yield batch
            batch = []
    if batch:
        yield batch


def measure_ledger_memory() -> list[Row]:
    """Return the memory that a ledger needs for a claim and its outcome, decoded from CBOR."""
    used_bytes = []
    for size in LEDGER_SIZES:
        tracemalloc.start()
        ledger = Ledger(keep_s=RETENTION_S)
        for batch in make_history(size):
            ledger.fold(ledger.next_offset, records.decode(records.encode(batch)))
        used_bytes.append(tracemalloc.get_traced_memory()[0])
        tracemalloc.stop()
    bytes_per_claim = (used_bytes[-1] - used_bytes[0]) / (LEDGER_SIZES[-1] - LEDGER_SIZES[0])
    return [Row(name="ledger memory per claim and outcome", value=bytes_per_claim, unit="bytes")]


async def measure_takeover() -> list[Row]:
    """Return how fast a new sequencer reads the history and a checkpoint, and the latter's size."""
    clock = SystemClock()
    log = MemoryLog()
    for batch in make_history(REPLAY_CLAIMS):
        await log.append(stream="once-0", payload=records.encode(batch))
    began = time.perf_counter()
    reader = PartitionReader(log=log, partition=Partition(0), clock=clock, keep_s=RETENTION_S)
    await reader.catch_up()
    history_s = time.perf_counter() - began
    parts = [
        records.encode([part]) for part in checkpoint_parts(reader.ledger.state(), written_s=0.0)
    ]
    for payload in parts:
        await log.append(stream="once-0", payload=payload)
    began = time.perf_counter()
    fresh_reader = PartitionReader(log=log, partition=Partition(0), clock=clock, keep_s=RETENTION_S)
    await fresh_reader.catch_up()
    checkpoint_s = time.perf_counter() - began
    assert len(fresh_reader.ledger) == REPLAY_CLAIMS
    size = sum(len(payload) for payload in parts) / REPLAY_CLAIMS
    return [
        Row(name="history folded", value=2 * REPLAY_CLAIMS / history_s, unit="records/s"),
        Row(name="checkpoint loaded", value=REPLAY_CLAIMS / checkpoint_s, unit="claims/s"),
        Row(name="checkpoint size per claim and outcome", value=size, unit="bytes"),
    ]


async def measure_claims(*, partitions: int, callers: int) -> list[Row]:
    """Return the throughput, latency and CPU time of claims at one sequencer.

    Each caller submits a claim as soon as its previous one is decided.

    :param partitions: the number of partitions, which determines the rate of appends to each.
    """
    log = MemoryLog(latency_s=APPEND_LATENCY_S)
    sequencer = Sequencer(
        log=log,
        partition=Partition(0),
        clock=SystemClock(),
        keep_s=RETENTION_S,
        append_interval_s=partitions / APPENDS_PER_S,
    )
    await sequencer.start()
    latencies: list[float] = []
    end_at = time.perf_counter() + MEASURED_S

    async def submit_claims(number: int) -> None:
        while time.perf_counter() < end_at:
            began = time.perf_counter()
            decision = await sequencer.claim(make_claim(number))
            assert decision == Granted()
            latencies.append(time.perf_counter() - began)

    cpu_s = time.process_time()
    await asyncio.gather(*(submit_claims(number) for number in range(callers)))
    cpu_s = time.process_time() - cpu_s
    await sequencer.stop()
    name = f"{partitions} partitions, {callers} callers at one:"
    quantiles = statistics.quantiles(latencies, n=20)
    return [
        Row(name=f"{name} claims", value=len(latencies) / MEASURED_S, unit="1/s"),
        Row(name=f"{name} appends", value=log.appends / MEASURED_S, unit="1/s"),
        Row(name=f"{name} latency p50", value=1000 * statistics.median(latencies), unit="ms"),
        Row(name=f"{name} latency p95", value=1000 * quantiles[-1], unit="ms"),
        Row(name=f"{name} processor time per claim", value=1e6 * cpu_s / len(latencies), unit="us"),
    ]


async def measure() -> list[Row]:
    """Return all figures."""
    rows = measure_ledger_memory()
    rows += await measure_takeover()
    for partitions in PARTITIONS:
        for callers in CALLERS:
            rows += await measure_claims(partitions=partitions, callers=callers)
    return rows


def main() -> None:
    """Measure, print the table and write JSON if ``--json`` names a file."""
    parser = argparse.ArgumentParser(description="Measure the costs of at-most-once execution.")
    parser.add_argument("--json", type=pathlib.Path, help="also write the figures to this file")
    args = parser.parse_args()
    rows = asyncio.run(measure())
    for row in rows:
        print(f"{row.name:58} {row.value:12.1f} {row.unit}")
    if args.json is not None:
        args.json.write_bytes(orjson.dumps([dataclasses.asdict(row) for row in rows]))


if __name__ == "__main__":
    main()
