"""Operators with their roles and tokens."""

import dataclasses
import enum
import hmac

from cassiawalk.errors import CassiawalkError


class Role(enum.Enum):
    """The rights of an operator; ``WRITE`` includes ``READ``."""

    READ = "read"
    WRITE = "write"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Operator:
    """An operator, identified by a bearer token."""

    name: str
    role: Role
    token: str = dataclasses.field(repr=False)


class Operators:
    """The operators of the operator tokens secret.

    :param text: the secret: one operator a line, with name, role and token separated by spaces.
    :raises CassiawalkError: if a line is malformed.
    """

    def __init__(self, *, text: str) -> None:
        self._operators = [_parse_line(line) for line in text.splitlines() if line.strip()]

    def authenticate(self, token: str) -> Operator | None:
        """Return the operator with this token, or None.

        The token is compared with all known ones, each in constant time.
        """
        found = None
        for operator in self._operators:
            if hmac.compare_digest(operator.token.encode(), token.encode()):
                found = operator
        return found


def _parse_line(line: str) -> Operator:
    parts = line.split()
    if len(parts) != 3 or parts[1] not in [role.value for role in Role]:
        raise CassiawalkError(
            "a line of the operator tokens must hold a name, a role (read or write) and a token"
        )
    return Operator(name=parts[0], role=Role(parts[1]), token=parts[2])
