"""Appends operators' commands and reports how the fold decided them."""

import asyncio
import collections.abc as cabc
import dataclasses

from cassiawalk.clock import Clock
from cassiawalk.control.commands import CONTROL_STREAM
from cassiawalk.control.commands import Command
from cassiawalk.control.commands import records
from cassiawalk.control.follower import ControlFollower
from cassiawalk.control.state import CommandVerdict
from cassiawalk.control.state import Verdict
from cassiawalk.ids import CommandId
from cassiawalk.ids import Revision
from cassiawalk.platform import AppendRefused
from cassiawalk.platform import LogService
from cassiawalk.results import Execution
from cassiawalk.results import ResultCode

VERDICT_WAIT_S = 5.0

_CODES: cabc.Mapping[Verdict, ResultCode] = {
    Verdict.ACCEPTED: ResultCode.COMMAND_ACCEPTED,
    Verdict.CONFLICT: ResultCode.COMMAND_CONFLICT,
    Verdict.REJECTED: ResultCode.COMMAND_REJECTED,
}


@dataclasses.dataclass(frozen=True, kw_only=True)
class CommandOutcome:
    """What an operator is told about a command."""

    code: ResultCode
    command_id: CommandId
    detail: str
    revision: Revision | None = None
    ran: Execution = Execution.RAN


class CommandPublisher:
    """Publishes commands from this host."""

    def __init__(self, *, log: LogService, follower: ControlFollower, clock: Clock) -> None:
        self._log = log
        self._follower = follower
        self._clock = clock

    async def publish(self, command: Command) -> CommandOutcome:
        """Append the command and return its verdict once this host has folded it."""
        appended = await self._log.append(stream=CONTROL_STREAM, payload=records.encode([command]))
        if isinstance(appended, AppendRefused):
            return CommandOutcome(
                code=ResultCode.LOG_UNAVAILABLE,
                command_id=command.command_id,
                detail=appended.reason,
                ran=Execution.NOT_RUN,
            )
        verdict = await self._verdict(command.command_id)
        if verdict is None:
            return CommandOutcome(
                code=ResultCode.COMMAND_UNKNOWN,
                command_id=command.command_id,
                detail=f"ask again with: show command {command.command_id}",
                ran=Execution.UNKNOWN,
            )
        return outcome_of(command.command_id, verdict)

    async def _verdict(self, command_id: CommandId) -> CommandVerdict | None:
        try:
            async with asyncio.timeout(VERDICT_WAIT_S):
                state = await self._follower.wait_for(lambda s: command_id in s.verdicts)
        except TimeoutError:
            return None
        return state.verdicts[command_id]


def outcome_of(command_id: CommandId, verdict: CommandVerdict) -> CommandOutcome:
    """Return what an operator is told about a decided command."""
    accepted = verdict.verdict is Verdict.ACCEPTED
    return CommandOutcome(
        code=_CODES[verdict.verdict],
        command_id=command_id,
        detail=verdict.detail or f"accepted at revision {verdict.revision}",
        revision=verdict.revision,
        ran=Execution.RAN if accepted else Execution.NOT_RUN,
    )
