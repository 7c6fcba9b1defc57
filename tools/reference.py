"""Generates the reference tables of the documentation from the code.

``python -m tools.reference`` rewrites the tables. With ``--check`` it only reports which pages
differ, and exits with status 1 if any does.
"""

import argparse
import collections.abc as cabc
import pathlib
import sys

from cassiawalk.admin.tables import TABLES
from cassiawalk.clock import SystemClock
from cassiawalk.metrics import Metrics
from cassiawalk.results import CODES
from cassiawalk.settings import SPECS

DOCS = pathlib.Path(__file__).parent.parent / "docs"
BEGIN = "<!-- begin {name}: python -m tools.reference -->"
END = "<!-- end {name} -->"


def result_codes() -> cabc.Iterator[str]:
    """Yield the lines of the table of result codes."""
    yield "| code | name | HTTP status | ran | come back | meaning | what an operator does |"
    yield "|---|---|---|---|---|---|---|"
    for code, info in CODES.items():
        retry_cell = "yes, after `Retry-After`" if info.retry else "no"
        cells = [str(int(code)), f"`{code.name.lower()}`", str(info.status), info.execution.value]
        yield "| " + " | ".join([*cells, retry_cell, info.meaning, info.action]) + " |"


def settings() -> cabc.Iterator[str]:
    """Yield the lines of the table of settings."""
    yield "| section | key | default | allowed | meaning |"
    yield "|---|---|---|---|---|"
    for spec in SPECS:
        default = "required" if spec.default is None else f"`{spec.default}`"
        cells = [f"`{spec.section}`", f"`{spec.key}`", default, spec.type.allowed, spec.meaning]
        yield "| " + " | ".join(cells) + " |"


def metrics() -> cabc.Iterator[str]:
    """Yield the lines of the table of metrics."""
    yield "| metric | type | meaning |"
    yield "|---|---|---|"
    registry = Metrics(clock=SystemClock()).registry
    for collector in sorted(registry.get_all(), key=lambda item: str(item.name)):
        yield f"| `{collector.name}` | {collector.kind.name.lower()} | {collector.doc} |"


def tables() -> cabc.Iterator[str]:
    """Yield the lines of the table of the tables that operators can query."""
    yield "| table | rows from | columns |"
    yield "|---|---|---|"
    for name, table in TABLES.items():
        columns = "; ".join(f"`{column}`: {text}" for column, text in table.columns.items())
        yield f"| `{name}` | {table.scope.value} | {columns} |"


PAGES: cabc.Mapping[str, tuple[str, cabc.Callable[[], cabc.Iterator[str]]]] = {
    "result codes": ("RESULT-CODES.md", result_codes),
    "settings": ("OPERATIONS.md", settings),
    "metrics": ("OPERATIONS.md", metrics),
    "tables": ("LANGUAGE.md", tables),
}


def updated(name: str) -> tuple[pathlib.Path, str, str]:
    """Return the path of a table's page, its current text and the text with the generated table.

    :raises ValueError: if the page lacks the begin and end markers of the table.
    """
    file_name, render = PAGES[name]
    path = DOCS / file_name
    text = path.read_text("utf-8")
    begin, end = BEGIN.format(name=name), END.format(name=name)
    if begin not in text or end not in text:
        raise ValueError(f"{path.name} lacks the markers of the table {name!r}")
    head, _, rest = text.partition(begin)
    tail = rest.partition(end)[2]
    body = "\n".join(render())
    return path, text, f"{head}{begin}\n{body}\n{end}{tail}"


def main(argv: cabc.Sequence[str] | None = None) -> int:
    """Rewrite the pages, or only check them, and return the exit status."""
    parser = argparse.ArgumentParser(description="Write the reference tables in docs/.")
    parser.add_argument("--check", action="store_true", help="only report the pages that differ")
    args = parser.parse_args(argv)
    differing = 0
    for name in PAGES:
        path, text, expected = updated(name)
        if text == expected:
            continue
        differing += 1
        print(f"{path.name}: the table {name!r} differs from the code")
        if not args.check:
            path.write_text(expected, "utf-8")
    return 1 if args.check and differing else 0


if __name__ == "__main__":
    sys.exit(main())
