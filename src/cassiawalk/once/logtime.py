"""The time that the records of a stream prove."""

import dataclasses

from cassiawalk.ids import HostId


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Stamp:
    """The latest time that a host wrote into the stream, in wall-clock seconds."""

    host: HostId
    at_s: float


class LogTime:
    """The second-latest of the hosts' stamps.

    Every reader of a stream derives the same time, and one host whose clock is ahead can't move
    it. With the stamps of fewer than two hosts the time stays at zero.
    """

    def __init__(self, *, stamps: tuple[Stamp, ...] = ()) -> None:
        self._latest: Stamp | None = None
        self._second: Stamp | None = None
        for stamp in stamps:
            self.observe(stamp)

    @property
    def now_s(self) -> float:
        """Return the proven time in wall-clock seconds."""
        return 0.0 if self._second is None else self._second.at_s

    @property
    def stamps(self) -> tuple[Stamp, ...]:
        """Return the stamps that the time rests on."""
        return tuple(stamp for stamp in (self._latest, self._second) if stamp is not None)

    def observe(self, stamp: Stamp) -> None:
        """Take a host's stamp into account."""
        latest = self._latest
        if latest is None:
            self._latest = stamp
        elif stamp.host == latest.host:
            self._latest = max(latest, stamp, key=lambda item: item.at_s)
        elif stamp.at_s > latest.at_s:
            self._latest, self._second = stamp, latest
        elif self._second is None or stamp.at_s > self._second.at_s:
            self._second = stamp
