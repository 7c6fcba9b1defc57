"""Decodes the entries that upstreams write about themselves into the store."""

import ipaddress

import eliot

from cassiawalk.errors import WireError
from cassiawalk.ids import FailureDomain
from cassiawalk.ids import ServiceName
from cassiawalk.ids import UpstreamId
from cassiawalk.ids import VersionName
from cassiawalk.platform import _fields as fields
from cassiawalk.storeview.upstream import Presence
from cassiawalk.storeview.upstream import Registration

MAX_SLOTS = 1_000_000
MAX_TIME_MS = 10**15  # since the epoch
MAX_SEQUENCE = 10**15

_PRESENCE_OF_STATE = {"ready": Presence.READY, "draining": Presence.LEAVING}


def decode_registration(key: str, data: bytes) -> Registration | None:
    """Return the upstream that an entry describes; log a malformed entry and return None."""
    try:
        return _registration(key, fields.parse_object(data))
    except WireError as exc:
        eliot.log_message(message_type="directory:unreadable", key=key, reason=exc.message)
        return None


def _registration(key: str, row: fields.JsonObject) -> Registration:
    """Return the upstream that a row describes.

    :raises WireError: if a field that each entry has is missing or of another type. Such an entry
        is another writer's, also where the field is of no use here.
    """
    fields.number_field(row, "cold_remaining_ms")
    state = fields.string_field(row, "state")
    if state not in _PRESENCE_OF_STATE:
        raise WireError(f"field 'state' is {state!r}, not one of {sorted(_PRESENCE_OF_STATE)}")
    leaves_ms = row.get("leaves_ms")
    return Registration(
        upstream_id=UpstreamId(key),
        service=ServiceName(fields.string_field(row, "service")),
        address=_address(fields.string_field(row, "address")),
        failure_domain=FailureDomain(fields.string_field(row, "zone")),
        slots=max(1, _bounded(row, "slots", MAX_SLOTS)),
        presence=_PRESENCE_OF_STATE[state],
        started_ms=_bounded(row, "born", MAX_TIME_MS, 0),
        reclaimable=fields.boolean_field(row, "use_spot"),
        # A time span from the writing of the entry, not a point in time.
        leaves_s=None if leaves_ms is None else fields.number_field(row, "leaves_ms") / 1000,
        service_version=VersionName(fields.string_field(row, "version")),
        sequence=_bounded(row, "sequence", MAX_SEQUENCE),
    )


def _address(address: str) -> str:
    ip, _, port = address.rpartition(":")
    try:
        ipaddress.IPv4Address(ip)  # a name would be looked up
    except ValueError:
        raise WireError(f"field 'address' is {address!r}, not IP:PORT") from None
    if not port.isdecimal() or not 0 < int(port) < 65536:
        raise WireError(f"field 'address' is {address!r}, not IP:PORT")
    return address


def _bounded(row: fields.JsonObject, name: str, most: int, default: int | None = None) -> int:
    found = fields.integer_field(row, name, default)
    if abs(found) > most:
        raise WireError(f"field {name!r} is {found:.3g}, beyond {most}")
    return found
