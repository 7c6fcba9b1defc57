"""HTTP client for one address that returns complete answers."""

import asyncio
import collections.abc as cabc
import dataclasses
import math

from cassiawalk.http1.answerevents import AnswerBroken
from cassiawalk.http1.answerevents import AnswerData
from cassiawalk.http1.answerevents import AnswerEnd
from cassiawalk.http1.answerevents import AnswerHead
from cassiawalk.http1.connection import UpstreamConnection
from cassiawalk.http1.framing import Ending
from cassiawalk.http1.heads import Headers
from cassiawalk.http1.heads import header_value
from cassiawalk.http1.pool import ConnectError
from cassiawalk.http1.pool import ConnectionPool


@dataclasses.dataclass(frozen=True, kw_only=True)
class CompleteAnswer:
    """An answer that was received completely."""

    status: int
    body: bytes
    headers: Headers = ()

    def header(self, name: bytes) -> bytes | None:
        """Return the value of a header, given by its lower-case name, or None if it is missing."""
        return header_value(self.headers, name)


MAX_ANSWER_BYTES = 16 * 1024 * 1024  # of a body; the store's longest answers are far shorter


class CallError(Exception):
    """A call without a complete answer; if ``sent`` is True, the server may have carried it out.

    ``refused`` is True if nothing listens at the address, and ``silent`` if the server accepted the
    connection, and kept it without an answer in time.
    """

    def __init__(
        self, reason: str, *, sent: bool, refused: bool = False, silent: bool = False
    ) -> None:
        super().__init__(reason)
        self.sent = sent
        self.refused = refused
        self.silent = silent


class HttpClient:
    """Calls one address over pooled connections; a connection on which a call failed is closed.

    :param address: ``ip:port``, also sent as the Host header.
    :param max_idle_s: see ``ConnectionPool``; 0 where an answer can't be told from a late copy of
        the one before.
    """

    def __init__(self, *, address: str, max_idle_s: float = math.inf) -> None:
        self._max_idle_s = max_idle_s
        self._pool = ConnectionPool(address=address, max_idle_s=max_idle_s)
        self._host = (b"Host", address.encode())
        self.calls = 0

    async def call(
        self,
        method: str,
        target: str,
        *,
        headers: Headers = (),
        body: bytes = b"",
        timeout_s: float,
        may_send: cabc.Callable[[], bool] = lambda: True,
        is_own: cabc.Callable[[CompleteAnswer], bool] = lambda _: True,
    ) -> CompleteAnswer:
        """Return the answer.

        :param timeout_s: limit for the whole call, connecting included, in seconds.
        :param may_send: returns whether the call may be sent; asked when a connection is there.
        :param is_own: returns whether an answer can be that of this call.
        :raises CallError: if no complete answer of its own arrived in time, or the call may not be
            sent.
        """
        self.calls += 1
        conn: UpstreamConnection | None = None
        pool = self._pool
        try:
            async with asyncio.timeout(timeout_s):
                conn = await pool.acquire(timeout_s=timeout_s)
                if not may_send():
                    raise CallError("it may no longer be sent", sent=False)
                self._send(conn, method, target, headers, body)
                answer = await _read_answer(conn)
            if not is_own(answer):
                conn.close()
                raise CallError("it got the answer to another call", sent=True)
            return answer
        except ConnectError as exc:
            raise CallError(str(exc), sent=False, refused=exc.refused) from None
        except TimeoutError:
            sent = conn is not None
            raise CallError(f"no answer in {timeout_s:g} s", sent=sent, silent=sent) from None
        finally:
            if conn is not None:
                pool.release(conn)

    def set_address(self, address: str) -> None:
        """Use another address for later calls; calls in flight finish at the old one."""
        self._pool.close()
        self._pool = ConnectionPool(address=address, max_idle_s=self._max_idle_s)
        self._host = (b"Host", address.encode())

    def close(self) -> None:
        """Close idle connections; those in use are closed after their call."""
        self._pool.close()

    def _send(
        self, conn: UpstreamConnection, method: str, target: str, headers: Headers, body: bytes
    ) -> None:
        head = [self._host, *headers]
        if body or method != "GET":
            head.append((b"Content-Length", str(len(body)).encode()))
        conn.send(
            method=method.encode(),
            target=target.encode(),
            headers=head,
            body=body,
            is_foreign=lambda _: False,
        )


async def _read_answer(conn: UpstreamConnection) -> CompleteAnswer:
    head = await conn.next_event()
    if isinstance(head, AnswerBroken):
        raise CallError(head.reason, sent=True)
    assert isinstance(head, AnswerHead)
    parts: list[bytes] = []
    size = 0
    event = await conn.next_event()
    while isinstance(event, AnswerData):
        size += len(event.data)
        if size > MAX_ANSWER_BYTES:
            raise CallError(f"the answer is longer than {MAX_ANSWER_BYTES} bytes", sent=True)
        parts.append(event.data)
        event = await conn.next_event()
    if isinstance(event, AnswerBroken):
        raise CallError(event.reason, sent=True)
    assert isinstance(event, AnswerEnd)
    if event.ending is Ending.CLOSED and not await conn.has_taken_request():
        raise CallError("the connection was reset after the end of its stream", sent=True)
    return CompleteAnswer(status=head.status, body=b"".join(parts), headers=head.headers)
