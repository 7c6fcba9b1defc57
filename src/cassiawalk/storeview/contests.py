"""Upstreams whose address or id another entry states as its own.

The entry of that process is no proof that they are gone: it may be another writer's. A request
tells, as it names the process that it is meant for and runs on no other one. Until then other
upstreams are preferred, since a request that finds another process there has taken one of its
attempts.
"""

import collections.abc as cabc

import eliot

from cassiawalk.storeview.departures import EARLIER_START_S
from cassiawalk.storeview.upstream import Registration
from cassiawalk.storeview.upstream import Upstream

CONTESTED_S = 3.0  # about the time until the entry of a process that is gone expires


def contest_address(upstreams: cabc.Iterable[Upstream], new: Registration) -> None:
    """Prefer others to the upstreams at a new entry's address that started before its process."""
    for known in upstreams:
        before = known.registration
        if before.address != new.address or before.started_ms >= new.started_ms:
            continue
        known.health.note_doubt(for_s=CONTESTED_S)
        eliot.log_message(
            message_type="directory:contested",
            upstream=known.upstream_id,
            address=new.address,
            by=new.upstream_id,
            service=new.service,
            for_s=CONTESTED_S,
        )


def contradicts(known: Upstream, new: Registration, *, silent_for_s: float) -> bool:
    """Return whether an entry can't be of an upstream of its id that goes on to write its own.

    An upstream never changes its service, nor its address while it runs. Another one may have taken
    its id only if it is gone, and then it writes no more.

    :param silent_for_s: for how long the upstream has written nothing, in seconds.
    """
    own = known.registration
    if own.version is None or new.version is None or known.leaving:
        return False
    if own.service != new.service:
        return silent_for_s < EARLIER_START_S
    return own.address != new.address and silent_for_s < CONTESTED_S


def is_disproved(known: Upstream, new: Registration) -> bool:
    """Return whether another process has answered at the address at which a new one is listed."""
    is_wrong = known.superseded or known.health.is_unproven
    return is_wrong and known.registration.address == new.address
