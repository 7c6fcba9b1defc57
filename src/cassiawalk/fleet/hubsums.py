"""Sums of heartbeats that hubs pass on."""

import collections.abc as cabc

from cassiawalk.fleet.aggregates import EMPTY_AGGREGATE
from cassiawalk.fleet.aggregates import ConsumptionTotals
from cassiawalk.fleet.aggregates import HostAggregate
from cassiawalk.fleet.aggregates import sum_amounts
from cassiawalk.fleet.aggregates import sum_use
from cassiawalk.fleet.heartbeat import Heartbeat
from cassiawalk.ids import WorkspaceName
from cassiawalk.rollouts.counting import sum_counts


def sum_of_spokes(
    spokes: cabc.Sequence[Heartbeat],
    drawn: dict[WorkspaceName, float],
    lent: dict[WorkspaceName, float],
) -> HostAggregate:
    """Return the aggregate of the hosts whose primary hub this host is.

    :param drawn: what they have consumed of the quotas, also those that are gone.
    :param lent: how much of it was lent to them.
    """
    return HostAggregate(
        hosts=tuple(heartbeat.host for heartbeat in spokes),
        drawn=drawn,
        use=sum_use(heartbeat.use for heartbeat in spokes),
        reading=sum_amounts(heartbeat.reading for heartbeat in spokes),
        responses=sum_counts(heartbeat.responses or () for heartbeat in spokes) or None,
        lent=lent,
    )


def sum_of_fleet(
    *,
    own: Heartbeat,
    spokes: HostAggregate,
    hubs: cabc.Sequence[Heartbeat],
    drawn: dict[WorkspaceName, float],
) -> HostAggregate:
    """Return the aggregate of a hub, of the hosts that it aggregates, and of the other hubs.

    :param hubs: the other hubs that are live.
    :param drawn: what all other hubs and their hosts have consumed, also those that are gone. Of
        the live ones alone the sum would fall by all that a hub ever counted when it is lost.
    """
    theirs = [heartbeat.counted or EMPTY_AGGREGATE for heartbeat in hubs]
    parts: list[HostAggregate | Heartbeat] = [spokes, own, *hubs, *theirs]
    return HostAggregate(
        hosts=(),
        drawn=sum_amounts((spokes.drawn, own.drawn, drawn)),
        use=sum_use(part.use for part in parts),
        reading={},
    )


class HubSums:
    """What a hub adds up, with the quota consumption of all hosts that it ever heard of."""

    def __init__(self) -> None:
        self._drawn = ConsumptionTotals()
        self._lent = ConsumptionTotals()
        self._drawn_by_hubs = ConsumptionTotals()

    def note(self, heartbeat: Heartbeat) -> None:
        """Take the quota consumption in a heartbeat of another host into account."""
        process, is_new = heartbeat.process, heartbeat.is_new
        if heartbeat.first:
            self._drawn.note(process, heartbeat.drawn, is_new=is_new)
            self._lent.note(process, heartbeat.lent, is_new=is_new)
        if heartbeat.counted is not None:
            self._drawn_by_hubs.note(process, heartbeat.drawn, is_new=is_new)
            self._drawn_by_hubs.note(f"{process}/counted", heartbeat.counted.drawn)

    def of_spokes(self, live: cabc.Iterable[Heartbeat], *, without: str) -> HostAggregate:
        """Return the aggregate of the hosts whose primary hub this one is.

        :param live: the heartbeats of all live hosts.
        :param without: the process to leave out, or an empty string.
        """
        spokes = [found for found in live if found.first and found.process != without]
        return sum_of_spokes(
            spokes, self._drawn.total(without=without), self._lent.total(without=without)
        )

    def of_others(
        self, own: Heartbeat, sender: Heartbeat, live: cabc.Sequence[Heartbeat]
    ) -> HostAggregate:
        """Return the aggregate of all hosts except the sender of a heartbeat.

        :param own: this host's heartbeat.
        :param live: the heartbeats of all live hosts.
        """
        others = [found for found in live if found.host != sender.host]
        return sum_of_fleet(
            own=own,
            spokes=self.of_spokes(live, without=sender.process),
            hubs=[found for found in others if found.counted is not None],
            drawn=self._drawn_by_hubs.total(without=sender.process),
        )
