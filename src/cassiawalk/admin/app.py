"""Routes of the operators' HTTP interface."""

import dataclasses
import typing as t

import orjson
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse
from starlette.responses import Response
from starlette.routing import Route

from cassiawalk.admin.changes import ChangeService
from cassiawalk.admin.fanout import QueryService
from cassiawalk.admin.history import ConfigHistory
from cassiawalk.admin.language import StatementError
from cassiawalk.admin.language import parse_statement
from cassiawalk.admin.operators import Operator
from cassiawalk.admin.operators import Operators
from cassiawalk.admin.operators import Role
from cassiawalk.admin.rows import mask_digests
from cassiawalk.admin.statements import Change
from cassiawalk.admin.statements import ShowCommand
from cassiawalk.admin.statements import ShowConfig
from cassiawalk.control import ControlFollower
from cassiawalk.control.publisher import outcome_of
from cassiawalk.ids import CommandId
from cassiawalk.ids import new_uuid7
from cassiawalk.metrics import Metrics
from cassiawalk.results import CODES
from cassiawalk.results import Execution
from cassiawalk.results import ResultCode
from cassiawalk.wire import to_plain

MAX_BODY_BYTES = 16 * 1024


@dataclasses.dataclass(frozen=True, kw_only=True)
class _StatementRequest:
    """The body of a statement request.

    ``wait`` delays the response to a change until it is in force on all live hosts.
    """

    text: str
    command_id: CommandId
    wait: bool


class AdminApp:
    """Serves statements, metrics and a health check to operators."""

    def __init__(
        self,
        *,
        operators: Operators,
        control: ControlFollower,
        changes: ChangeService,
        queries: QueryService,
        history: ConfigHistory,
        metrics: Metrics,
    ) -> None:
        self._operators = operators
        self._control = control
        self._changes = changes
        self._queries = queries
        self._history = history
        self._metrics = metrics

    def asgi(self) -> Starlette:
        """Return the ASGI application."""
        routes = [
            Route("/admin/v1/statements", self.statement, methods=["POST"]),
            Route("/metrics", self.metrics, methods=["GET"]),
            Route("/healthz", self.healthz, methods=["GET"]),
        ]
        return Starlette(routes=routes)

    async def healthz(self, req: Request) -> Response:
        """Report that the process is alive."""
        return JSONResponse({"status": "ok"})

    async def metrics(self, req: Request) -> Response:
        """Return all metrics in the Prometheus text format."""
        content, headers = self._metrics.render()
        return Response(content, headers=headers)

    async def statement(self, req: Request) -> Response:
        """Run the posted statement and return its result as JSON."""
        operator = self._authenticate(req)
        if operator is None:
            return _result_response(
                ResultCode.WRONG_TOKEN, "the operator's token is missing or wrong"
            )
        posted = _parse_body(await req.body())
        if posted is None:
            detail = f"send a JSON object with a 'statement' of up to {MAX_BODY_BYTES} bytes"
            return _result_response(ResultCode.BAD_JSON, detail)
        try:
            parsed = parse_statement(posted.text)
        except StatementError as exc:
            return _result_response(ResultCode.STATEMENT_FAULT, exc.format_message())
        if isinstance(parsed, Change):
            return await self._change(operator, parsed, posted)
        if isinstance(parsed, ShowConfig):
            return await self._show_config(parsed)
        if isinstance(parsed, ShowCommand):
            return self._show_command(parsed)
        result = await self._queries.execute(parsed, posted.text)
        return JSONResponse({"rows": result.rows, "not_answering": result.not_answering})

    async def _change(
        self, operator: Operator, change: Change, posted: _StatementRequest
    ) -> Response:
        if operator.role is not Role.WRITE:
            return _result_response(ResultCode.ROLE_FORBIDDEN, "changing needs the role write")
        outcome = await self._changes.publish(change, posted.text, operator, posted.command_id)
        in_force = await self._changes.wait_in_force(outcome) if posted.wait else None
        return _result_response(
            outcome.code,
            outcome.detail,
            ran=outcome.ran,
            command_id=outcome.command_id,
            revision=outcome.revision,
            in_force=None if in_force is None else to_plain(in_force),
        )

    async def _show_config(self, parsed: ShowConfig) -> Response:
        state = self._control.state
        if parsed.revision is not None:
            found = await self._history.state_at(parsed.revision)
            if found is None:
                detail = f"revision {parsed.revision} is not retained; now: {state.revision}"
                return _result_response(ResultCode.COMMAND_REJECTED, detail)
            state = found
        plain = to_plain(state)
        for verdict in plain["verdicts"].values():
            verdict["statement"] = mask_digests(verdict["statement"])
        for workspace in plain["workspaces"].values():
            workspace.pop("token_sha256")
        return JSONResponse({"config": plain})

    def _show_command(self, parsed: ShowCommand) -> Response:
        verdict = self._control.state.verdicts.get(parsed.command_id)
        if verdict is None:
            detail = "no record of this command; if the log service is unavailable, ask again later"
            return _result_response(
                ResultCode.COMMAND_UNKNOWN, detail, command_id=parsed.command_id
            )
        outcome = outcome_of(parsed.command_id, verdict)
        return JSONResponse(
            {
                "command_id": parsed.command_id,
                "name": outcome.code.name.lower(),
                "detail": outcome.detail,
                "revision": outcome.revision,
                "operator": verdict.operator,
                "statement": mask_digests(verdict.statement),
                "issued_s": verdict.issued_s,
            }
        )

    def _authenticate(self, req: Request) -> Operator | None:
        scheme, _, token = req.headers.get("authorization", "").partition(" ")
        return self._operators.authenticate(token) if scheme.lower() == "bearer" else None


def _parse_body(body: bytes) -> _StatementRequest | None:
    if len(body) > MAX_BODY_BYTES:
        return None
    try:
        parsed = orjson.loads(body)
    except orjson.JSONDecodeError:
        return None
    if not isinstance(parsed, dict) or not isinstance(parsed.get("statement"), str):
        return None
    command_id = CommandId(str(parsed.get("command_id") or new_uuid7()))
    return _StatementRequest(
        text=parsed["statement"], command_id=command_id, wait=bool(parsed.get("wait"))
    )


def _result_response(
    code: ResultCode, detail: str, *, ran: Execution | None = None, **extra: t.Any
) -> JSONResponse:
    info = CODES[code]
    body = {
        "code": int(code),
        "name": code.name.lower(),
        "detail": detail,
        "ran": (ran or info.execution).value,
        **{key: value for key, value in extra.items() if value is not None},
    }
    return JSONResponse(body, status_code=info.status)
