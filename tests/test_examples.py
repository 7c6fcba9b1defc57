import pathlib

import pytest

import examples
from cassiawalk.admin import parse_statement
from cassiawalk.admin.statements import Change
from cassiawalk.cli.input import read_file
from cassiawalk.control import Command
from cassiawalk.control import ConfigState
from cassiawalk.control import Verdict
from cassiawalk.control import fold
from cassiawalk.ids import CommandId
from cassiawalk.ids import Offset
from cassiawalk.ids import new_uuid7

DIRECTORY = pathlib.Path(examples.__file__).parent
FIRST_ISSUED_S = 1_800_000_000.0


@pytest.mark.parametrize("name", ["shayyasandhan.conf", "mvule.conf"])
def test_every_statement_of_an_example_is_accepted(name: str) -> None:
    state = ConfigState()
    statements = read_file(str(DIRECTORY / name))
    for number, text in enumerate(statements):
        parsed = parse_statement(text)
        assert isinstance(parsed, Change)
        issued_s = FIRST_ISSUED_S + number
        command = Command(
            command_id=CommandId(new_uuid7(wall_s=issued_s)),
            operator="test",
            operations=(parsed.operation,),
            statement=text,
            issued_s=issued_s,
        )
        state = fold(state, Offset(number), [command])
        verdict = state.verdicts[command.command_id]
        assert verdict.verdict is Verdict.ACCEPTED, (text, verdict.detail)
    assert state.revision == len(statements)
