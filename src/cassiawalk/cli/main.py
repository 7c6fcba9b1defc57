"""Entry point of the command-line tool."""

import argparse
import asyncio
import collections.abc as cabc
import os
import sys

from cassiawalk.admin import parse_statement
from cassiawalk.cli import input as statement_input
from cassiawalk.cli import output
from cassiawalk.cli.client import AdminClient
from cassiawalk.cli.client import CallerClient
from cassiawalk.cli.client import Reply
from cassiawalk.cli.errors import ExitStatus
from cassiawalk.cli.errors import UnreachableError
from cassiawalk.cli.submit import Submission
from cassiawalk.errors import UsageError

ADMIN_ENV = "CASSIAWALK_ADMIN"
TOKEN_ENV = "CASSIAWALK_TOKEN"
CALLER_ENV = "CASSIAWALK_CALLER"
CALLER_TOKEN_ENV = "CASSIAWALK_CALLER_TOKEN"

_EPILOG = """\
examples:
  cassiawalk run show nodes
  cassiawalk run 'count refused by workspace last 10m'
  cassiawalk run --wait 'set kind beds/hold with deadline_s = 10 at revision 118'
  cassiawalk run --file examples/shayyasandhan.conf
  cassiawalk submit enquiries/summary '{"prompt": "free beds in Howrah?"}'

exit status: 0 done, 1 refused, 2 wrong usage or statement, 3 no answer, 4 outcome unknown
"""


def build_parser() -> argparse.ArgumentParser:
    """Return the argument parser."""
    parser = argparse.ArgumentParser(
        prog="cassiawalk",
        description="Query cassiawalk hosts, change the configuration, or send a request.",
        epilog=_EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    commands = parser.add_subparsers(dest="command", required=True, metavar="COMMAND")
    _add_run(commands.add_parser("run", help="run statements; without any, read them at a prompt"))
    _add_submit(commands.add_parser("submit", help="send a request and stream its answer"))
    return parser


def _add_run(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("statement", nargs="*", help="words of one statement")
    parser.add_argument("--file", metavar="PATH", help="a file of statements; - for standard input")
    parser.add_argument(
        "--wait", action="store_true", help="wait until a change is in force on all live hosts"
    )
    parser.add_argument(
        "--output", choices=("table", "json"), default="table", help="output format"
    )
    parser.add_argument(
        "--check", action="store_true", help="only check the syntax of the statements"
    )
    _add_connection(parser, "--admin", ADMIN_ENV, "admin address of any host")
    _add_connection(parser, "--token", TOKEN_ENV, "operator's token")


def _add_submit(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("path", metavar="SERVICE/KIND", help="service and request kind")
    parser.add_argument("body", help="JSON object to send, or @FILE")
    parser.add_argument("--key", help="Idempotency-Key, for at-most-once kinds")
    parser.add_argument("--quiet", action="store_true", help="do not print progress")
    _add_connection(parser, "--caller", CALLER_ENV, "caller address of any host")
    _add_connection(parser, "--caller-token", CALLER_TOKEN_ENV, "workspace's token")


def _add_connection(parser: argparse.ArgumentParser, flag: str, env: str, text: str) -> None:
    parser.add_argument(flag, default=os.environ.get(env), help=f"{text} (default: ${env})")


def main(argv: cabc.Sequence[str] | None = None) -> int:
    """Run the command-line tool and return its exit status."""
    args = build_parser().parse_args(argv)
    try:
        if args.command == "submit":
            return asyncio.run(_submit(args))
        if args.check:
            return _check(args)
        return asyncio.run(_run(args))
    except UsageError as exc:
        print(exc.format_message(), file=sys.stderr)
        return ExitStatus.USAGE
    except UnreachableError as exc:
        print(exc.format_message(), file=sys.stderr)
        return ExitStatus.UNREACHABLE
    except KeyboardInterrupt:
        return ExitStatus.UNKNOWN


def _check(args: argparse.Namespace) -> ExitStatus:
    statements = list(_statements(args))
    for statement in statements:
        parse_statement(statement)
    print(f"{len(statements)} statement(s) can be read")
    return ExitStatus.OK


async def _run(args: argparse.Namespace) -> ExitStatus:
    statements = _statements(args)
    client = AdminClient(
        url=_require(args.admin, "--admin", ADMIN_ENV),
        token=_require(args.token, "--token", TOKEN_ENV),
    )
    worst = ExitStatus.OK
    try:
        for statement in statements:
            reply = await client.run(statement, wait=args.wait)
            _print_reply(reply, args.output)
            worst = max(worst, output.exit_status(reply))
            if worst is not ExitStatus.OK and args.file:
                print(f"stopped at: {statement}", file=sys.stderr)
                break
    finally:
        await client.aclose()
    return worst


async def _submit(args: argparse.Namespace) -> ExitStatus:
    client = CallerClient(
        url=_require(args.caller, "--caller", CALLER_ENV),
        token=_require(args.caller_token, "--caller-token", CALLER_TOKEN_ENV),
    )
    submission = Submission(client=client, progress=not args.quiet)
    try:
        return await submission.run(args.path, _read_body(args.body), key=args.key)
    finally:
        await client.aclose()


def _statements(args: argparse.Namespace) -> cabc.Iterable[str]:
    if args.file and args.statement:
        raise UsageError("pass statements as arguments or with --file, not both")
    if args.file:
        return statement_input.read_file(args.file)
    if args.statement:
        return [" ".join(args.statement)]
    if sys.stdin.isatty():
        return statement_input.prompt_statements()
    return statement_input.read_file("-")


def _read_body(text: str) -> bytes:
    if not text.startswith("@"):
        return text.encode()
    try:
        with open(text[1:], "rb") as file:
            return file.read()
    except OSError as exc:
        raise UsageError(f"the file {text[1:]!r} can't be read: {exc}") from exc


def _require(value: str | None, flag: str, env: str) -> str:
    if value:
        return value
    raise UsageError(f"pass {flag} or set {env}")


def _print_reply(reply: Reply, output_format: str) -> None:
    text = output.format_json(reply.body) if output_format == "json" else output.format_reply(reply)
    print(text, file=sys.stdout if reply.status < 400 else sys.stderr)
