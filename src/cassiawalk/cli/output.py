"""Formats replies as text tables or as JSON."""

import collections.abc as cabc
import typing as t

import orjson

from cassiawalk.cli.client import Reply
from cassiawalk.cli.errors import ExitStatus

MAX_CELL_CHARS = 48
# Too long for text output; ``--output json`` prints them.
_OMITTED_FIELDS = ("verdicts", "changes")


def format_json(body: t.Any) -> str:
    """Return a value as indented JSON."""
    return orjson.dumps(body, option=orjson.OPT_INDENT_2).decode()


def format_reply(reply: Reply) -> str:
    """Return a reply as text for people."""
    body = reply.body
    if "rows" in body:
        return "\n".join(_row_lines(body))
    if "config" in body:
        shown = {k: v for k, v in body["config"].items() if k not in _OMITTED_FIELDS}
        return format_json(shown)
    if "detail" not in body:
        return format_json(body)
    lines = [f"{body['name']}: {body['detail']}"]
    if body.get("command_id"):
        lines.append(f"command id: {body['command_id']}")
    if body.get("statement"):
        lines.append(f"issued by {body['operator']}: {body['statement']}")
    in_force = body.get("in_force")
    if in_force is not None:
        lines.append(_in_force_line(in_force))
    return "\n".join(lines)


def exit_status(reply: Reply) -> ExitStatus:
    """Return the exit status for a reply."""
    if reply.status == 400:
        return ExitStatus.USAGE
    if reply.status == 202:
        return ExitStatus.UNKNOWN
    if reply.status >= 400:
        return ExitStatus.REFUSED
    in_force = reply.body.get("in_force")
    if in_force is not None and not in_force["everywhere"]:
        return ExitStatus.UNKNOWN
    return ExitStatus.OK


def _in_force_line(in_force: dict[str, t.Any]) -> str:
    if in_force["everywhere"]:
        return "in force on all live hosts"
    return "not confirmed by: " + ", ".join(in_force["not_confirmed"])


def _row_lines(body: dict[str, t.Any]) -> cabc.Iterator[str]:
    rows: list[dict[str, t.Any]] = body["rows"]
    if rows:
        yield from _table(rows)
    else:
        yield "no rows"
    if body.get("not_answering"):
        yield "not answering: " + ", ".join(body["not_answering"])


def _table(rows: list[dict[str, t.Any]]) -> cabc.Iterator[str]:
    columns = list(rows[0])
    lines = [columns] + [[_cell(row.get(column)) for column in columns] for row in rows]
    widths = [max(len(line[index]) for line in lines) for index in range(len(columns))]
    for line in lines:
        yield "  ".join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()


def _cell(value: t.Any) -> str:
    text = "-" if value is None else str(value)
    return text if len(text) <= MAX_CELL_CHARS else text[: MAX_CELL_CHARS - 1] + "…"
