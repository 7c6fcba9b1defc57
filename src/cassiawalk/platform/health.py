"""Asks upstreams for their state by the platform's health check."""

import asyncio

from cassiawalk.http1 import CallError
from cassiawalk.http1 import CompleteAnswer
from cassiawalk.http1 import HttpClient
from cassiawalk.platform import names
from cassiawalk.platform.availability import read_availability
from cassiawalk.storeview.inquiry import UpstreamInquiry
from cassiawalk.storeview.inquiry import UpstreamReport
from cassiawalk.storeview.inquiry import UpstreamState
from cassiawalk.storeview.inquiry import Witness
from cassiawalk.storeview.upstream import Registration

CALL_TIMEOUT_S = 0.6
SETTLE_S = 0.02


class PlatformInquiry(UpstreamInquiry):
    """Calls the health check of an upstream on a connection of its own."""

    async def ask(self, registration: Registration, *, path: str) -> UpstreamReport:
        """Return what the process of a registration says of itself."""
        client = HttpClient(address=registration.address)
        try:
            answer = await _call(client, path)
        except CallError as exc:
            state = UpstreamState.LEAVING if exc.refused else UpstreamState.UNKNOWN
            return UpstreamReport(state=state, witness=_witness_of_failure(exc))
        finally:
            client.close()
        said = read_availability(answer.status, answer.headers)
        return UpstreamReport(
            state=_state(registration, answer, leaving=said.leaving),
            witness=_witness(registration, answer),
            limit_per_s=said.limit_per_s,
        )


async def _call(client: HttpClient, path: str) -> CompleteAnswer:
    """Return the answer to a health check; ask again if the connection was accepted and ended.

    A process that dies accepts connections while its sockets are being closed; one that is at its
    limit of connections ends them too.
    """
    try:
        return await client.call("GET", path, timeout_s=CALL_TIMEOUT_S)
    except CallError as exc:
        if exc.refused or exc.silent or not exc.sent:
            raise
    await asyncio.sleep(SETTLE_S)
    return await client.call("GET", path, timeout_s=CALL_TIMEOUT_S)


def _witness(registration: Registration, answer: CompleteAnswer) -> Witness:
    found = answer.header(names.UPSTREAM_ID)
    if found is None:
        is_other = answer.status == names.WRONG_UPSTREAM_STATUS
        return Witness.OTHER if is_other else Witness.SOMEONE
    return Witness.SAME if found == registration.upstream_id.encode() else Witness.OTHER


def _witness_of_failure(exc: CallError) -> Witness:
    if exc.refused:
        return Witness.NOBODY
    return Witness.SOMEONE if exc.sent else Witness.UNKNOWN


def _state(registration: Registration, answer: CompleteAnswer, *, leaving: bool) -> UpstreamState:
    if answer.header(names.NOT_EXECUTED) is not None:
        return UpstreamState.UNKNOWN  # too busy for the check
    is_same = answer.header(names.UPSTREAM_ID) == registration.upstream_id.encode()
    if answer.status == 200 and is_same and not leaving:
        return UpstreamState.SERVING
    return UpstreamState.LEAVING
