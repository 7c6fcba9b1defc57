import asyncio
import pathlib

import pytest

from cassiawalk.cli import main
from cassiawalk.cli.errors import ExitStatus
from standins.fleet import OPERATOR_TOKEN
from standins.fleet import READER_TOKEN
from standins.fleet import Fleet
from tests.cli_runner import CliResult
from tests.cli_runner import CliRunner
from tests.support import CALLER_TOKEN


@pytest.mark.parametrize(
    ("argv", "status", "text"),
    [
        (["--help"], 0, "exit status"),
        (["run", "--help"], 0, "--wait"),
        (["run", "show", "nodes"], ExitStatus.USAGE, "pass --admin or set CASSIAWALK_ADMIN"),
        (["run", "--check", "show nodes"], ExitStatus.OK, "1 statement(s) can be read"),
        (["run", "--check", "show knots"], ExitStatus.USAGE, "     ^"),
        (["run", "--check", "--file", "absent"], ExitStatus.USAGE, "'absent' can't be read"),
        (["run", "--file", "a", "show", "nodes"], ExitStatus.USAGE, "not both"),
        (
            ["run", "--admin", "http://127.0.0.1:1", "--token", "t", "show", "nodes"],
            ExitStatus.UNREACHABLE,
            "no answer from http://127.0.0.1:1",
        ),
        (["submit", "beds/list", "@absent", "--caller", "x", "--caller-token", "t"], 2, "absent"),
    ],
)
def test_usage(
    capsys: pytest.CaptureFixture[str],
    monkeypatch: pytest.MonkeyPatch,
    argv: list[str],
    status: int,
    text: str,
) -> None:
    monkeypatch.delenv("CASSIAWALK_ADMIN", raising=False)
    result = CliRunner(capsys).run(main, *argv)
    assert result.status == status
    assert text in result.out + result.err


async def test_operators_work_through_any_host(
    fleet: Fleet, capsys: pytest.CaptureFixture[str], tmp_path: pathlib.Path
) -> None:
    runner = CliRunner(capsys)

    async def run_tool(*argv: str, host: str = "host-1", token: str = OPERATOR_TOKEN) -> CliResult:
        admin = f"http://{fleet.hosts[host].admin}"
        args = ("run", "--admin", admin, "--token", token, *argv)
        return await asyncio.to_thread(runner.run, main, *args)

    set_deadline = "set kind beds/hold with deadline_s = 9"
    changed = await run_tool("--wait", set_deadline)
    assert changed.status == ExitStatus.OK
    assert "in force on all live hosts" in changed.out

    conflict = await run_tool("set kind beds/hold with deadline_s = 8 at revision 2", host="host-0")
    assert conflict.status == ExitStatus.REFUSED
    assert "command_conflict" in conflict.err and "by admin" in conflict.err

    command_id = changed.out.split("command id: ")[1].split()[0]
    assert set_deadline in (await run_tool("show command", command_id)).out
    assert "deadline_s = 9" in (await run_tool("show commands limit 2")).out
    nodes = await run_tool("show nodes")
    assert "host-0" in nodes.out and "host-1" in nodes.out
    assert "at_most_once" in (await run_tool("show kinds where mode = at_most_once")).out
    assert '"deadline_s": 60.0' in (await run_tool("show config at 9")).out
    assert "token_sha256" not in (await run_tool("show config")).out

    refused = await run_tool("remove kind beds/hold", token=READER_TOKEN)
    assert "needs the role write" in refused.err
    assert (await run_tool("show nodes", token="wrong")).status == ExitStatus.REFUSED

    script = tmp_path / "script"
    script.write_text(
        "# two\ncreate pool a with type = plain\n\ncreate pool a with \\\n type = engine\n"
    )
    stopped = await run_tool("--file", str(script))
    assert stopped.status == ExitStatus.REFUSED
    assert "stopped at: create pool a with type = engine" in stopped.err

    await fleet.hosts["host-0"].process.kill()
    surviving = await run_tool("count requests by state")
    assert "not answering: host-0" in surviving.out


async def test_submit_streams_an_answer(fleet: Fleet, capsys: pytest.CaptureFixture[str]) -> None:
    runner = CliRunner(capsys)
    caller = f"http://{fleet.hosts['host-0'].caller}"

    async def submit(path: str, body: str, *more: str) -> CliResult:
        args = ("submit", path, body, "--caller", caller, "--caller-token", CALLER_TOKEN, *more)
        return await asyncio.to_thread(runner.run, main, *args)

    streamed = await submit("enquiries/quick", '{"prompt": "beds?"}')
    assert streamed.status == ExitStatus.OK
    assert "complete" in streamed.err
    held = await submit("beds/hold", '{"bed": 1}', "--key", "k1")
    assert '"run": 1' in held.out
    without_key = await submit("beds/hold", '{"bed": 1}')
    assert without_key.status == ExitStatus.REFUSED
    assert '"ran": "not run"' in without_key.err
