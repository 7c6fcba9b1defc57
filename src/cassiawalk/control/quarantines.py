"""Quarantines in the configuration, where operators manage them."""

import random

from cassiawalk.clock import Clock
from cassiawalk.control import Command
from cassiawalk.control import CommandPublisher
from cassiawalk.control import ControlFollower
from cassiawalk.control import ObjectType
from cassiawalk.control import Operation
from cassiawalk.control import Verb
from cassiawalk.crashes.quarantine import QuarantinePublisher
from cassiawalk.ids import CommandId
from cassiawalk.ids import Fingerprint
from cassiawalk.ids import new_uuid7
from cassiawalk.results import ResultCode

OPERATOR = "system"
MAX_RETRY_DELAY_S = 2.0
_FINAL_CODES = (
    ResultCode.COMMAND_ACCEPTED,
    ResultCode.COMMAND_CONFLICT,
    ResultCode.COMMAND_REJECTED,
)


class ControlQuarantines(QuarantinePublisher):
    """Records quarantines on the ``control`` stream; operators can list, change and remove them."""

    def __init__(
        self,
        *,
        publisher: CommandPublisher,
        follower: ControlFollower,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._publisher = publisher
        self._follower = follower
        self._clock = clock
        self._rng = rng

    async def publish(self, fingerprint: Fingerprint, *, until_s: float, reason: str) -> None:
        """Append the command until the fold has accepted or rejected it, or it has expired."""
        operation = Operation(
            verb=Verb.PUT,
            object_type=ObjectType.QUARANTINE,
            name=fingerprint,
            fields={"until_s": until_s, "reason": reason},
        )
        command = Command(
            command_id=CommandId(new_uuid7()),
            operator=OPERATOR,
            operations=(operation,),
            statement=f"put quarantine {fingerprint}",
            issued_s=self._clock.wall(),
        )
        while self._clock.wall() < until_s:
            outcome = await self._publisher.publish(command)
            if outcome.code in _FINAL_CODES:
                return
            await self._clock.sleep(self._rng.uniform(MAX_RETRY_DELAY_S / 2, MAX_RETRY_DELAY_S))

    def until_s(self, fingerprint: Fingerprint) -> float | None:
        """Return the end of a quarantine in the current configuration; 0 if it was removed."""
        state = self._follower.state
        quarantine = state.quarantines.get(fingerprint)
        if quarantine is not None:
            return quarantine.until_s
        removed = f"{ObjectType.QUARANTINE.value} {fingerprint}" in state.changes
        return 0.0 if removed else None

    def is_empty(self) -> bool:
        """Return whether the current configuration has no quarantine."""
        return not self._follower.state.quarantines
