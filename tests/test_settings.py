import pathlib

import pytest

from cassiawalk.daemon import EXIT_OK
from cassiawalk.daemon import EXIT_USAGE
from cassiawalk.daemon import main
from cassiawalk.errors import CassiawalkError
from cassiawalk.settings import SettingsError
from cassiawalk.settings import load_settings
from cassiawalk.settings import read_secret
from tests.cli_runner import CliRunner

GOOD = """\
[host]
id = kolkata-1
failure_domain = kolkata
caller_address = 127.0.0.1:0
peer_address = 127.0.0.1:0
admin_address = [::1]:0
[platform]
log_url = http://127.0.0.1:1/
host_list_url = http://127.0.0.1:1
cloud_url = http://127.0.0.1:1
[secrets]
peer_secret = env:CASSIAWALK_TEST_PEER
operator_tokens = file:tokens
"""


def write(tmp_path: pathlib.Path, text: str) -> pathlib.Path:
    path = tmp_path / "host.ini"
    path.write_text(text)
    return path


def test_complete_settings_are_parsed(tmp_path: pathlib.Path) -> None:
    cfg = load_settings(write(tmp_path, GOOD))
    assert (cfg.host_id, cfg.failure_domain, cfg.region) == ("kolkata-1", "kolkata", "default")
    assert str(cfg.admin_address) == "::1:0"
    assert cfg.log_url == "http://127.0.0.1:1"
    assert cfg.drain_limit_s == 120


@pytest.mark.parametrize(
    ("change", "fault"),
    [
        (("id = kolkata-1", "id = kolkata 1"), "[host] id has the value 'kolkata 1'"),
        (("id = kolkata-1\n", ""), "[host] id is missing"),
        (("caller_address = 127.0.0.1:0", "caller_address = localhost"), "an IP number"),
        (("caller_address = 127.0.0.1:0", "caller_address = 1.2.3.4:99999"), "'1.2.3.4:99999'"),
        (("log_url = http://127.0.0.1:1/", "log_url = ftp://x"), "[platform] log_url"),
        (("env:CASSIAWALK_TEST_PEER", "secret"), "file:PATH or env:NAME"),
        (("[secrets]", "[once]\nwindow_s = -1\n[secrets]"), "from 60 to 86400 (seconds)"),
        (("[secrets]", "[once]\nwindow_s = 0\n[secrets]"), "from 60 to 86400 (seconds)"),
        (("[secrets]", "[drain]\nlimit_s = -1\n[secrets]"), "from 0 to 86400 (seconds)"),
        (("[secrets]", "[host2]\nid = 3\n[secrets]"), "[host2] id"),
        (("[secrets]", "[secret"), "[file] path"),
    ],
)
def test_each_fault_is_named(tmp_path: pathlib.Path, change: tuple[str, str], fault: str) -> None:
    with pytest.raises(SettingsError) as caught:
        load_settings(write(tmp_path, GOOD.replace(*change)))
    assert fault in caught.value.format_message()


def test_all_faults_are_named_at_once(tmp_path: pathlib.Path) -> None:
    text = GOOD.replace("id = kolkata-1\n", "").replace("127.0.0.1:0", "here")
    with pytest.raises(SettingsError) as caught:
        load_settings(write(tmp_path, text))
    assert [fault.key for fault in caught.value.faults] == ["id", "caller_address", "peer_address"]


def test_check_settings_sets_the_exit_status(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    runner = CliRunner(capsys)
    good = runner.run(main, "--check-settings", str(write(tmp_path, GOOD)))
    assert (good.status, "complete and valid" in good.out) == (EXIT_OK, True)
    bad = runner.run(main, "--check-settings", str(write(tmp_path, "[host]\n")))
    assert (bad.status, "12 fault(s)" in bad.err) == (EXIT_USAGE, False)
    assert "[platform] log_url is missing" in bad.err
    absent = runner.run(main, "--check-settings", str(tmp_path / "absent.ini"))
    assert absent.status == EXIT_USAGE


def test_a_secret_that_is_absent_is_not_printed(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setenv("CASSIAWALK_TEST_PEER", " s3cret \n")
    assert read_secret("env:CASSIAWALK_TEST_PEER") == "s3cret"
    (tmp_path / "empty").write_text("\n")
    for source in (
        "env:CASSIAWALK_TEST_ABSENT",
        f"file:{tmp_path}/absent",
        f"file:{tmp_path}/empty",
    ):
        with pytest.raises(CassiawalkError, match="secret"):
            read_secret(source)
