"""Measures a host's memory and its CPU time for control messages and for streamed tokens.

It starts processes on loopback: some hosts, and engines that report their load. The callers that
stream run in this process. Run it with ``python -m benchmarks.host_costs``.
"""

import argparse
import asyncio
import collections.abc as cabc
import dataclasses
import hashlib
import json
import pathlib
import tempfile
import time

import orjson

from standins.fleet import Fleet

CALLER_TOKEN = "bench-token"
TOKENS = 200
IDLE_S = 8.0
SLOTS = 64
CONFIG_STATEMENTS = (
    "create pool models with type = engine",
    "create service text with pool = models",
    f"create kind text/long with mode = must_arrive, max_tokens = {TOKENS}, deadline_s = 300",
    "create workspace bench with token_sha256 = "
    f'"{hashlib.sha256(CALLER_TOKEN.encode()).hexdigest()}"',
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class MetricsSample:
    """The values of one host's metrics at one time, summed over their labels."""

    at_s: float
    values: dict[str, float]

    def rate(self, earlier: "MetricsSample", name: str) -> float:
        """Return the increase of a metric since an earlier sample, per second."""
        return (self.values[name] - earlier.values[name]) / (self.at_s - earlier.at_s)


async def sample_metrics(fleet: Fleet, host: str) -> MetricsSample:
    """Return the current values of a host's metrics."""
    res = await fleet.http.get(f"http://{fleet.hosts[host].admin}/metrics")
    values: dict[str, float] = {}
    for line in (await res.content()).decode().splitlines():
        name, _, value = line.rpartition(" ")
        if name and not line.startswith("#"):
            family = name.partition("{")[0]
            values[family] = values.get(family, 0.0) + float(value)
    return MetricsSample(at_s=time.monotonic(), values=values)


async def stream(fleet: Fleet, host: str, number: int) -> int:
    """Stream one answer and return its number of tokens."""
    headers = {"accept": "text/event-stream", "authorization": f"Bearer {CALLER_TOKEN}"}
    res = await fleet.http.post(
        f"http://{fleet.hosts[host].caller}/v1/services/text/long",
        data=orjson.dumps({"prompt": f"number {number}"}),
        headers=headers,
    )
    body = await res.content()
    end = body.rstrip().rpartition(b"data: ")[2]
    return int(json.loads(end)["tokens"])


async def measure_idle(fleet: Fleet, host: str) -> dict[str, float]:
    """Return a host's costs while it has no requests."""
    first = await sample_metrics(fleet, host)
    await asyncio.sleep(IDLE_S)
    last = await sample_metrics(fleet, host)
    return {
        "process_core_percent": 100 * last.rate(first, "cassiawalk_process_cpu_seconds"),
        "control_core_percent": 100 * last.rate(first, "cassiawalk_control_cpu_seconds"),
        "control_sent_bytes_per_s": last.rate(first, "cassiawalk_control_sent_bytes"),
        "control_received_bytes_per_s": last.rate(first, "cassiawalk_control_received_bytes"),
        "resident_mb": last.values["cassiawalk_resident_bytes"] / 1e6,
    }


async def measure_streams(fleet: Fleet, host: str, count: int) -> dict[str, float]:
    """Return a host's CPU time per token and memory with ``count`` concurrent streams."""
    first = await sample_metrics(fleet, host)
    tokens = await asyncio.gather(*(stream(fleet, host, number) for number in range(count)))
    last = await sample_metrics(fleet, host)
    cpu_s = last.values["cassiawalk_process_cpu_seconds"]
    cpu_s -= first.values["cassiawalk_process_cpu_seconds"]
    return {
        "streams": count,
        "tokens": sum(tokens),
        "seconds": last.at_s - first.at_s,
        "cpu_us_per_token": 1e6 * cpu_s / sum(tokens),
        "resident_mb": last.values["cassiawalk_resident_bytes"] / 1e6,
    }


async def run(hosts: int, engines: int, streams: int) -> dict[str, dict[str, float]]:
    """Start the processes, measure, and return the figures without and with streams."""
    with tempfile.TemporaryDirectory() as directory:
        async with Fleet(directory=pathlib.Path(directory)) as fleet:
            for index in range(hosts):
                await fleet.start_host(f"host-{index}", failure_domain=f"domain-{index % 3}")
            await _start_engines(fleet, engines)
            await fleet.wait_ready()
            for statement in CONFIG_STATEMENTS:
                status, answer = await fleet.run_statement("host-0", statement)
                if status != 200:
                    raise SystemExit(f"{statement}: {answer}")
            await fleet.wait_revision(len(CONFIG_STATEMENTS))
            await asyncio.sleep(2.0)
            idle = await measure_idle(fleet, "host-0")
            busy = await measure_streams(fleet, "host-0", streams)
            return {"idle": idle, "streams": busy}


async def _start_engines(fleet: Fleet, count: int) -> None:
    starts: list[cabc.Awaitable[object]] = [
        fleet.start_upstream(
            f"engine-{index}",
            role="engine",
            pool="models",
            failure_domain=f"domain-{index % 3}",
            args=("--slots", str(SLOTS), "--token-s", "0.03"),
        )
        for index in range(count)
    ]
    await asyncio.gather(*starts)


def main() -> None:
    """Print the figures as JSON."""
    parser = argparse.ArgumentParser(description="Measure the costs of a host.")
    parser.add_argument("--hosts", type=int, default=3)
    parser.add_argument("--engines", type=int, default=10)
    parser.add_argument("--streams", type=int, default=100)
    args = parser.parse_args()
    figures = asyncio.run(run(args.hosts, args.engines, args.streams))
    print(json.dumps({**vars(args), **figures}, indent=2))


if __name__ == "__main__":
    main()
