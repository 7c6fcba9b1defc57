"""Clients of upstreams."""

import abc

from cassiawalk.app import Component
from cassiawalk.clients import Engine
from cassiawalk.clients import PlainService
from cassiawalk.clients.engine_http import HttpEngine
from cassiawalk.clients.service_http import HttpPlainService
from cassiawalk.ids import UpstreamId
from cassiawalk.metering import Meter
from cassiawalk.routing import UpstreamView


class Connector(abc.ABC):
    """Creates upstream clients; tests and benchmarks substitute fakes."""

    @abc.abstractmethod
    def engine(self, upstream: UpstreamView) -> Engine:
        """Return the client of a model engine."""

    @abc.abstractmethod
    def plain(self, upstream: UpstreamView) -> PlainService:
        """Return the client of a plain service."""


class HttpConnector(Connector, Component):
    """Keeps one HTTP client for each engine address."""

    def __init__(self, *, traffic: Meter | None = None) -> None:
        self._traffic = traffic or Meter()
        self._engines: dict[tuple[UpstreamId, str], HttpEngine] = {}

    def engine(self, upstream: UpstreamView) -> Engine:
        """Return the pooled client of a model engine."""
        key = (upstream.upstream_id, upstream.entry.address)
        if key not in self._engines:
            self._engines[key] = HttpEngine(address=upstream.entry.address, traffic=self._traffic)
        return self._engines[key]

    def plain(self, upstream: UpstreamView) -> PlainService:
        """Return a client of a plain service that opens a new connection for each call."""
        return HttpPlainService(address=upstream.entry.address)

    async def stop(self) -> None:
        """Close all engine clients."""
        for engine in self._engines.values():
            await engine.aclose()
        await super().stop()
