"""Bodies of callers' requests as they arrive, and how many bytes of them a host holds."""

import collections.abc as cabc

from cassiawalk.http1 import heads

MAX_HELD_BYTES = 48 * 1024 * 1024  # of all requests; some parts are held twice
SMALL_BODY_BYTES = 65536  # taken also while large ones fill the room
SMALL_RESERVE_BYTES = 16 * 1024 * 1024  # that only small bodies may use
# A body may take this long, however slowly it comes, and then has to have come at this rate. The
# time-out between two parts alone would let it hold its room for days.
SLOW_BODY_S = 60.0
MIN_BODY_BYTES_PER_S = 1024
# Bodies in smaller parts than this cost more than 0.3 us for each byte. Several at once are
# refused: parsing them slowly would hold their connections for minutes, also if the clients leave.
SMALL_PART_BYTES = 64
MANY_PARTS = 500


class HeldBodies:
    """The bytes of bodies that a listener's connections hold until their requests are answered."""

    def __init__(self) -> None:
        self._bytes = 0

    def may_hold(self, more_bytes: int, *, small: bool = False) -> bool:
        """Return whether there is room for more bytes, of a small body or any."""
        room = MAX_HELD_BYTES + (SMALL_RESERVE_BYTES if small else 0)
        return self._bytes + more_bytes <= room

    def note(self, more_bytes: int) -> None:
        """Count bytes that are held from now on, or no more if negative."""
        self._bytes += more_bytes


class RequestBody:
    """The body of the request that a connection receives or answers.

    :param held: counts the bytes until ``release``.
    :param max_bytes: returns the limit in force for one body.
    """

    def __init__(self, *, held: HeldBodies, max_bytes: cabc.Callable[[], int]) -> None:
        self._held = held
        self._max_bytes = max_bytes
        self._data = bytearray()  # parts may have one byte each
        self._held_bytes = 0
        self._begun_at = 0.0
        self._parts = 0

    def begin(self, now: float) -> None:
        """Expect a body from now on."""
        self._begun_at = now
        self._parts = 0

    @property
    def has_small_parts(self) -> bool:
        """Return whether the body has come in many small parts so far."""
        return self._parts > max(MANY_PARTS, len(self._data) / SMALL_PART_BYTES)

    def time_left_s(self, now: float) -> float:
        """Return for how long the body may go on to arrive at less than the lowest rate."""
        return self._begun_at + SLOW_BODY_S + len(self._data) / MIN_BODY_BYTES_PER_S - now

    def check_announced(self, length: int) -> None:
        """Refuse a body whose head announces more than may be taken.

        :raises HeadError: with the status of the refusal.
        """
        self._check_limit(length)
        self._check_room(length, length)

    def add(self, data: bytes) -> None:
        """Add a part that has arrived.

        :raises HeadError: if the body is longer than may be taken.
        """
        total = len(self._data) + len(data)
        self._check_limit(total)
        self._check_room(total, len(data))
        self._data += data
        self._parts += 1
        self._held_bytes += len(data)
        self._held.note(len(data))

    def take(self) -> bytes:
        """Return the whole body; its bytes count as held until ``release``."""
        body = bytes(self._data)
        self._data = bytearray()
        return body

    def release(self) -> None:
        """Drop what has arrived, and count it no more."""
        self._data = bytearray()
        self._held.note(-self._held_bytes)
        self._held_bytes = 0

    def _check_limit(self, length: int) -> None:
        if length > self._max_bytes():
            raise heads.HeadError(413, f"the body is longer than {self._max_bytes()} bytes")

    def _check_room(self, length: int, more_bytes: int) -> None:
        if not self._held.may_hold(more_bytes, small=length <= SMALL_BODY_BYTES):
            raise heads.HeadError(503, "this host has no room for the body now")
