"""Routes of the operators' HTTP interface."""

import typing as t

import orjson
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse
from starlette.responses import Response
from starlette.routing import Route

from cassiawalk.admin.language import ChangeStatement
from cassiawalk.admin.language import ShowStatement
from cassiawalk.admin.language import StatementError
from cassiawalk.admin.language import parse_statement
from cassiawalk.admin.operators import Operator
from cassiawalk.admin.operators import Operators
from cassiawalk.admin.operators import Role
from cassiawalk.admin.queries import Queries
from cassiawalk.clock import Clock
from cassiawalk.control import Command
from cassiawalk.control import CommandPublisher
from cassiawalk.ids import CommandId
from cassiawalk.ids import new_uuid7
from cassiawalk.metrics import Metrics
from cassiawalk.results import CODES
from cassiawalk.results import Execution
from cassiawalk.results import ResultCode


class AdminApp:
    """Serves statements, metrics and health to operators."""

    def __init__(
        self,
        *,
        operators: Operators,
        publisher: CommandPublisher,
        queries: Queries,
        metrics: Metrics,
        clock: Clock,
    ) -> None:
        self._operators = operators
        self._publisher = publisher
        self._queries = queries
        self._metrics = metrics
        self._clock = clock

    def asgi(self) -> Starlette:
        """Return the ASGI application."""
        routes = [
            Route("/admin/v1/statements", self.statement, methods=["POST"]),
            Route("/metrics", self.metrics, methods=["GET"]),
            Route("/healthz", self.healthz, methods=["GET"]),
        ]
        return Starlette(routes=routes)

    async def healthz(self, req: Request) -> Response:
        """Answer that the process runs."""
        return JSONResponse({"status": "ok"})

    async def metrics(self, req: Request) -> Response:
        """Answer with all metrics in the Prometheus text format."""
        content, headers = self._metrics.render()
        return Response(content, headers=headers)

    async def statement(self, req: Request) -> Response:
        """Carry out one statement."""
        operator = self._operator(req)
        if operator is None:
            return _answer(ResultCode.WRONG_TOKEN, "the operator's token is missing or wrong")
        try:
            body = orjson.loads(await req.body())
            text = str(body["statement"])
        except (orjson.JSONDecodeError, KeyError, TypeError):
            return _answer(ResultCode.BAD_JSON, "send a JSON object with a 'statement'")
        try:
            parsed = parse_statement(text)
        except StatementError as exc:
            return _answer(ResultCode.STATEMENT_FAULT, exc.format_message())
        if isinstance(parsed, ShowStatement):
            return JSONResponse(await self._queries.show(parsed))
        if operator.role is not Role.WRITE:
            return _answer(ResultCode.ROLE_FORBIDDEN, "changing needs the role write")
        command_id = CommandId(str(body.get("command_id") or new_uuid7()))
        return await self._change(operator, parsed, text, command_id)

    async def _change(
        self, operator: Operator, parsed: ChangeStatement, text: str, command_id: CommandId
    ) -> Response:
        command = Command(
            command_id=command_id,
            operator=operator.name,
            operations=(parsed.operation,),
            statement=text,
            issued_s=self._clock.wall(),
            expected=parsed.expected,
        )
        outcome = await self._publisher.publish(command)
        return _answer(
            outcome.code,
            outcome.detail,
            ran=outcome.ran,
            command_id=outcome.command_id,
            revision=outcome.revision,
        )

    def _operator(self, req: Request) -> Operator | None:
        scheme, _, token = req.headers.get("authorization", "").partition(" ")
        return self._operators.authenticate(token) if scheme.lower() == "bearer" else None


def _answer(
    code: ResultCode, detail: str, *, ran: Execution | None = None, **more: t.Any
) -> JSONResponse:
    info = CODES[code]
    body = {
        "code": int(code),
        "name": code.name.lower(),
        "detail": detail,
        "ran": (ran or info.execution).value,
        **{key: value for key, value in more.items() if value is not None},
    }
    return JSONResponse(body, status_code=info.status)
