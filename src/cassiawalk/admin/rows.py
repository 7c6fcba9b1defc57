"""Builds the rows of the operators' tables from the state of this host."""

import collections.abc as cabc
import re
import typing as t

from cassiawalk.admin.statements import Row
from cassiawalk.admin.statements import Scalar
from cassiawalk.clock import Clock
from cassiawalk.control import ConfigState
from cassiawalk.control import ControlFollower
from cassiawalk.dispatch import Dispatcher
from cassiawalk.dispatch import OutcomeRecorder
from cassiawalk.ids import FailureDomain
from cassiawalk.ids import HostId
from cassiawalk.refusals import RefusalLog
from cassiawalk.requests import RequestState
from cassiawalk.requests import RequestStore
from cassiawalk.routing import UpstreamTable
from cassiawalk.routing import UpstreamView
from cassiawalk.wire import to_plain

_SECRET_FIELDS = ("token_sha256",)
_DIGEST = re.compile(r"[0-9a-f]{64}")


class RowSource:
    """Returns the rows of every table as this host knows them."""

    def __init__(
        self,
        *,
        host: HostId,
        failure_domain: FailureDomain,
        control: ControlFollower,
        table: UpstreamTable,
        store: RequestStore,
        dispatcher: Dispatcher,
        recorder: OutcomeRecorder,
        refusals: RefusalLog,
        clock: Clock,
    ) -> None:
        self._host_columns: Row = {"host": host, "failure_domain": failure_domain}
        self._control = control
        self._table = table
        self._store = store
        self._dispatcher = dispatcher
        self._recorder = recorder
        self._refusals = refusals
        self._clock = clock
        self._readers: cabc.Mapping[str, cabc.Callable[[], list[Row]]] = {
            "requests": self._request_rows,
            "refused": self._refused_rows,
            "nodes": self._node_rows,
            "upstreams": self._upstream_rows,
            "commands": self._command_rows,
        }

    def rows(self, subject: str) -> list[Row]:
        """Return the rows of a table.

        :param subject: name of the table, a key of ``tables.TABLES``.
        """
        reader = self._readers.get(subject)
        if reader is not None:
            return reader()
        return _object_rows(self._control.state, subject)

    def _request_rows(self) -> list[Row]:
        now = self._clock.monotonic()
        return [
            {
                **self._host_columns,
                "request_id": record.request_id,
                "workspace": record.workspace,
                "service": record.service,
                "kind": record.kind_name,
                "state": record.state.value,
                "upstream": record.upstream,
                "attempt": record.attempt,
                "tokens": record.tokens,
                "age": round(now - record.accepted_at, 3),
            }
            for record in self._store
        ]

    def _refused_rows(self) -> list[Row]:
        now = self._clock.monotonic()
        return [
            {
                **self._host_columns,
                "workspace": entry.workspace,
                "service": entry.service,
                "kind": entry.kind,
                "code": int(entry.refusal.code),
                "name": entry.refusal.code.name.lower(),
                "ran": entry.refusal.ran.value,
                "detail": entry.refusal.detail,
                "age": round(now - entry.at_s, 3),
            }
            for entry in self._refusals
        ]

    def _node_rows(self) -> list[Row]:
        row: Row = {
            **self._host_columns,
            "revision": self._control.state.revision,
            "freshness": self._control.freshness.value,
            "draining": not self._dispatcher.accepts_requests,
            "running": self._store.count(RequestState.RUNNING),
            "waiting": self._store.count(RequestState.WAITING),
            "pending_outcomes": len(self._recorder.pending),
        }
        return [row]

    def _upstream_rows(self) -> list[Row]:
        now = self._clock.monotonic()
        return [_upstream_row(view, now) for view in self._table.all()]

    def _command_rows(self) -> list[Row]:
        verdicts = self._control.state.verdicts
        return [
            {
                "command_id": command_id,
                **_scalars(to_plain(verdict)),
                "statement": mask_digests(verdict.statement),
            }
            for command_id, verdict in reversed(list(verdicts.items()))
        ]


def _upstream_row(view: UpstreamView, now: float) -> Row:
    report = view.report
    return {
        "upstream": view.upstream_id,
        "pool": view.pool,
        "failure_domain": view.failure_domain,
        "state": view.state.value,
        "own_running": len(view.own_running),
        "slots": view.slots,
        "running": None if report is None else report.running,
        "waiting": None if report is None else report.waiting,
        "report_age": None if view.reported_at is None else round(now - view.reported_at, 3),
        "price": view.entry.price,
        "reclaimable": view.entry.reclaimable,
    }


def _object_rows(state: ConfigState, subject: str) -> list[Row]:
    objects: dict[str, object] = getattr(state, subject)
    return [{"name": name, **_scalars(to_plain(value))} for name, value in objects.items()]


def mask_digests(statement: str) -> str:
    """Return a statement with token digests masked; readers have no use for them."""
    return _DIGEST.sub("(digest)", statement)


def _scalars(fields: dict[str, t.Any]) -> dict[str, Scalar]:
    return {name: value for name, value in fields.items() if name not in _SECRET_FIELDS}
