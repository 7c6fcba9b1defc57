"""Answers the load balancer's readiness check, and scrapes of the metrics."""

import collections.abc as cabc
import functools

from cassiawalk.http1 import CHECKS_SHARE
from cassiawalk.http1 import Exchange
from cassiawalk.http1 import ExchangeHandler
from cassiawalk.http1 import HttpListener
from cassiawalk.ingress.report import IngressReport
from cassiawalk.ingressnode.profile import HostProfile
from cassiawalk.settings import Address
from cassiawalk.sockets import listen


class ReadinessHandler(ExchangeHandler):
    """Serves the readiness check of the load balancer.

    :param is_ready: returns whether this host accepts connections.
    """

    def __init__(self, *, is_ready: cabc.Callable[[], bool]) -> None:
        self._is_ready = is_ready

    async def handle(self, exchange: Exchange) -> None:
        """Answer with 200 if this host accepts connections, else with 503."""
        exchange.answer(200 if self._is_ready() else 503, [], b"")


class MetricsHandler(ExchangeHandler):
    """Serves the metrics."""

    def __init__(self, *, report: IngressReport) -> None:
        self._report = report

    async def handle(self, exchange: Exchange) -> None:
        """Answer with all metrics in the text format."""
        body, headers = self._report.render()
        exchange.answer(200, [(k.encode(), v.encode()) for k, v in headers.items()], body)


def check_listeners(
    *,
    profile: HostProfile,
    metrics_port: int,
    is_ready: cabc.Callable[[], bool],
    report: IngressReport,
) -> list[HttpListener]:
    """Return the listeners for the readiness check and for the metrics.

    Clients that hold connections of one of them take none from the other or from callers.
    """
    metrics_address = Address(ip=profile.peer_address.ip, port=metrics_port)
    handlers: dict[str, tuple[Address, ExchangeHandler]] = {
        "ready": (profile.ready_address, ReadinessHandler(is_ready=is_ready)),
        "metrics": (metrics_address, MetricsHandler(report=report)),
    }
    return [
        HttpListener(
            sock=listen(address),
            handler=handler,
            name=name,
            connection_limits=profile.connection_limits(CHECKS_SHARE),
            on_closed=functools.partial(report.note_closure, name),
        )
        for name, (address, handler) in handlers.items()
    ]
