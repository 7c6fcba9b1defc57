import pytest

from cassiawalk.admin import StatementError
from cassiawalk.admin import parse_statement
from cassiawalk.admin.query import evaluate
from cassiawalk.admin.query import merge
from cassiawalk.admin.statements import Change
from cassiawalk.admin.statements import Comparison
from cassiawalk.admin.statements import Condition
from cassiawalk.admin.statements import Count
from cassiawalk.admin.statements import Show
from cassiawalk.admin.statements import ShowCommand
from cassiawalk.admin.statements import ShowConfig
from cassiawalk.control import ObjectType
from cassiawalk.control import Operation
from cassiawalk.control import Verb
from cassiawalk.ids import CommandId
from cassiawalk.ids import Revision


def change(verb: Verb, object_type: ObjectType, name: str, **fields: object) -> Operation:
    return Operation(verb=verb, object_type=object_type, name=name, fields=fields)


@pytest.mark.parametrize(
    ("text", "statement"),
    [
        (
            'create kind beds/bed-hold with mode = at_most_once, deadline_s = 8.5, path = "/h"',
            Change(
                operation=change(
                    Verb.CREATE,
                    ObjectType.KIND,
                    "beds/bed-hold",
                    mode="at_most_once",
                    deadline_s=8.5,
                    path="/h",
                )
            ),
        ),
        (
            "set pool models with checks_fencing = false at revision 118",
            Change(
                operation=change(Verb.SET, ObjectType.POOL, "models", checks_fencing=False),
                expected=Revision(118),
            ),
        ),
        (
            "remove service created at revision 3",
            Change(
                operation=change(Verb.REMOVE, ObjectType.SERVICE, "created"),
                expected=Revision(3),
            ),
        ),
        (
            'drain upstream engine-3 because "disk errors"',
            Change(operation=change(Verb.PUT, ObjectType.DRAIN, "engine-3", reason="disk errors")),
        ),
        (
            "lift quarantine 0f3a",
            Change(operation=change(Verb.REMOVE, ObjectType.QUARANTINE, "0f3a")),
        ),
        (
            'show requests where kind = "bed-hold" and state = waiting and age > 5s limit 20',
            Show(
                subject="requests",
                conditions=(
                    Condition(column="kind", comparison=Comparison.EQUAL, value="bed-hold"),
                    Condition(column="state", comparison=Comparison.EQUAL, value="waiting"),
                    Condition(column="age", comparison=Comparison.GREATER, value=5.0),
                ),
                limit=20,
            ),
        ),
        (
            "count refused by workspace, code last 10m",
            Count(subject="refused", by=("workspace", "code"), last_s=600.0),
        ),
        ("show config at 118", ShowConfig(revision=Revision(118))),
        ("show config", ShowConfig()),
        ("show command 01a2-b", ShowCommand(command_id=CommandId("01a2-b"))),
    ],
)
def test_statements_are_parsed(text: str, statement: object) -> None:
    assert parse_statement(text) == statement


@pytest.mark.parametrize(
    ("text", "column", "expected"),
    [
        ("shwo nodes", 1, "show"),
        ("show machines", 6, "upstreams"),
        ("create kind", 12, "a name"),
        ("show requests where colour = red", 21, "workspace"),
        ("count refused by colour", 18, "workspace"),
        ("create pool a with type", 24, "="),
        ("show nodes where host ~ a", 23, "!="),
        ("show requests last soon", 20, "a time such as 30s or 10m"),
    ],
)
def test_syntax_errors_point_at_the_column(text: str, column: int, expected: str) -> None:
    with pytest.raises(StatementError) as caught:
        parse_statement(text)
    lines = caught.value.format_message().splitlines()
    assert caught.value.column == column
    assert lines[1] == " " * (column - 1) + "^"
    assert expected in lines[2]


def test_counts_of_two_hosts_are_summed() -> None:
    query = parse_statement("count requests by kind where age >= 2")
    assert isinstance(query, Count)
    first = evaluate(query, [{"kind": "hold", "age": 3}, {"kind": "hold", "age": 1}])
    second = evaluate(query, [{"kind": "hold", "age": 2.5}, {"kind": "list", "age": 9}])
    assert merge(query, [first, second]) == [
        {"kind": "hold", "count": 2},
        {"kind": "list", "count": 1},
    ]
