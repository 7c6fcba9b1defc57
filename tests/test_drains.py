from standins.fleet import Fleet
from tests.support import send


async def run(fleet: Fleet, text: str) -> None:
    status, answer = await fleet.run_statement("host-0", text)
    assert status == 200, answer
    await fleet.wait_revision(answer["revision"])


async def test_a_drained_host_refuses_and_a_drained_upstream_gets_nothing(fleet: Fleet) -> None:
    await run(fleet, 'drain host host-1 because "new image"')
    refused = await send(fleet, "host-1", "beds/list", {"home": 1})
    assert (refused.status, refused.body["ran"]) == (503, "not run")
    assert not (await fleet.get(f"http://{fleet.hosts['host-1'].caller}/readyz"))["ready"]
    await run(fleet, "undrain host host-1")
    assert (await send(fleet, "host-1", "beds/list", {"home": 1})).status == 200

    await run(fleet, "drain upstream plain-0")
    before = await fleet.get(fleet.standins["plain-0"].url + "/runs")
    for number in range(12):
        assert (await send(fleet, "host-0", "beds/list", {"home": number})).status == 200
    assert await fleet.get(fleet.standins["plain-0"].url + "/runs") == before
