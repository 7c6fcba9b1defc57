"""Publishes operators' changes of the configuration."""

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

IN_FORCE_TIMEOUT_S = 10.0
IN_FORCE_POLL_INTERVAL_S = 0.1


@dataclasses.dataclass(frozen=True, kw_only=True)
class InForceStatus:
    """Whether all live hosts have confirmed a revision, and which have not."""

    everywhere: bool
    not_confirmed: list[HostId]


class ChangeService:
    """Publishes changes and waits until they are in force on all live hosts."""

    def __init__(
        self, *, publisher: CommandPublisher, confirmations: Confirmations, clock: Clock
    ) -> None:
        self._publisher = publisher
        self._confirmations = confirmations
        self._clock = clock

    async def publish(
        self, change: Change, statement: str, operator: Operator, command_id: CommandId
    ) -> CommandOutcome:
        """Publish a change as a command and return its outcome.

        :param statement: text of the statement, stored with the command.
        """
        command = Command(
            command_id=command_id,
            operator=operator.name,
            operations=(change.operation,),
            statement=statement,
            issued_s=self._clock.wall(),
            expected=change.expected,
        )
        return await self._publisher.publish(command)

    async def wait_in_force(self, outcome: CommandOutcome) -> InForceStatus | None:
        """Wait until an accepted command is in force on all live hosts.

        Returns the state of the confirmations after ``IN_FORCE_TIMEOUT_S`` at the latest. If the
        command was not accepted, returns None at once.
        """
        if outcome.code is not ResultCode.COMMAND_ACCEPTED or outcome.revision is None:
            return None
        deadline = self._clock.monotonic() + IN_FORCE_TIMEOUT_S
        while True:
            unconfirmed_hosts = (await self._confirmations.collect(outcome.revision)).unconfirmed
            if not unconfirmed_hosts or self._clock.monotonic() > deadline:
                return InForceStatus(
                    everywhere=not unconfirmed_hosts, not_confirmed=list(unconfirmed_hosts)
                )
            await asyncio.sleep(IN_FORCE_POLL_INTERVAL_S)
