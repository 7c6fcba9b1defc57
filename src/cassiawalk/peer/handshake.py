"""Connections between hosts that end if their handshake does not.

The library reads on, and discards, what follows a handshake that has failed.
"""

from websockets.asyncio.client import ClientConnection
from websockets.asyncio.connection import Connection
from websockets.asyncio.server import ServerConnection
from websockets.protocol import State

MAX_HANDSHAKE_BYTES = 65536


class _BoundedHandshake(Connection):
    """Aborts once more bytes have come than any handshake has."""

    _handshake_bytes = 0

    def data_received(self, data: bytes) -> None:
        """Take bytes of the handshake or of frames."""
        if self.protocol.state is State.CONNECTING:
            self._handshake_bytes += len(data)
            if self._handshake_bytes > MAX_HANDSHAKE_BYTES:
                self.transport.abort()
                return
        super().data_received(data)


class BoundedClientConnection(_BoundedHandshake, ClientConnection):
    """A connection to another host."""


class BoundedServerConnection(_BoundedHandshake, ServerConnection):
    """A connection of another host."""
