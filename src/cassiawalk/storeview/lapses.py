"""Asks upstreams whose entry may only have expired whether they still serve.

An entry expires while its upstream cannot renew it, and is removed when its upstream leaves. The
store's records do not tell the two apart. The upstream itself does, so it is asked, and used only
for as long after its answer as an upstream may be used that has just begun to leave.
"""

import collections.abc as cabc

import eliot

from cassiawalk.app import Component
from cassiawalk.clock import Clock
from cassiawalk.storeview.config import ConfigView
from cassiawalk.storeview.directory import Directory
from cassiawalk.storeview.inquiry import UpstreamInquiry
from cassiawalk.storeview.inquiry import UpstreamState
from cassiawalk.storeview.upstream import Upstream

KEPT_S = 1.0  # half of the time in which no request may reach an upstream that leaves
ASK_INTERVAL_S = 0.4


async def _may_always_ask(_: Upstream) -> bool:
    return True


class LapseChecker(Component):
    """Keeps lapsed upstreams in use as long as they say that they serve.

    ``may_ask`` is called before each question; if it returns False, the upstream is not asked.
    ``on_limit`` is called with the process of an upstream that serves, and the limit it names.

    :param age_s: returns how old this host's knowledge of the upstreams' entries is, in seconds.
    """

    def __init__(
        self,
        *,
        directory: Directory,
        config: ConfigView,
        inquiry: UpstreamInquiry,
        clock: Clock,
        age_s: cabc.Callable[[], float] = lambda: 0.0,
    ) -> None:
        self._age_s = age_s
        self.on_limit: cabc.Callable[[str, float | None], None] = lambda *_: None
        self.may_ask: cabc.Callable[[Upstream], cabc.Awaitable[bool]] = _may_always_ask
        self._directory = directory
        self._config = config
        self._inquiry = inquiry
        self._clock = clock
        directory.add_lapse_listener(self._check)

    def _check(self, upstream: Upstream) -> None:
        self.spawn(self._follow(upstream), name=f"lapsed-{upstream.upstream_id}")

    async def _follow(self, upstream: Upstream) -> None:
        """Ask until the entry is back, the upstream leaves, or its time to come back has passed."""
        while self._directory.is_lapsed(upstream):
            state = await self._ask(upstream)
            eliot.log_message(
                message_type="directory:asked", upstream=upstream.upstream_id, state=state.value
            )
            if state is UpstreamState.LEAVING:
                self._directory.drop_lapsed(upstream)
                return
            if state is UpstreamState.SERVING:
                self._directory.keep_lapsed(upstream, for_s=KEPT_S)
            await self._clock.sleep(ASK_INTERVAL_S)
            self._directory.remove_stale(age_s=self._age_s())

    async def _ask(self, upstream: Upstream) -> UpstreamState:
        path = self._config.health_path(upstream.registration.service)
        if path is None or not await self.may_ask(upstream):
            return UpstreamState.UNKNOWN
        report = await self._inquiry.ask(upstream.registration, path=path)
        if report.state is UpstreamState.SERVING:
            self.on_limit(upstream.process, report.limit_per_s)
        return report.state
