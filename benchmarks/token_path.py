"""Measures the CPU time per token, within one process and from end to end.

The first figure covers the request record, metrics, reader and event encoding, between a source of
tokens in this process and a reader that drops the events. The second figure is the CPU time of a
daemon with 100 streams on loopback; engines and callers run outside its process.

Run it with ``python -m benchmarks.token_path``.
"""

import asyncio
import contextlib
import hashlib
import json
import os
import pathlib
import tempfile
import time

import orjson

from cassiawalk.caller.events import follow
from cassiawalk.caller.events import sse_frame
from cassiawalk.clock import SystemClock
from cassiawalk.control.state import Kind
from cassiawalk.control.state import KindMode
from cassiawalk.ids import KindName
from cassiawalk.ids import PoolName
from cassiawalk.ids import RequestId
from cassiawalk.ids import ServiceName
from cassiawalk.ids import WorkspaceName
from cassiawalk.metrics import Metrics
from cassiawalk.requests import Cursor
from cassiawalk.requests import Ended
from cassiawalk.requests import RequestRecord
from cassiawalk.requests import Text
from standins.answers import answer_length
from standins.fleet import Fleet

STREAMS = 100
TOKENS = 400
ROUNDS = 5
TOKEN_S = 0.036
CALLER_TOKEN = "bench-token"
MICROSECONDS_PER_S = 1e6


def new_record(number: int) -> RequestRecord:
    """Return the record of a streamed request."""
    return RequestRecord(
        request_id=RequestId(f"{number}.bench"),
        workspace=WorkspaceName("bench"),
        service=ServiceName("enquiries"),
        kind_name=KindName("summary"),
        kind=Kind(mode=KindMode.MUST_ARRIVE, max_tokens=TOKENS),
        pool=PoolName("models"),
        body=b"{}",
        prompt="bench",
        deadline_s=time.time() + 600,
        accepted_at=time.monotonic(),
    )


async def produce(records: list[RequestRecord], metrics: Metrics) -> None:
    """Add tokens to each record one by one, as the stream runner does."""
    for _ in range(TOKENS):
        for record in records:
            metrics.note_tokens(record, 1, time.monotonic())
            record.add(Text(count=1, text=" 1a2b3c"))
        await asyncio.sleep(0)
    for record in records:
        record.add(Ended(tokens=record.tokens))


async def consume(record: RequestRecord) -> int:
    """Encode a record's events, drop them and return their size in bytes."""
    total = 0
    async with contextlib.aclosing(follow(record, after=Cursor())) as events:
        async for numbered in events:
            total += len(sse_frame(numbered, record.request_id))
    return total


async def measure_in_process() -> float:
    """Return the CPU time per token in microseconds."""
    records = [new_record(number) for number in range(STREAMS)]
    readers = [asyncio.create_task(consume(record)) for record in records]
    await asyncio.sleep(0)
    cpu_before_s = time.process_time()
    await produce(records, Metrics(clock=SystemClock()))
    await asyncio.gather(*readers)
    return (time.process_time() - cpu_before_s) / (STREAMS * TOKENS) * MICROSECONDS_PER_S


def process_cpu_s(pid: int) -> float:
    """Return the CPU time that a process has used, in seconds."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(") ", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


async def measure_end_to_end() -> dict[str, float]:
    """Return a daemon's CPU time per token in microseconds, with 100 concurrent streams.

    The CPU time that the daemon uses without requests is subtracted.
    """
    with tempfile.TemporaryDirectory() as directory:
        async with Fleet(directory=pathlib.Path(directory)) as fleet:
            args = ("--slots", str(STREAMS), "--token-s", str(TOKEN_S))
            await fleet.start_upstream(
                "engine-0", role="engine", pool="models", failure_domain="core", args=args
            )
            host = await fleet.start_host("host-0", failure_domain="core")
            await fleet.wait_ready()
            digest = hashlib.sha256(CALLER_TOKEN.encode()).hexdigest()
            for statement in (
                "create pool models with type = engine",
                "create service enquiries with pool = models",
                "create kind enquiries/summary with mode = must_arrive,"
                f" max_tokens = {TOKENS}, deadline_s = 300",
                f'create workspace bench with token_sha256 = "{digest}"',
            ):
                await fleet.run_statement("host-0", statement)
            await fleet.wait_revision(4)
            await asyncio.sleep(1.0)
            pid = host.process.handle.pid
            idle_before_s = process_cpu_s(pid)
            await asyncio.sleep(2.0)
            idle_share = (process_cpu_s(pid) - idle_before_s) / 2.0
            cpu_before_s, measured_from = process_cpu_s(pid), time.monotonic()
            prompts = [f"bench {number}" for number in range(STREAMS)]
            events = await asyncio.gather(*(_read_stream(fleet, prompt) for prompt in prompts))
            used_s = (
                process_cpu_s(pid) - cpu_before_s - idle_share * (time.monotonic() - measured_from)
            )
            tokens = sum(answer_length(prompt, TOKENS) for prompt in prompts)
            return {
                "tokens": tokens,
                "events": sum(events),
                "us_per_token": used_s / tokens * MICROSECONDS_PER_S,
            }


async def _read_stream(fleet: Fleet, prompt: str) -> int:
    """Read one stream to its end and return the number of events."""
    headers = {"authorization": f"Bearer {CALLER_TOKEN}", "accept": "text/event-stream"}
    url = f"http://{fleet.hosts['host-0'].caller}/v1/services/enquiries/summary"
    res = await fleet.http.post(url, data=orjson.dumps({"prompt": prompt}), headers=headers)
    content: bytes = await res.content()
    return content.count(b"event: token")


async def main() -> None:
    """Print the figures as JSON."""
    rounds = sorted([await measure_in_process() for _ in range(ROUNDS)])
    in_process = {"median": rounds[ROUNDS // 2], "low": rounds[0], "high": rounds[-1]}
    print(json.dumps({"in_process_us_per_token": in_process}))
    print(json.dumps({"end_to_end": await measure_end_to_end()}))


if __name__ == "__main__":
    asyncio.run(main())
