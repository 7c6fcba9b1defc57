import dataclasses
import typing as t

import pytest


@dataclasses.dataclass(frozen=True, kw_only=True)
class CliResult:
    """What a command-line tool printed, and its exit status."""

    status: int
    out: str
    err: str


class CliRunner:
    """Runs an entry point in process."""

    def __init__(self, capsys: pytest.CaptureFixture[str]) -> None:
        self._capsys = capsys

    def run(self, entry: t.Callable[[list[str]], int], *argv: str) -> CliResult:
        try:
            status = entry(list(argv))
        except SystemExit as exc:
            status = int(exc.code or 0)
        captured = self._capsys.readouterr()
        return CliResult(status=int(status), out=captured.out, err=captured.err)
