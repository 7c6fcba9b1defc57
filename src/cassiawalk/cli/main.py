"""Entry point of the command-line tool."""

import argparse
import asyncio
import collections.abc as cabc
import os
import sys
import typing as t

import aiosonic
import orjson

from cassiawalk.errors import CassiawalkError
from cassiawalk.errors import UsageError
from cassiawalk.platform import _http

EXIT_OK = 0
EXIT_REFUSED = 1
EXIT_USAGE = 2
EXIT_UNREACHABLE = 3
ADMIN_ENV = "CASSIAWALK_ADMIN"
TOKEN_ENV = "CASSIAWALK_TOKEN"


class UnreachableError(CassiawalkError):
    """No answer came from the host."""


def build_parser() -> argparse.ArgumentParser:
    """Return the argument parser."""
    parser = argparse.ArgumentParser(
        prog="cassiawalk", description="Ask a cassiawalk host, or change the configuration."
    )
    parser.add_argument(
        "--admin",
        default=os.environ.get(ADMIN_ENV),
        metavar="URL",
        help=f"admin address of any host (default: ${ADMIN_ENV})",
    )
    parser.add_argument(
        "--token",
        default=os.environ.get(TOKEN_ENV),
        help=f"operator's token (default: ${TOKEN_ENV})",
    )
    parser.add_argument("statement", nargs="+", help="a statement, such as: show nodes")
    return parser


def main(argv: cabc.Sequence[str] | None = None) -> int:
    """Run the tool and return its exit status."""
    args = build_parser().parse_args(argv)
    try:
        return asyncio.run(_run(args))
    except UsageError as exc:
        print(exc.format_message(), file=sys.stderr)
        return EXIT_USAGE
    except UnreachableError as exc:
        print(exc.format_message(), file=sys.stderr)
        return EXIT_UNREACHABLE


async def _run(args: argparse.Namespace) -> int:
    if not args.admin:
        raise UsageError(f"no host to ask: pass --admin URL or set {ADMIN_ENV}")
    if not args.token:
        raise UsageError(f"no operator's token: pass --token or set {TOKEN_ENV}")
    status, answer = await _post(args.admin, args.token, " ".join(args.statement))
    text = orjson.dumps(answer, option=orjson.OPT_INDENT_2).decode()
    print(text, file=sys.stdout if status < 400 else sys.stderr)
    if status == 400:
        return EXIT_USAGE
    return EXIT_OK if status < 400 else EXIT_REFUSED


async def _post(url: str, token: str, statement: str) -> tuple[int, t.Any]:
    client: aiosonic.HTTPClient = _http.new_client()
    try:
        res = await client.post(
            f"{url.rstrip('/')}/admin/v1/statements",
            data=orjson.dumps({"statement": statement}),
            headers={"authorization": f"Bearer {token}", "content-type": "application/json"},
        )
        return res.status_code, orjson.loads(await res.content())
    except _http.LOST_ANSWER as exc:
        raise UnreachableError(f"no answer from {url}: {exc!r}") from exc
    finally:
        await _http.close_client(client)
