"""Exit statuses and the errors that lead to them."""

import enum

from cassiawalk.errors import CassiawalkError


class ExitStatus(enum.IntEnum):
    """What the tool's exit status says."""

    OK = 0
    REFUSED = 1
    USAGE = 2
    UNREACHABLE = 3
    UNKNOWN = 4


class UnreachableError(CassiawalkError):
    """No answer came from the host."""
