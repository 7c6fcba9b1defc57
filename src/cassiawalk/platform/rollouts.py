"""Decodes operators' orders of rollouts, and encodes the status that the platform acts on."""

import eliot
import orjson

from cassiawalk.clients import KeyedRecord
from cassiawalk.errors import WireError
from cassiawalk.ids import ServiceName
from cassiawalk.ids import VersionName
from cassiawalk.platform import _fields as fields
from cassiawalk.platform import names
from cassiawalk.rollouts.types import Phase
from cassiawalk.rollouts.types import RolloutOrder
from cassiawalk.rollouts.types import RolloutState

MAX_DURATION_S = 86_400.0

_STATUS_OF_PHASE = {Phase.COMPLETED: "completed", Phase.ROLLED_BACK: "rolled_back"}


def decode_order(record: KeyedRecord, seen_s: float) -> RolloutOrder | None:
    """Return the order in a record, or None if it is another record; log a malformed one.

    :param seen_s: the corrected time in seconds since the epoch.
    """
    if not record.key.startswith(names.ROLLOUT_PREFIX) or record.value is None:
        return None
    try:
        row = fields.parse_object(record.value)
        service = ServiceName(record.key.removeprefix(names.ROLLOUT_PREFIX))
        if fields.string_field(row, "service") != service or not service:
            raise WireError("field 'service' is not the service in the key")
        to = VersionName(fields.string_field(row, "to"))
        if not to:
            raise WireError("field 'to' is empty")
        duration_s = fields.number_field(row, "duration_s")
        if not 0.0 < duration_s <= MAX_DURATION_S:
            raise WireError(f"field 'duration_s' is {duration_s!r}, not in 0 to {MAX_DURATION_S}")
    except WireError as exc:
        eliot.log_message(message_type="rollout:unreadable", key=record.key, reason=exc.message)
        return None
    return RolloutOrder(
        service=service, to=to, duration_s=duration_s, offset=record.offset, seen_s=seen_s
    )


def encode_status(state: RolloutState) -> tuple[str, bytes]:
    """Return the key and the value of the status record of a rollout."""
    status = _STATUS_OF_PHASE.get(state.phase, "running")
    return names.ROLLOUT_PREFIX + state.service, orjson.dumps({"state": status, "to": state.to})
