"""Appends commands to the log and returns the verdicts of the fold."""

import asyncio
import collections.abc as cabc
import dataclasses

from cassiawalk.clients import Appended
from cassiawalk.clients import AppendOutcome
from cassiawalk.clients import AppendRefused
from cassiawalk.clients import LogService
from cassiawalk.clock import Clock
from cassiawalk.control.commands import CONTROL_STREAM
from cassiawalk.control.commands import SYSTEM_OPERATOR
from cassiawalk.control.commands import Command
from cassiawalk.control.commands import Operation
from cassiawalk.control.commands import records
from cassiawalk.control.fold import MAX_STATEMENT_CHARS
from cassiawalk.control.fold import is_before_verdict_floor
from cassiawalk.control.follower import ControlFollower
from cassiawalk.control.state import CommandVerdict
from cassiawalk.control.state import ConfigState
from cassiawalk.control.state import Verdict
from cassiawalk.ids import CommandId
from cassiawalk.ids import Revision
from cassiawalk.ids import new_uuid7
from cassiawalk.ids import uuid7_time_s
from cassiawalk.results import Execution
from cassiawalk.results import ResultCode

RATE_LIMIT_WAIT_S = 2.0
RATE_LIMIT_PAUSE_S = 0.5
VERDICT_WAIT_S = 5.0
REAPPEND_WAIT_S = 1.5
MAX_APPENDS = 3
ID_AHEAD_LIMIT_S = 3600.0

_CODES: cabc.Mapping[Verdict, ResultCode] = {
    Verdict.ACCEPTED: ResultCode.COMMAND_ACCEPTED,
    Verdict.CONFLICT: ResultCode.COMMAND_CONFLICT,
    Verdict.REJECTED: ResultCode.COMMAND_REJECTED,
}


@dataclasses.dataclass(frozen=True, kw_only=True)
class CommandOutcome:
    """The result of a command as reported to the operator."""

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
        """Append the command and return its verdict once this host has folded it.

        If the answer to an append is lost and the command doesn't appear in the stream, it is
        appended again. The fold applies a command id only once.
        """
        refused = self._check_id(command)
        if refused is not None:
            return refused
        known = self._follower.state.verdicts.get(command.command_id)
        if known is not None:
            return _decided(command, known)
        payload = records.encode([command])
        for attempt in range(MAX_APPENDS):
            appended = await self._append(payload)
            if isinstance(appended, AppendRefused) and attempt == 0:
                return _not_appended(command, appended)
            is_appended = isinstance(appended, Appended)
            verdict = await self._verdict(
                command, VERDICT_WAIT_S if is_appended else REAPPEND_WAIT_S
            )
            if verdict is not None:
                return _decided(command, verdict)
            if is_appended:
                break
        return _unknown(command)

    async def publish_system(self, operation: Operation, *, reason: str) -> CommandOutcome:
        """Publish one operation on behalf of the system and return its verdict.

        :param reason: kept as the command's statement.
        """
        return await self.publish_operations((operation,), reason=reason)

    async def publish_operations(
        self,
        operations: tuple[Operation, ...],
        *,
        reason: str,
        expected: Revision | None = None,
    ) -> CommandOutcome:
        """Publish operations on behalf of the system as one command and return its verdict.

        :param reason: kept as the command's statement.
        :param expected: the revision at which the objects were read, or None for no check.
        """
        now_s = self._clock.wall()
        command = Command(
            command_id=CommandId(new_uuid7(wall_s=now_s)),
            operator=SYSTEM_OPERATOR,
            operations=operations,
            statement=reason,
            issued_s=now_s,
            expected=expected,
        )
        return await self.publish(command)

    async def _append(self, payload: bytes) -> AppendOutcome:
        """Append a payload, retrying for a short time if the log refuses it by its rate limit.

        A refusal whose retry delay is above ``RATE_LIMIT_PAUSE_S``, as in an outage, is returned at
        once.
        """
        give_up_at = self._clock.monotonic() + RATE_LIMIT_WAIT_S
        while True:
            appended = await self._log.append(stream=CONTROL_STREAM, payload=payload)
            if not isinstance(appended, AppendRefused):
                return appended
            retry_at = self._clock.monotonic() + appended.retry_after_s
            if appended.retry_after_s > RATE_LIMIT_PAUSE_S or retry_at > give_up_at:
                return appended
            await self._clock.sleep(appended.retry_after_s)

    def _check_id(self, command: Command) -> CommandOutcome | None:
        issued_s = uuid7_time_s(command.command_id)
        if issued_s is None:
            return _rejected(command, "the command id must be a version 7 UUID")
        if issued_s > self._clock.wall() + ID_AHEAD_LIMIT_S:
            return _rejected(
                command, f"the command id is over {ID_AHEAD_LIMIT_S:g} s ahead of this host's clock"
            )
        if is_before_verdict_floor(self._follower.state, command.command_id):
            return _rejected(
                command, "the command id is older than the verdicts that are kept; use a new one"
            )
        return None

    async def _verdict(self, command: Command, wait_s: float) -> CommandVerdict | None:
        command_id = command.command_id

        def is_decided(state: ConfigState) -> bool:
            return command_id in state.verdicts or is_before_verdict_floor(state, command_id)

        try:
            async with asyncio.timeout(wait_s):
                state = await self._follower.wait_for(is_decided)
        except TimeoutError:
            return None
        return state.verdicts.get(command_id)


def outcome_of(command_id: CommandId, verdict: CommandVerdict) -> CommandOutcome:
    """Return the result of a decided command as reported to the operator."""
    accepted = verdict.verdict is Verdict.ACCEPTED
    return CommandOutcome(
        code=_CODES[verdict.verdict],
        command_id=command_id,
        detail=verdict.detail or f"accepted at revision {verdict.revision}",
        revision=verdict.revision,
        ran=Execution.RAN if accepted else Execution.NOT_RUN,
    )


def _decided(command: Command, verdict: CommandVerdict) -> CommandOutcome:
    if verdict.statement != command.statement[:MAX_STATEMENT_CHARS]:
        return _rejected(
            command, f"the command id was used before, for: {verdict.statement or 'no statement'}"
        )
    return outcome_of(command.command_id, verdict)


def _rejected(command: Command, detail: str) -> CommandOutcome:
    return CommandOutcome(
        code=ResultCode.COMMAND_REJECTED,
        command_id=command.command_id,
        detail=detail,
        ran=Execution.NOT_RUN,
    )


def _not_appended(command: Command, refused: AppendRefused) -> CommandOutcome:
    return CommandOutcome(
        code=ResultCode.LOG_UNAVAILABLE,
        command_id=command.command_id,
        detail=f"{refused.reason}; retry in {refused.retry_after_s:g} s",
        ran=Execution.NOT_RUN,
    )


def _unknown(command: Command) -> CommandOutcome:
    return CommandOutcome(
        code=ResultCode.COMMAND_UNKNOWN,
        command_id=command.command_id,
        detail=f"check the verdict with: show command {command.command_id}",
        ran=Execution.UNKNOWN,
    )
