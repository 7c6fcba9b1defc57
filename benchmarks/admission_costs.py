"""Measures the processor time that the decision about a request costs a host.

Run with ``python -m benchmarks.admission_costs``.
"""

import random
import time

from benchmarks.fleet_simulation import SERVICE
from benchmarks.fleet_simulation import VirtualClock
from cassiawalk.ids import FailureDomain
from cassiawalk.ids import HostId
from cassiawalk.ids import Offset
from cassiawalk.ids import UpstreamId
from cassiawalk.ids import WorkspaceName
from cassiawalk.ingress.decisions import Asked
from cassiawalk.ingress.decisions import Room
from cassiawalk.ingress.rooms import MAX_ROOM_AGE_S
from cassiawalk.ingress.rooms import RoomView
from cassiawalk.ingress.waiting import ServiceQueue
from cassiawalk.storeview.directory import Directory
from cassiawalk.storeview.upstream import Presence
from cassiawalk.storeview.upstream import Registration

RUNS = 5
REQUESTS = 20_000
ADDITIONS = 500
INTERVAL_S = 0.01
HOLD_S = 0.1
ENGINES = 60
REPORTERS = 4  # hubs and hosts that a host hears directly
SLOTS = 48


def decision_us() -> float:
    """Return the microseconds for a request that is served below contention, until its end."""
    queue = ServiceQueue(rng=random.Random(1))
    room = Room(slots=ENGINES * SLOTS, others=ENGINES, hosts=80, age_s=0.5)
    requests = [_request(INTERVAL_S * number) for number in range(REQUESTS)]
    began_at = time.process_time()
    for asked in requests:
        queue.arrive(asked, room, asked.arrived_at)
        queue.note_ended(asked, asked.arrived_at + HOLD_S, held_s=HOLD_S)
    return (time.process_time() - began_at) / REQUESTS * 1e6


def room_us() -> float:
    """Return the microseconds for adding up the room at ``ENGINES`` upstreams."""
    clock = VirtualClock()
    directory = Directory(clock=clock)
    for number in range(ENGINES):
        name = UpstreamId(f"u-{number}")
        registration = Registration(
            upstream_id=name,
            service=SERVICE,
            address=f"{name}:1",
            failure_domain=FailureDomain("here"),
            slots=SLOTS,
            presence=Presence.READY,
            started_ms=0,
        )
        directory.put(registration, Offset(number))
    rooms = RoomView(directory=directory, hosts=lambda: 80, clock=clock)
    took_s = 0.0
    for _ in range(ADDITIONS):
        clock.now += 2 * MAX_ROOM_AGE_S
        for upstream in directory.upstreams():
            for host in range(REPORTERS):
                upstream.load.note_peer(HostId(f"h-{host}"), 3, 100)
        began_at = time.process_time()
        rooms.get(SERVICE)
        took_s += time.process_time() - began_at
    return took_s / ADDITIONS * 1e6


def _request(now: float) -> Asked:
    return Asked(
        workspace=WorkspaceName("all"),
        rank=0,
        work=1.0,
        is_stream=False,
        base_s=0.0,
        target_at=now + 0.4,
        ends_at=now + 3.0,
        arrived_at=now,
    )


def main() -> None:
    """Print the least of several runs."""
    print(f"a decision below contention: {min(decision_us() for _ in range(RUNS)):.2f} us")
    print(f"adding up the room: {min(room_us() for _ in range(RUNS)):.1f} us")


if __name__ == "__main__":
    main()
