import asyncio
import hashlib

import orjson

from standins.answers import full_answer
from standins.fleet import Fleet
from tests.history import Caller
from tests.history import History
from tests.history import Sent
from tests.history import check_history
from tests.history import round_robin
from tests.support import CALLER_TOKEN
from tests.support import MAX_TOKENS
from tests.support import send

STRANGER_TOKEN = "stranger-token"


def headers_of(token: str = CALLER_TOKEN, last_id: str = "0") -> dict[str, str]:
    """Return the headers with which a caller attaches."""
    return {
        "authorization": f"Bearer {token}",
        "accept": "text/event-stream",
        "last-event-id": last_id,
    }


async def begin_and_leave(fleet: Fleet, host: str, prompt: str) -> tuple[str, str, str]:
    """Send a request, read one event, and close the connection.

    Return the request's id, the event's id and its text.
    """
    ip, port = fleet.hosts[host].caller.split(":")
    reader, writer = await asyncio.open_connection(ip, int(port))
    body = orjson.dumps({"prompt": prompt})
    lines = ["POST /v1/services/enquiries/summary HTTP/1.1", "host: cassiawalk"]
    lines += [f"{name}: {value}" for name, value in headers_of().items()]
    lines += [f"content-length: {len(body)}", "", ""]
    writer.write("\r\n".join(lines).encode() + body)
    head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
    request_id = head.split("x-request-id: ")[1].split("\r\n")[0]
    last_id = (await reader.readuntil(b"\nevent: token\n")).decode()
    event = (await reader.readuntil(b"\n\n")).decode()
    writer.close()
    await writer.wait_closed()
    text = orjson.loads(event.removeprefix("data: "))["text"]
    return request_id, last_id.split("id: ")[1].split("\n")[0], text


async def test_similar_requests_and_cut_streams_give_each_caller_its_own_answer(
    fleet: Fleet,
) -> None:
    await fleet.set_faults("engine-0", cut_after_tokens=9)
    history = History(max_tokens=MAX_TOKENS)
    balancer = round_robin(lambda: sorted(fleet.hosts))
    prompts = [f"bed status of home {number % 4}" for number in range(24)]
    callers = [
        Caller(number=number, prompt=prompt, fleet=fleet, balancer=balancer)
        for number, prompt in enumerate(prompts)
    ]
    await asyncio.gather(*(caller.run(history, path="enquiries/summary") for caller in callers))
    check_history(history, callers=24)
    assert {event.host for event in history.of(Sent)} == set(fleet.hosts)


async def test_caller_that_left_finds_its_answer_at_any_host(fleet: Fleet) -> None:
    prompt = "the dossier of Durgapur"
    request_id, last_id, text = await begin_and_leave(fleet, "host-0", prompt)
    for host in fleet.hosts.values():
        for after, expected in (
            ("0", full_answer(prompt, MAX_TOKENS)),
            (last_id, full_answer(prompt, MAX_TOKENS)[len(text) :]),
        ):
            url = f"http://{host.caller}/v1/requests/{request_id}"
            again = await fleet.http.get(url, headers=headers_of(last_id=after))
            frames = (await again.content()).decode().strip().split("\n\n")
            events = [
                (frame.split("\n")[1][7:], orjson.loads(frame.split("\n")[2][6:]))
                for frame in frames
            ]
            assert events[-1][0] == "end"
            assert "".join(data["text"] for name, data in events if name == "token") == expected


async def test_other_workspace_sees_no_request(fleet: Fleet) -> None:
    answer = await send(fleet, "host-0", "enquiries/quick", {"prompt": "beds?"})
    request_id = answer.headers["x-request-id"]
    digest = hashlib.sha256(STRANGER_TOKEN.encode()).hexdigest()
    status, reply = await fleet.run_statement(
        "host-0", f'create workspace stranger with token_sha256 = "{digest}"'
    )
    assert status == 200
    await fleet.wait_revision(reply["revision"])
    bodies = []
    for asked in (request_id, request_id.replace("-7", "-8", 1)):
        for host in fleet.hosts.values():
            url = f"http://{host.caller}/v1/requests/{asked}"
            res = await fleet.http.get(url, headers=headers_of(STRANGER_TOKEN))
            assert res.status_code == 404
            bodies.append((await res.content()).decode().replace(asked, "ID"))
    assert len(set(bodies)) == 1
