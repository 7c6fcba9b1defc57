"""Listening sockets."""

import socket

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
