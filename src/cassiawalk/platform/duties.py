"""Client of the platform's API for the holder of the duties."""

import typing as t

import orjson

from cassiawalk.duties import CALL_LIMIT_S
from cassiawalk.duties import DutyApi
from cassiawalk.duties import DutyOutcome
from cassiawalk.duties import FencingToken
from cassiawalk.duties import UpstreamOrder
from cassiawalk.duties import UsageWindow
from cassiawalk.errors import WireError
from cassiawalk.http1 import CallError
from cassiawalk.http1 import HttpClient
from cassiawalk.platform import _fields as fields
from cassiawalk.platform import names


class PlatformDuties(DutyApi):
    """Usage reports and upstream orders over HTTP."""

    def __init__(self, *, address: str) -> None:
        self._http = HttpClient(address=address, max_idle_s=0.0)  # the answers name no call

    def set_address(self, address: str) -> None:
        """Use another address for later calls."""
        self._http.set_address(address)

    async def report_usage(self, window: UsageWindow, by: FencingToken) -> DutyOutcome:
        """Report the usage of one window."""
        body = {"window_seq": window.number, "counts": dict(window.counts)}
        return await self._call("/usage", body, by, conflict=DutyOutcome.SUPERSEDED)

    async def order_upstreams(self, order: UpstreamOrder, by: FencingToken) -> DutyOutcome:
        """Set the desired number of a service's upstreams in a failure domain."""
        body = {
            "service": order.service,
            "zone": order.failure_domain,
            "desired_count": order.count,
            "use_spot": order.reclaimable,
        }
        return await self._call("/scale", body, by, conflict=DutyOutcome.NO_CAPACITY)

    def close(self) -> None:
        """Close idle connections; those in use are closed after their call."""
        self._http.close()

    async def _call(
        self, target: str, body: dict[str, t.Any], by: FencingToken, *, conflict: DutyOutcome
    ) -> DutyOutcome:
        headers = [
            (names.DUTY_HOLDER, by.holder.encode()),
            (names.FENCING_TOKEN, str(by.fence).encode()),
            (b"Content-Type", b"application/json"),
        ]
        try:
            answer = await self._http.call(
                "POST",
                target,
                headers=headers,
                body=orjson.dumps(body),
                timeout_s=CALL_LIMIT_S,
                may_send=by.may_send,
            )
        except CallError:
            return DutyOutcome.UNKNOWN
        if answer.status == 409:
            return DutyOutcome.SUPERSEDED if _is_fenced(answer.body) else conflict
        if answer.status == 429:
            return DutyOutcome.BUSY
        return DutyOutcome.DONE if answer.status == 200 else DutyOutcome.UNKNOWN


def _is_fenced(body: bytes) -> bool:
    """Return whether the reason of a conflict is a higher fencing number."""
    try:
        return "fence" in fields.string_field(fields.parse_object(body), "reason", "")
    except WireError:
        return False
