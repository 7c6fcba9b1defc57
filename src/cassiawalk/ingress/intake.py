"""Admits requests: finds route, workspace and service, and checks the workspace's quota."""

import asyncio
import random

from cassiawalk.clock import Clock
from cassiawalk.http1 import Exchange
from cassiawalk.http1.heads import header_value
from cassiawalk.ids import ServiceName
from cassiawalk.ingress.codec import Demand
from cassiawalk.ingress.codec import HeadCodec
from cassiawalk.ingress.fleetquotas import FleetQuotas
from cassiawalk.ingress.job import Job
from cassiawalk.ingress.job import QuotaAnswer
from cassiawalk.results import Refusal
from cassiawalk.results import ResultCode
from cassiawalk.storeview.config import ConfigView
from cassiawalk.storeview.config import IngressConfig
from cassiawalk.storeview.config import Route
from cassiawalk.storeview.config import WorkspaceConfig

STALE_CONFIG_S = 2.6  # a configuration unconfirmed for longer may lack routes and keys
STALE_RETRY_S = 0.3
START_RETRY_S = 0.5


class RefusedError(Exception):
    """A request was refused before any attempt."""

    def __init__(self, refusal: Refusal, demand: Demand | None = None) -> None:
        super().__init__(refusal.detail)
        self.refusal = refusal
        self.demand = demand


class Intake:
    """Creates jobs from admitted requests."""

    def __init__(
        self,
        *,
        config: ConfigView,
        codec: HeadCodec,
        quotas: FleetQuotas,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._config = config
        self._codec = codec
        self._quotas = quotas
        self._clock = clock
        self._rng = rng

    def accept(self, exchange: Exchange) -> Job:
        """Return the job of an admitted request.

        If the job has a ``quota_answer``, the request is admitted only by ``confirm``.

        :raises RefusedError: if the request is not allowed, was read after its deadline, is over
            its workspace's quota, or can't be decided because the configuration is missing or may
            be stale.
        :raises HeadError: if the request's head can't be parsed.
        """
        demand = self._codec.parse_request(exchange.headers)
        config = self._config.current
        if config is None:
            detail = "this host has not received a configuration yet"
            raise RefusedError(
                _refusal(ResultCode.CONFIGURATION_STALE, detail, START_RETRY_S), demand
            )
        route = self._route(exchange, demand, config)
        workspace = self._workspace(demand, route, config)
        own_rank = None if workspace is None else workspace.rank
        rank = route.rank if own_rank is None else own_rank
        job = self._job(exchange, demand, route, workspace, rank, config)
        if self._clock.monotonic() >= job.ends_at:
            detail = "the time limit was reached before the request was read"
            raise RefusedError(
                Refusal(code=ResultCode.DEADLINE_PASSED_WAITING, detail=detail), demand
            )
        job.quota_answer = self._check_quota(demand, workspace, rank)
        return job

    async def confirm(self, job: Job) -> None:
        """Wait for the lender of the workspace's quota.

        :raises RefusedError: if the request is over the quota.
        """
        answer, job.quota_answer = job.quota_answer, None
        if answer is not None and job.workspace is not None:
            self._raise_if_over(job.demand, job.workspace, await answer)

    def refund_quota(self, job: Job) -> None:
        """Refund the quota of a request that no upstream has run."""
        if job.workspace is not None:
            self._quotas.refund(job.workspace, job.demand.stated_tokens)

    def _route(self, exchange: Exchange, demand: Demand, config: IngressConfig) -> Route:
        path = exchange.target.partition(b"?")[0]
        route = config.route_for(_host_of(exchange), path)
        if route is not None:
            return route
        raise self._unknown(demand, ResultCode.UNKNOWN_SERVICE, "no route matches host and path")

    def _workspace(
        self, demand: Demand, route: Route, config: IngressConfig
    ) -> WorkspaceConfig | None:
        if not config.workspaces:
            return None
        found = config.workspace_for(demand.key) if demand.key is not None else None
        if found is not None or route.anonymous:
            return found
        raise self._unknown(demand, ResultCode.WRONG_TOKEN, "the key belongs to no workspace")

    def _unknown(self, demand: Demand, code: ResultCode, detail: str) -> RefusedError:
        """Return the refusal of a request that names an unknown route or key.

        It is permanent only if the configuration was confirmed recently; otherwise the caller is
        asked to retry.
        """
        checked_at = self._config.checked_at
        if checked_at is None or self._clock.monotonic() - checked_at > STALE_CONFIG_S:
            stale = f"{detail} in a configuration that may be stale"
            return RefusedError(
                _refusal(ResultCode.CONFIGURATION_STALE, stale, STALE_RETRY_S), demand
            )
        return RefusedError(Refusal(code=code, detail=detail), demand)

    def _check_quota(
        self, demand: Demand, workspace: WorkspaceConfig | None, rank: int
    ) -> QuotaAnswer | None:
        """Return the lender's answer if it has to be waited for.

        :raises RefusedError: if the request is over the quota.
        """
        if workspace is None:
            return None
        found = self._quotas.take(workspace, demand.stated_tokens, rank)
        if isinstance(found, asyncio.Future):
            return found
        self._raise_if_over(demand, workspace, found)
        return None

    def _raise_if_over(
        self, demand: Demand, workspace: WorkspaceConfig, wait_s: float | None
    ) -> None:
        if wait_s is not None:
            detail = f"workspace {workspace.name} is over its quota"
            raise RefusedError(_refusal(ResultCode.OVER_LIMIT, detail, wait_s), demand)

    def _job(
        self,
        exchange: Exchange,
        demand: Demand,
        route: Route,
        workspace: WorkspaceConfig | None,
        rank: int,
        config: IngressConfig,
    ) -> Job:
        limit_at = exchange.received_at + route.limit_s
        deadline_s = route.limit_s if demand.deadline_s is None else demand.deadline_s
        deadline_at = exchange.received_at + deadline_s
        return Job(
            exchange=exchange,
            demand=demand,
            route=route,
            service=self._service(route),
            workspace=workspace,
            rank=rank,
            revision=config.revision,
            caller_deadline_at=deadline_at,
            ends_at=min(limit_at, deadline_at),
        )

    def _service(self, route: Route) -> ServiceName:
        if len(route.splits) == 1:
            return route.splits[0].service
        weights = [split.weight for split in route.splits]
        return self._rng.choices(route.splits, weights)[0].service


def _host_of(exchange: Exchange) -> bytes:
    host = header_value(exchange.headers, b"host") or b""
    return host.strip().lower().partition(b":")[0]


def _refusal(code: ResultCode, detail: str, retry_after_s: float) -> Refusal:
    return Refusal(code=code, detail=detail, retry_after_s=retry_after_s)
