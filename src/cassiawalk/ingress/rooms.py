"""What a host knows of the slots of each service, and how old that is."""

import collections.abc as cabc

from cassiawalk.clock import Clock
from cassiawalk.ids import ServiceName
from cassiawalk.ingress.decisions import Room
from cassiawalk.rollouts.types import Role
from cassiawalk.storeview.directory import Directory

# Reports of other hosts change with heartbeats, so they need not be added up for each request.
MAX_ROOM_AGE_S = 0.1


class RoomView:
    """Adds up slots and the load of other hosts over the upstreams of a service.

    :param hosts: returns the number of hosts of the fleet.
    """

    def __init__(
        self, *, directory: Directory, hosts: cabc.Callable[[], int], clock: Clock
    ) -> None:
        self._directory = directory
        self._hosts = hosts
        self._clock = clock
        self._rooms: dict[ServiceName, tuple[float, Room]] = {}

    def get(self, service: ServiceName) -> Room:
        """Return the room of a service, as of ``MAX_ROOM_AGE_S`` s ago or less."""
        now = self._clock.monotonic()
        known = self._rooms.get(service)
        if known is not None and now - known[0] < MAX_ROOM_AGE_S:
            return known[1]
        room = self._add_up(service)
        self._rooms[service] = (now, room)
        return room

    def forget(self) -> None:
        """Add up anew, as reports of other hosts or entries of upstreams came."""
        self._rooms.clear()

    def _add_up(self, service: ServiceName) -> Room:
        slots = others = 0
        age_s: float | None = None
        for upstream in self._directory.available_for(service):
            if upstream.role is not Role.CARRIES:
                continue
            slots += upstream.slots
            others += upstream.load.others
            found_s = upstream.load.others_age_s
            if found_s is not None:
                age_s = found_s if age_s is None else max(age_s, found_s)
        return Room(slots=slots, others=others, hosts=max(1, self._hosts()), age_s=age_s)
