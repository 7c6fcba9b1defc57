"""Orders with real processes: the controller is killed and another one takes over."""

import asyncio
import pathlib
import typing as t

from standins.fleet import Fleet

HOSTS = ("host-0", "host-1")
TAKEOVER_LIMIT_S = 60.0


async def test_engines_get_the_model_and_the_takeover_of_a_killed_controller(
    tmp_path: pathlib.Path,
) -> None:
    async with Fleet(directory=tmp_path) as fleet:
        for host in HOSTS:
            await fleet.start_host(host, failure_domain="north")
        await fleet.wait_ready()
        await check_takeover(fleet)


async def check_takeover(hosts: Fleet) -> None:
    engine = await hosts.start_upstream(
        "engine-0", role="engine", pool="models", failure_domain="fd-host-0"
    )
    status, answer = await hosts.run_statement(
        "host-0", "create pool models with type = engine, model = m1"
    )
    assert status == 200, answer

    async def wait_orders(count: int) -> list[dict[str, t.Any]]:
        async with asyncio.timeout(TAKEOVER_LIMIT_S):
            while True:
                orders = (await hosts.get(f"{engine.url}/orders"))["orders"]
                if len({order["fence"] for order in orders}) >= count:
                    return t.cast(list[dict[str, t.Any]], orders)
                await asyncio.sleep(0.05)

    first = await wait_orders(1)
    assert first[0]["argument"] == "m1"
    holder = _lease_holder(hosts)
    await hosts.hosts[holder].process.kill()
    await hosts.post(f"{hosts.standins['cloud'].url}/hosts/{holder}/remove")
    orders = await wait_orders(2)
    assert [order["fence"] for order in orders] == sorted(order["fence"] for order in orders)
    stale = {"fence": first[0]["fence"], "action": "load_model", "argument": "old"}
    assert (await hosts.post(f"{engine.url}/orders", stale))[0] == 409


def _lease_holder(hosts: Fleet) -> str:
    """Return the host that sent the orders, which is the one that holds the lease.

    The ranking may differ: a host that starts first ranks itself first until it discovers others.
    """
    senders = [
        name
        for name, host in hosts.hosts.items()
        for line in host.process.lines
        if line.get("message_type") == "orders:given"
    ]
    assert len(set(senders)) == 1, f"orders were sent by {senders}, not by one host"
    return senders[0]
