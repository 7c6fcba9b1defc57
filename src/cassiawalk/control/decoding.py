"""Decoding of ``control`` stream entries, with the same result on all hosts."""

import typing as t

import eliot

from cassiawalk.clients import LogEntry
from cassiawalk.control.commands import FORMAT_VERSION
from cassiawalk.control.commands import records
from cassiawalk.control.fold import DecodedEntry
from cassiawalk.errors import CassiawalkError
from cassiawalk.errors import WireError
from cassiawalk.ids import Offset
from cassiawalk.wire import load


class IncompatibleError(CassiawalkError):
    """A record or state has a format version that this host doesn't support."""

    def __init__(self, *, what: str, version: int) -> None:
        super().__init__(
            f"{what} has format version {version}; this host supports up to {FORMAT_VERSION}"
        )


def decode_entry(entry: LogEntry) -> DecodedEntry:
    """Return the entry's messages, or none if it can't be decoded.

    All hosts skip the same entries, so an invalid one doesn't make their states differ.

    :raises IncompatibleError: if a message has a format version that is too new.
    """
    try:
        messages = _messages(entry.offset, load(entry.payload)) if entry.payload else []
    except (WireError, ArithmeticError, AttributeError, LookupError, TypeError, ValueError) as exc:
        # The payload may be any CBOR. An entry that can't be decoded has no effect.
        eliot.log_message(message_type="control:bad-entry", offset=entry.offset, fault=str(exc))
        messages = []
    return DecodedEntry(offset=entry.offset, messages=messages)


def _messages(offset: Offset, plain: t.Any) -> list[object]:
    if not isinstance(plain, list):
        raise WireError("expected a list of messages")
    for item in plain:
        version = item.get("version") if isinstance(item, dict) else None
        if isinstance(version, int) and version > FORMAT_VERSION:
            raise IncompatibleError(what=f"the record at offset {offset}", version=version)
    decoded = [records.from_plain(item) for item in plain]
    return [message for message in decoded if message is not None]
