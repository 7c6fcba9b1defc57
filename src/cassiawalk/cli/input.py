"""Reads statements from arguments, files, standard input or a prompt."""

import collections.abc as cabc
import pathlib
import sys
import typing as t

from cassiawalk.errors import UsageError

PROMPT = "cassiawalk> "
COMMENT_PREFIX = "#"


def split_statements(lines: cabc.Iterable[str]) -> list[str]:
    """Return the statements of a text that has one statement a line.

    Empty lines and lines that start with ``#`` are skipped; a line that ends with a backslash
    continues on the next line.
    """
    statements = []
    continued = ""
    for line in lines:
        text = line.strip()
        if not continued and (not text or text.startswith(COMMENT_PREFIX)):
            continue
        if text.endswith("\\"):
            continued += text[:-1].rstrip() + " "
            continue
        statements.append(continued + text)
        continued = ""
    if continued:
        statements.append(continued.strip())
    return statements


def read_file(path: str) -> list[str]:
    """Return the statements of a file; ``-`` means standard input.

    :raises UsageError: if the file can't be read.
    """
    if path == "-":
        return split_statements(sys.stdin)
    try:
        return split_statements(pathlib.Path(path).read_text("utf-8").splitlines())
    except (OSError, UnicodeDecodeError) as exc:
        raise UsageError(f"the file {path!r} can't be read: {exc}") from exc


def prompt_statements() -> t.Iterator[str]:
    """Yield the statements typed at a prompt, until ``exit``, ``quit`` or the end of input."""
    while True:
        try:
            line = input(PROMPT).strip()
        except EOFError:
            print()
            return
        if line in ("exit", "quit"):
            return
        if line:
            yield line
