"""Reads statements from arguments, files, standard input or a prompt."""

import collections.abc as cabc
import pathlib
import sys
import typing as t

from cassiawalk.errors import UsageError

PROMPT = "cassiawalk> "
COMMENT = "#"


def statements_of(lines: cabc.Iterable[str]) -> list[str]:
    """Return the statements of a text with one on each line.

    Empty lines and those that start with ``#`` are passed over; a line that ends with a backslash
    goes on in the next one.
    """
    statements = []
    begun = ""
    for line in lines:
        text = line.strip()
        if not begun and (not text or text.startswith(COMMENT)):
            continue
        if text.endswith("\\"):
            begun += text[:-1].rstrip() + " "
            continue
        statements.append(begun + text)
        begun = ""
    if begun:
        statements.append(begun.strip())
    return statements


def read_file(path: str) -> list[str]:
    """Return the statements of a file, or of standard input for ``-``.

    :raises UsageError: if the file can't be read.
    """
    if path == "-":
        return statements_of(sys.stdin)
    try:
        return statements_of(pathlib.Path(path).read_text("utf-8").splitlines())
    except (OSError, UnicodeDecodeError) as exc:
        raise UsageError(f"the file {path!r} can't be read: {exc}") from exc


def prompted() -> t.Iterator[str]:
    """Yield statements typed at a prompt until the end of input."""
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
