"""Upstreams whose address a later process states as its own.

The entry of that process is no proof that they are gone: it may be another writer's. A request
tells, as it names the process that it is meant for and runs on no other one. Until then other
upstreams are preferred, since a request that finds another process there has taken one of its
attempts.
"""

import collections.abc as cabc

import eliot

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
