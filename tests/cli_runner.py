import dataclasses
import typing as t

import pytest


@dataclasses.dataclass(frozen=True, kw_only=True)
class CliResult:
    """The output and the exit status of a command-line tool."""

    status: int
    out: str
    err: str


class CliRunner:
    """Runs the entry point of a command-line tool in this process."""

    def __init__(self, capsys: pytest.CaptureFixture[str]) -> None:
        self._capsys = capsys

    def run(self, entry: t.Callable[[list[str]], int], *argv: str) -> CliResult:
        try:
            status = entry(list(argv))
        except SystemExit as exc:
            status = int(exc.code or 0)
        captured = self._capsys.readouterr()
        return CliResult(status=int(status), out=captured.out, err=captured.err)
