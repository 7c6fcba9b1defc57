"""Listening sockets."""

import contextlib
import socket
import struct
import typing as t

from cassiawalk.settings import Address

BACKLOG = 2048


def listen(address: Address) -> socket.socket:
    """Return a non-blocking TCP socket that listens on ``address``.

    :raises OSError: if the address can't be bound.
    """
    family = socket.AF_INET6 if ":" in address.ip else socket.AF_INET
    # asyncio sets TCP_NODELAY only on sockets that were created with an explicit protocol.
    sock = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((address.ip, address.port))
    sock.listen(BACKLOG)
    sock.setblocking(False)
    return sock


def bound_address(sock: socket.socket) -> str:
    """Return a listening socket's address as ``ip:port``."""
    ip, port = sock.getsockname()[:2]
    return f"{ip}:{port}"


def accept_waiting(sock: socket.socket) -> list[socket.socket]:
    """Return the connections in the queue of a listening socket, accepted.

    Closing the socket would reset those that are still there, with what has been sent on them.
    """
    accepted = []
    with contextlib.suppress(OSError):
        while True:
            accepted.append(sock.accept()[0])
    for conn in accepted:
        conn.setblocking(False)
    return accepted


_TCP_CLOSED, _TCP_CLOSE_WAIT = 7, 8  # first byte of TCP_INFO
_RETRANSMISSIONS_OFFSET, _PROBES_OFFSET = 2, 3  # in TCP_INFO, 1 byte each
_LAST_RECEIVED_OFFSET = 52  # of tcpi_last_data_recv in TCP_INFO, 4 bytes, in milliseconds


class HasOptions(t.Protocol):
    """A socket, as far as its options go."""

    def setsockopt(self, level: int, name: int, value: int | bytes, /) -> None:
        """Set an option."""

    def getsockopt(self, level: int, name: int, size: int, /) -> bytes:
        """Return the bytes of an option."""


def has_peer_left(sock: HasOptions) -> bool:
    """Return whether the other side has closed, also while what it sent before is unread.

    Where the system does not tell, it counts as there.
    """
    return _tcp_state(sock) in (_TCP_CLOSED, _TCP_CLOSE_WAIT)


def is_connection_reset(sock: HasOptions) -> bool:
    """Return whether an open socket's connection was reset, also if its stream had ended before.

    Where the system does not tell, it was not.
    """
    return _tcp_state(sock) == _TCP_CLOSED


def _tcp_state(sock: HasOptions) -> int | None:
    try:
        return sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0]
    except OSError:
        return None


def since_received_s(sock: HasOptions) -> float:
    """Return how long ago the last bytes arrived, whether they have been read or not, in seconds.

    Where the system does not tell, it is 0.
    """
    size = _LAST_RECEIVED_OFFSET + 4
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, size)
    except OSError:
        return 0.0
    if len(info) < size:
        return 0.0
    milliseconds: int = struct.unpack_from("=I", info, _LAST_RECEIVED_OFFSET)[0]
    return milliseconds / 1000


def unanswered_segments(sock: HasOptions) -> int | None:
    """Return how many segments or probes in a row were not acknowledged.

    :return: None where the system does not tell.
    """
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _PROBES_OFFSET + 1)
    except OSError:
        return None
    if len(info) <= _PROBES_OFFSET:
        return None
    return max(info[_RETRANSMISSIONS_OFFSET], info[_PROBES_OFFSET])


def set_reset_on_close(sock: HasOptions, enabled: bool = True) -> None:
    """Make any close a reset, also that by the end of this process, or an orderly one again."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", enabled, 0))
