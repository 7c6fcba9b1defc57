"""Kept connections that have gone silent without an end."""

import asyncio
import time

from cassiawalk.clients import KeyedChanges
from cassiawalk.ids import Offset
from cassiawalk.platform import store as platform_store
from cassiawalk.platform.store import PlatformStore
from soak.fault_proxy import FaultProxy
from standins.platform import PlatformStore as StoreStandIn


async def test_read_after_a_pause_does_not_wait_for_a_connection_that_went_silent() -> None:
    standin = StoreStandIn()
    await standin.start()
    proxy = FaultProxy(target=standin.address)
    await proxy.start()
    store = PlatformStore(address=proxy.address)
    stream = "keyed.op"
    await standin.put(stream, "config", {"version": 1})
    assert isinstance(await store.changes(stream=stream, start=Offset(1 << 40)), KeyedChanges)
    proxy.blackhole()
    await asyncio.sleep(platform_store.MAX_IDLE_S + 0.1)
    began_at = time.monotonic()
    assert isinstance(await store.changes(stream=stream, start=Offset(1 << 40)), KeyedChanges)
    assert time.monotonic() - began_at < 0.5
    await store.aclose()
    await proxy.stop()
    await standin.stop()
