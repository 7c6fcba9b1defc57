"""Quarantines that operators manage beside those that hosts tell each other."""

import abc

from cassiawalk.ids import Fingerprint


class QuarantinePublisher(abc.ABC):
    """Writes quarantines to the configuration and reads them from it."""

    @abc.abstractmethod
    async def publish(self, fingerprint: Fingerprint, *, until_s: float, reason: str) -> None:
        """Record a quarantine; return once it is recorded or has expired.

        :param until_s: the quarantine's end in wall-clock seconds.
        :param reason: text shown to operators.
        """

    @abc.abstractmethod
    def until_s(self, fingerprint: Fingerprint) -> float | None:
        """Return a quarantine's end in wall-clock seconds, or None if none was ever recorded.

        The end is 0 for a quarantine that an operator removed.
        """

    @abc.abstractmethod
    def is_empty(self) -> bool:
        """Return whether the configuration has no quarantine."""


class SharedNotesOnly(QuarantinePublisher):
    """For a configuration without quarantines: they exist only as notes of the hosts."""

    async def publish(self, fingerprint: Fingerprint, *, until_s: float, reason: str) -> None:
        """Do nothing: the note has been shared already."""

    def until_s(self, fingerprint: Fingerprint) -> float | None:
        """Return None: no quarantine is in the configuration."""
        return None

    def is_empty(self) -> bool:
        """Return True: no quarantine is in the configuration."""
        return True
