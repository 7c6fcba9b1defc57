"""Exit statuses and errors of the command-line tool."""

import enum

from cassiawalk.errors import CassiawalkError


class ExitStatus(enum.IntEnum):
    """Exit status of the command-line tool."""

    OK = 0
    REFUSED = 1
    USAGE = 2
    UNREACHABLE = 3
    UNKNOWN = 4


class UnreachableError(CassiawalkError):
    """The host did not answer."""
