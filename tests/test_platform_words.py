"""Names that the users' platform defines occur only in its adapter."""

import pathlib
import re

import pytest

import cassiawalk

SOURCES = pathlib.Path(cassiawalk.__file__).parent
WORDS = re.compile(
    r"x-response-seal|x-not-executed|x-expect-instance|x-prompt-prefix|x-token-usage|x-tenant|"
    r"api-key|x-server-load|x-fencing-token|x-duty-holder|x-kv-backup|kv-from|kv-fetch|"
    r"/cassiawalk/(log|kv|report|hold|ready)|keyed\.(op|servers)|path_prefix|resume_streams|"
    r"retry_budget|cloud_api|internal_port_range|use_spot|desired_count|window_seq",
    re.IGNORECASE,
)
OUTSIDE = sorted(path for path in SOURCES.rglob("*.py") if SOURCES / "platform" not in path.parents)


@pytest.mark.parametrize("path", OUTSIDE, ids=lambda path: str(path.relative_to(SOURCES)))
def test_source_outside_the_adapter_uses_none_of_the_platforms_names(path: pathlib.Path) -> None:
    text = path.read_text("utf-8")
    assert WORDS.findall(text) == []
    assert "cassiawalk.platform" not in text


def test_adapter_is_small() -> None:
    lines = sum(len(path.read_text("utf-8").splitlines()) for path in _adapter_files())
    whole = sum(len(path.read_text("utf-8").splitlines()) for path in SOURCES.rglob("*.py"))
    assert lines < whole / 10


def _adapter_files() -> list[pathlib.Path]:
    return sorted((SOURCES / "platform").rglob("*.py"))
