"""What a connection of a caller needs of the listener that accepted it."""

import abc
import asyncio
import typing as t

from cassiawalk.http1.bodies import HeldBodies
from cassiawalk.http1.bufferedbytes import BufferedBytes
from cassiawalk.http1.connectionlimits import Closure
from cassiawalk.http1.connectionlimits import ConnectionLimits
from cassiawalk.http1.exchange import CallerLimits
from cassiawalk.http1.exchange import Exchange
from cassiawalk.http1.openconnections import OpenConnections


class ConnectionOwner(abc.ABC):
    """The listener of a connection.

    :param first_request_s: how long a new connection may take during a drain until its first
        request has begun to arrive, in seconds.
    :param draining: whether answers announce the end of their connection.
    :param closing: whether connections end after their answer, also if it did not announce it.
    :param open: the connections that are open.
    :param held_bodies: counts what these hold of bodies.
    :param buffered: counts what these hold of other bytes.
    :param read_buffer: what all connections receive into, one after the other.
    """

    first_request_s: float
    draining: bool
    closing: bool
    open: OpenConnections[t.Any]
    held_bodies: HeldBodies
    buffered: BufferedBytes
    read_buffer: memoryview
    connection_limits: ConnectionLimits

    @property
    @abc.abstractmethod
    def limits(self) -> CallerLimits:
        """Return the limits in force."""

    @abc.abstractmethod
    def start_exchange(self, exchange: Exchange) -> asyncio.Task[None]:
        """Handle a request in a task of its own."""

    @abc.abstractmethod
    def note_closure(self, closure: Closure) -> None:
        """Count and log a connection that was ended."""
