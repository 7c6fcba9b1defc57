"""How many bytes a listener's connections hold of requests that wait and responses not taken."""

import collections.abc as cabc


class BufferedBytes:
    """The sum over all connections of a listener.

    :param max_bytes: returns the limit in force.
    """

    def __init__(self, *, max_bytes: cabc.Callable[[], int]) -> None:
        self._max_bytes = max_bytes
        self.held = 0

    @property
    def is_full(self) -> bool:
        """Return whether the limit is reached."""
        return self.held >= self._max_bytes()


class BufferedShare:
    """What one part of one connection adds to the sum."""

    def __init__(self, *, total: BufferedBytes) -> None:
        self._total = total
        self._bytes = 0

    def set(self, size: int) -> None:
        """Set how many bytes this part holds."""
        self._total.held += size - self._bytes
        self._bytes = size
