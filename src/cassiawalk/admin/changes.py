"""Carries out operators' changes."""

import asyncio
import dataclasses

from cassiawalk.admin.operators import Operator
from cassiawalk.admin.statements import Change
from cassiawalk.clock import Clock
from cassiawalk.control import Command
from cassiawalk.control import CommandPublisher
from cassiawalk.control import Confirmations
from cassiawalk.control.publisher import CommandOutcome
from cassiawalk.ids import CommandId
from cassiawalk.ids import HostId
from cassiawalk.results import ResultCode

FORCE_WAIT_S = 10.0
FORCE_POLL_S = 0.1


@dataclasses.dataclass(frozen=True, kw_only=True)
class InForce:
    """Whether all live hosts have a revision, and which have not confirmed it."""

    everywhere: bool
    not_confirmed: list[HostId]


class ChangeService:
    """Publishes changes and waits until they are in force."""

    def __init__(
        self, *, publisher: CommandPublisher, confirmations: Confirmations, clock: Clock
    ) -> None:
        self._publisher = publisher
        self._confirmations = confirmations
        self._clock = clock

    async def publish(
        self, change: Change, text: str, operator: Operator, command_id: CommandId
    ) -> CommandOutcome:
        """Return how the command was decided."""
        command = Command(
            command_id=command_id,
            operator=operator.name,
            operations=(change.operation,),
            statement=text,
            issued_s=self._clock.wall(),
            expected=change.expected,
        )
        return await self._publisher.publish(command)

    async def wait_in_force(self, outcome: CommandOutcome) -> InForce | None:
        """Return once an accepted command is in force everywhere, or after ``FORCE_WAIT_S``."""
        if outcome.code is not ResultCode.COMMAND_ACCEPTED or outcome.revision is None:
            return None
        give_up_at = self._clock.monotonic() + FORCE_WAIT_S
        while True:
            missing = (await self._confirmations.collect(outcome.revision)).unconfirmed
            if not missing or self._clock.monotonic() > give_up_at:
                return InForce(everywhere=not missing, not_confirmed=list(missing))
            await asyncio.sleep(FORCE_POLL_S)
