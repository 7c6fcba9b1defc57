"""Messages between a relay of the ``control`` stream and its subscribers."""

import dataclasses

from cassiawalk.control.commands import FORMAT_VERSION
from cassiawalk.ids import HostId
from cassiawalk.ids import Offset
from cassiawalk.ids import Revision
from cassiawalk.peer import messages


@messages.register("relay-subscribe")
@dataclasses.dataclass(frozen=True, kw_only=True)
class RelaySubscribe:
    """Subscribes to the entries after an offset, both existing and future ones."""

    host: HostId
    through_offset: Offset


@messages.register("relay-welcome")
@dataclasses.dataclass(frozen=True, kw_only=True)
class RelaySubscribed:
    """First part of an accepted subscription."""


@messages.register("relay-refused")
@dataclasses.dataclass(frozen=True, kw_only=True)
class RelayRefused:
    """The only part of a refused subscription."""

    reason: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class RelayEntry:
    """One raw entry of the stream."""

    offset: Offset
    payload: bytes


@messages.register("relay-entries")
@dataclasses.dataclass(frozen=True, kw_only=True)
class RelayEntries:
    """Consecutive entries; ``after`` is the offset directly before the first one."""

    after: Offset
    entries: tuple[RelayEntry, ...]


@messages.register("relay-state")
@dataclasses.dataclass(frozen=True, kw_only=True)
class RelayState:
    """A full state, for a subscriber whose next entries the relay no longer has."""

    through_offset: Offset
    data: bytes
    version: int = FORMAT_VERSION


@messages.register("relay-beat")
@dataclasses.dataclass(frozen=True, kw_only=True)
class RelayHeartbeat:
    """A subscriber's heartbeat: keeps the subscription alive and queries the relay's state."""

    host: HostId


@messages.register("relay-beat-reply")
@dataclasses.dataclass(frozen=True, kw_only=True)
class RelayHeartbeatReply:
    """Offset, revision and freshness of the relay's state.

    ``age_s`` is the time in seconds since the state was known to be the newest, and ``contact_s``
    the time since the log service answered; both are None if it never was. ``subscribed`` is False
    if the relay has no subscription of the sender.
    """

    through_offset: Offset
    revision: Revision
    subscribed: bool
    age_s: float | None = None
    contact_s: float | None = None
