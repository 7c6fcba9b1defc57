"""Socket options with which the kernel finds broken network paths."""

import socket

from cassiawalk.sockets import HasOptions

KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 3
UNACKED_TIMEOUT_MS = 3000  # for data that the upstream does not acknowledge


def enable_keepalive(sock: socket.socket) -> None:
    """Make the kernel close the connection when its peer stops responding, in use or idle."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    set_unacked_limit(sock, limited=True)


def set_unacked_limit(sock: HasOptions, *, limited: bool) -> None:
    """Make the kernel close the connection while sent data is not taken for long, or not."""
    limit_ms = UNACKED_TIMEOUT_MS if limited else 0
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, limit_ms)
