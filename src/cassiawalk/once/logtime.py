"""Log time: a clock that is derived from the records of a stream."""

import dataclasses

from cassiawalk.ids import HostId


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Stamp:
    """The latest timestamp that a host wrote into the stream, in wall-clock seconds."""

    host: HostId
    at_s: float


class LogTime:
    """The second-latest of the hosts' latest timestamps.

    All readers of a stream derive the same time, and a single host whose clock is ahead can't
    advance it. The time is 0 until two hosts have written a timestamp.
    """

    def __init__(self, *, stamps: tuple[Stamp, ...] = ()) -> None:
        self._latest: Stamp | None = None
        self._second: Stamp | None = None
        for stamp in stamps:
            self.observe(stamp)

    @property
    def now_s(self) -> float:
        """Return the log time in wall-clock seconds."""
        return 0.0 if self._second is None else self._second.at_s

    @property
    def stamps(self) -> tuple[Stamp, ...]:
        """Return the timestamps that determine the log time."""
        return tuple(stamp for stamp in (self._latest, self._second) if stamp is not None)

    def observe(self, stamp: Stamp) -> None:
        """Update the log time with a host's timestamp."""
        latest = self._latest
        if latest is None:
            self._latest = stamp
        elif stamp.host == latest.host:
            self._latest = max(latest, stamp, key=lambda item: item.at_s)
        elif stamp.at_s > latest.at_s:
            self._latest, self._second = stamp, latest
        elif self._second is None or stamp.at_s > self._second.at_s:
            self._second = stamp
