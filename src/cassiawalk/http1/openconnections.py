"""The open connections of a listener, and which of them make room for a newer one."""

import abc
import collections.abc as cabc
import enum
import time
import typing as t

from cassiawalk.http1.connectionlimits import Closure
from cassiawalk.http1.connectionlimits import ClosureListener

# A request may be on its way on a connection that was opened or answered just now.
MIN_WAIT_S = 0.5
MIN_BODY_WAIT_S = 2.0  # large bodies take this long also without a fault


class Waiting(enum.IntEnum):
    """What a connection waits for; the first ones are closed first to make room."""

    END = 0  # its last response has been written
    FIRST_REQUEST = 1
    REQUEST = 2
    HEAD = 3  # the rest of a head
    BODY = 4  # the rest of a body
    CLIENT = 5  # a client that has to take the responses before the next request is begun


class Replaceable(abc.ABC):
    """A connection as its listener sees it."""

    @abc.abstractmethod
    def make_room(self) -> None:
        """End the connection; its request, if one has begun to arrive, has not run."""

    @abc.abstractmethod
    def abort(self) -> None:
        """Reset the connection, whatever is under way on it."""


_C = t.TypeVar("_C", bound=Replaceable)


class OpenConnections(t.Generic[_C]):
    """Keeps connections by what they wait for, those that have waited longest first.

    A connection whose request is being handled waits for nothing and is not closed.

    :param max_connections: returns the limit in force.
    :param on_closed: called for each connection that was closed or refused.
    """

    def __init__(
        self, *, max_connections: cabc.Callable[[], int], on_closed: ClosureListener
    ) -> None:
        self._max_connections = max_connections
        self._on_closed = on_closed
        self.all: set[_C] = set()
        self._waiting: dict[Waiting, dict[_C, float]] = {kind: {} for kind in Waiting}
        self._kinds: dict[_C, Waiting] = {}
        self._stalled: dict[_C, None] = {}

    def admit(self, conn: _C) -> bool:
        """Add a connection; return False if it must be refused."""
        if len(self.all) >= self._max_connections() and not self._make_room():
            self._on_closed(Closure.REFUSED)
            return False
        self.all.add(conn)
        return True

    def remove(self, conn: _C) -> None:
        """Forget a connection."""
        self.all.discard(conn)
        self._stalled.pop(conn, None)
        self.set_waiting(conn, None)

    def set_waiting(self, conn: _C, kind: Waiting | None) -> None:
        """Note what a connection waits for from now on, or that it waits for nothing.

        A part of a head or a body does not begin the wait for the rest anew.
        """
        if kind in (Waiting.HEAD, Waiting.BODY) and self._kinds.get(conn) is kind:
            return
        former = self._kinds.pop(conn, None)
        if former is not None:
            del self._waiting[former][conn]
        if kind is not None and conn in self.all:
            self._kinds[conn] = kind
            self._waiting[kind][conn] = time.monotonic()

    def set_stalled(self, conn: _C, stalled: bool) -> None:
        """Note whether the client of a connection is behind with taking what was written."""
        if stalled:
            self._stalled.setdefault(conn)
        else:
            self._stalled.pop(conn, None)

    def longest_stalled(self) -> _C | None:
        """Return the connection whose client has been behind for the longest time."""
        return next(iter(self._stalled), None)

    def _make_room(self) -> bool:
        now = time.monotonic()
        for kind, waiting in self._waiting.items():
            conn = next(iter(waiting), None)
            if conn is not None and now - waiting[conn] >= _min_wait_s(kind):
                self.remove(conn)
                conn.make_room()
                self._on_closed(Closure.REPLACED)
                return True
        return False


def _min_wait_s(kind: Waiting) -> float:
    if kind is Waiting.END:
        return 0.0
    return MIN_BODY_WAIT_S if kind is Waiting.BODY else MIN_WAIT_S
