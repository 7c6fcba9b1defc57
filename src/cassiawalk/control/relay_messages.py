"""Messages between a host and the host that relays the ``control`` stream to it."""

import dataclasses

from cassiawalk.control.commands import FORMAT_VERSION
from cassiawalk.ids import HostId
from cassiawalk.ids import Offset
from cassiawalk.ids import Revision
from cassiawalk.peer import messages


@messages.register("relay-subscribe")
@dataclasses.dataclass(frozen=True, kw_only=True)
class RelaySubscribe:
    """Asks for the entries after an offset, now and as they come."""

    host: HostId
    through_offset: Offset


@messages.register("relay-welcome")
@dataclasses.dataclass(frozen=True, kw_only=True)
class RelaySubscribed:
    """First part of a subscription that was taken on."""


@messages.register("relay-refused")
@dataclasses.dataclass(frozen=True, kw_only=True)
class RelayRefused:
    """The only part of a subscription that was not taken on."""

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
    """A whole state, for a subscriber that is too far behind for entries."""

    through_offset: Offset
    data: bytes
    version: int = FORMAT_VERSION


@messages.register("relay-beat")
@dataclasses.dataclass(frozen=True, kw_only=True)
class RelayHeartbeat:
    """A subscriber's heartbeat: keeps the subscription and asks how current the relay is."""

    host: HostId


@messages.register("relay-beat-reply")
@dataclasses.dataclass(frozen=True, kw_only=True)
class RelayHeartbeatReply:
    """How current the relay is.

    ``age_s`` is in seconds since its state was known to be the newest and ``contact_s`` since the
    log service answered, both None if never. ``subscribed`` is False if the subscription is lost.
    """

    through_offset: Offset
    revision: Revision
    subscribed: bool
    age_s: float | None = None
    contact_s: float | None = None
