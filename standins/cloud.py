"""Stand-in for the host list service and the cloud API."""

import asyncio
import contextlib
import dataclasses
import time
import typing as t

import orjson
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse
from starlette.responses import Response
from starlette.routing import Route

from standins import _serve


@dataclasses.dataclass(kw_only=True)
class Faults:
    """The injected faults.

    ``list_lag_s`` makes the host list lag behind its current content by so many seconds;
    ``list_frozen`` freezes it as it was when the fault was set; ``list_outage`` refuses to serve
    it. ``lose_notices`` drops reclaim notices; ``refuse_starts`` refuses to start instances.
    """

    list_lag_s: float = 0.0
    list_frozen: bool = False
    list_outage: bool = False
    lose_notices: bool = False
    refuse_starts: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Version:
    """The host list as of a time, in seconds of the monotonic clock."""

    at_s: float
    hosts: tuple[dict[str, t.Any], ...]


class CloudStandIn:
    """An in-memory host list, reclaim notices, price offers and instance starts, served over HTTP.

    It stops no process: the test itself has to end the processes of a reclaimed host.
    """

    def __init__(self) -> None:
        self._versions = [_Version(at_s=0.0, hosts=())]
        self._notices: list[dict[str, t.Any]] = []
        self._notice_added = asyncio.Event()
        self.offers: list[dict[str, t.Any]] = []
        self._faults = Faults()
        self._frozen: _Version | None = None
        self._started = 0

    def asgi(self) -> Starlette:
        """Return the ASGI application."""
        routes = [
            Route("/hosts", self.list_hosts, methods=["GET"]),
            Route("/hosts", self.put_host, methods=["POST"]),
            Route("/hosts/{host}/remove", self.remove_host, methods=["POST"]),
            Route("/reclaim", self.reclaim, methods=["POST"]),
            Route("/notices", self.notices, methods=["GET"]),
            Route("/offers", self.list_offers, methods=["GET"]),
            Route("/offers", self.set_offers, methods=["POST"]),
            Route("/instances", self.start_instance, methods=["POST"]),
            Route("/faults", self.set_faults, methods=["POST"]),
        ]
        return Starlette(routes=routes)

    async def list_hosts(self, req: Request) -> Response:
        """Answer with the host list, delayed or frozen by the faults in force."""
        if self._faults.list_outage:
            return Response(status_code=503)
        if self._frozen is not None:
            return JSONResponse({"hosts": list(self._frozen.hosts)})
        newest_at = time.monotonic() - self._faults.list_lag_s
        visible = [version for version in self._versions if version.at_s <= newest_at]
        return JSONResponse({"hosts": list((visible or self._versions)[-1].hosts)})

    async def put_host(self, req: Request) -> Response:
        """Add or replace a host."""
        entry = orjson.loads(await req.body())
        others = [host for host in self._hosts() if host["host"] != entry["host"]]
        self.publish([*others, entry])
        return Response(status_code=204)

    async def remove_host(self, req: Request) -> Response:
        """Remove a host from the list."""
        name = req.path_params["host"]
        self.publish([host for host in self._hosts() if host["host"] != name])
        return Response(status_code=204)

    async def reclaim(self, req: Request) -> Response:
        """Announce the reclaim of hosts, selected by name or by failure domain."""
        body = orjson.loads(await req.body())
        names = body.get("hosts") or [
            host["host"]
            for host in self._hosts()
            if host["failure_domain"] == body["failure_domain"]
        ]
        reclaim_s = time.time() + float(body["notice_s"])
        self.give_notice(names, reclaim_s)
        return JSONResponse({"hosts": names, "reclaim_s": reclaim_s})

    async def notices(self, req: Request) -> Response:
        """Answer with the notices after a sequence number.

        If there are none, wait up to ``wait`` seconds for the first one.
        """
        after = int(req.query_params.get("after", 0))
        wait_s = float(req.query_params.get("wait", 0))
        if len(self._notices) <= after and wait_s > 0:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_s):
                    await self._notice_added.wait()
        return JSONResponse({"notices": self._notices[after:]})

    async def list_offers(self, req: Request) -> Response:
        """Answer with the price offers."""
        return JSONResponse({"offers": self.offers})

    async def set_offers(self, req: Request) -> Response:
        """Replace the price offers."""
        self.offers = orjson.loads(await req.body())["offers"]
        return Response(status_code=204)

    async def start_instance(self, req: Request) -> Response:
        """Answer with the name of a new host, unless starts are refused; no process is started."""
        if self._faults.refuse_starts:
            return Response(status_code=503)
        self._started += 1
        return JSONResponse({"host": f"started-{self._started}"}, status_code=201)

    async def set_faults(self, req: Request) -> Response:
        """Replace the faults in force."""
        self.apply_faults(Faults(**orjson.loads(await req.body())))
        return JSONResponse(dataclasses.asdict(self._faults))

    def _hosts(self) -> tuple[dict[str, t.Any], ...]:
        return self._versions[-1].hosts

    def publish(self, hosts: list[dict[str, t.Any]]) -> None:
        """Publish a new version of the host list."""
        self._versions.append(_Version(at_s=time.monotonic(), hosts=tuple(hosts)))

    def give_notice(self, names: list[str], reclaim_s: float) -> None:
        """Mark hosts as leaving and add their notices, unless notices are lost.

        :param reclaim_s: when the hosts are reclaimed, in seconds since the epoch.
        """
        self.publish(
            [
                {**host, "state": "leaving"} if host["host"] in names else host
                for host in self._hosts()
            ]
        )
        if self._faults.lose_notices:
            return
        for name in names:
            seq = len(self._notices) + 1
            self._notices.append({"seq": seq, "host": name, "reclaim_s": reclaim_s})
        added, self._notice_added = self._notice_added, asyncio.Event()
        added.set()

    def apply_faults(self, faults: Faults) -> None:
        """Put faults in force; ``list_frozen`` freezes the present list."""
        self._faults = faults
        self._frozen = self._versions[-1] if faults.list_frozen else None


def main() -> None:
    """Run the stand-in."""
    args = _serve.base_parser("Stand-in for the host list service and the cloud API.").parse_args()
    _serve.run(CloudStandIn().asgi(), port=args.port)


if __name__ == "__main__":
    main()
