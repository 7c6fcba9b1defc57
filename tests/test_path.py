import signal

import orjson

from standins.answers import full_answer
from standins.fleet import Fleet
from tests.support import MAX_TOKENS
from tests.support import send


async def test_every_kind_is_answered_by_every_host(fleet: Fleet) -> None:
    for host in fleet.hosts:
        prompt = f"summarise the enquiry at {host}"
        summary = await send(fleet, host, "enquiries/summary", {"prompt": prompt})
        assert summary.status == 200
        assert summary.body["complete"] is True
        assert summary.body["answer"] == full_answer(prompt, MAX_TOKENS)
        listing = await send(fleet, host, "beds/list", {"home": 7})
        assert listing.body["answer"]["echo"] == {"home": 7}


async def test_key_runs_once_whichever_host_it_is_sent_to(fleet: Fleet) -> None:
    first = await send(fleet, "host-0", "beds/hold", {"bed": 3}, key="hold-3")
    again = await send(fleet, "host-1", "beds/hold", {"bed": 3}, key="hold-3")
    assert first.status == again.status == 200, (first.body, again.body)
    assert first.body["answer"]["run"] == again.body["answer"]["run"] == 1
    assert again.body["recorded"] is True
    runs = [await fleet.get(f"{fleet.standins[name].url}/runs") for name in ("plain-0", "plain-1")]
    assert sum(run.get("hold-3", 0) for run in runs) == 1


async def test_stream_ends_with_an_end_marker(fleet: Fleet) -> None:
    headers = {"accept": "text/event-stream", "authorization": "Bearer caller-token"}
    url = f"http://{fleet.hosts['host-0'].caller}/v1/services/enquiries/quick"
    res = await fleet.http.post(url, data=orjson.dumps({"prompt": "beds?"}), headers=headers)
    text = (await res.content()).decode()
    frames = [frame.split("\n") for frame in text.strip().split("\n\n")]
    assert frames[-1][1] == "event: end"
    tokens = [orjson.loads(frame[2][6:])["text"] for frame in frames[:-1]]
    assert "".join(tokens) == full_answer("beds?", MAX_TOKENS)


async def test_sigterm_stops_a_host_with_status_zero(fleet: Fleet) -> None:
    process = fleet.hosts["host-1"].process
    process.signal(signal.SIGTERM)
    assert await process.stop() == 0
