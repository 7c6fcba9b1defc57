"""Tells from heartbeats which hosts may act for all, and which hosts have heard this one."""

import collections.abc as cabc

from cassiawalk.fleet.census import HostCensus
from cassiawalk.fleet.heartbeats import HeartbeatExchange
from cassiawalk.fleet.hubs import preferred_hubs
from cassiawalk.ids import HostId
from cassiawalk.ratelimits import FleetContact


class HeartbeatContact(FleetContact):
    """What heartbeats tell of the hosts that may lend, see ``LendingAuthority``.

    :param is_leaving: returns whether this host is about to stop.
    """

    def __init__(
        self,
        *,
        host: HostId,
        heartbeats: HeartbeatExchange,
        census: HostCensus,
        is_leaving: cabc.Callable[[], bool],
    ) -> None:
        self._host = host
        self._heartbeats = heartbeats
        self._census = census
        self._is_leaving = is_leaving

    def candidates(self) -> cabc.Sequence[HostId]:
        """Return the hosts that this one hears, or that those hear, of a large fleet the hubs."""
        heartbeats = self._heartbeats
        live = heartbeats.live_hosts
        heard = {*live}
        for host in live:
            heard.update(heartbeats.peers[host].heartbeat.hears)
        leaving = {host for host, view in heartbeats.peers.items() if view.heartbeat.leaving}
        heard -= leaving
        heard.discard(self._host)
        if heartbeats.is_hub and not self._is_leaving():
            heard.add(self._host)
        ranking = heartbeats.ranking()
        if heartbeats.full_mesh:
            return [host for host in ranking if host in heard]
        return preferred_hubs(ranking, heard)

    def hears(self, *, borrows: bool) -> tuple[HostId, ...]:
        """Return the hosts that this one hears itself; of a large fleet, the hubs.

        Empty while neither this host nor one that it hears lends or borrows.
        """
        live = self._heartbeats.live_hosts
        peers = self._heartbeats.peers
        if not borrows and not any(peers[host].heartbeat.borrows for host in live):
            return ()
        if self._heartbeats.full_mesh:
            return tuple(live)
        return tuple(preferred_hubs(self._heartbeats.ranking(), live))

    def confirmed(self, within_s: float) -> cabc.Set[HostId]:
        """Return the hosts that have heard this one, and those behind hubs that have."""
        heartbeats = self._heartbeats
        live = set(heartbeats.live_hosts) & heartbeats.confirmations.within(within_s)
        found = set(live)
        for host in live:
            counted = heartbeats.peers[host].heartbeat.counted
            found.update(() if counted is None else counted.hosts)
        return found - {self._host}

    def host_count(self) -> int:
        """Return the number of hosts that may be live, as the host that counts most counts."""
        return self._census.total()
