"""Runs stand-ins and two hosts on loopback until Ctrl-C, for experiments."""

import asyncio
import contextlib
import pathlib
import tempfile

from standins.fleet import OPERATOR_TOKEN
from standins.fleet import Fleet

DOMAINS = ("kolkata", "howrah")


async def run(directory: pathlib.Path) -> None:
    """Start the processes, print the settings of clients and wait."""
    async with Fleet(directory=directory) as fleet:
        for domain in DOMAINS:
            await fleet.start_upstream(
                f"{domain}-engine", role="engine", pool="models", failure_domain=domain
            )
            await fleet.start_upstream(
                f"{domain}-records", role="plain", pool="records", failure_domain=domain
            )
            await fleet.start_host(f"{domain}-host", failure_domain=domain)
        await fleet.wait_ready()
        host = fleet.hosts[f"{DOMAINS[0]}-host"]
        print(f"export CASSIAWALK_ADMIN=http://{host.admin}")
        print(f"export CASSIAWALK_TOKEN={OPERATOR_TOKEN}")
        print(f"export CASSIAWALK_CALLER=http://{host.caller}")
        print("# Paste these lines into another shell. Ctrl-C here ends everything.", flush=True)
        await asyncio.Event().wait()


def main() -> None:
    """Run in a temporary directory until Ctrl-C."""
    with tempfile.TemporaryDirectory() as directory, contextlib.suppress(KeyboardInterrupt):
        asyncio.run(run(pathlib.Path(directory)))


if __name__ == "__main__":
    main()
