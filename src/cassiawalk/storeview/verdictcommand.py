"""Lists and lifts the verdicts on parts of prompts that hosts keep in the store."""

import argparse
import asyncio
import collections.abc as cabc
import dataclasses
import sys
import time

import cbor2

from cassiawalk.clients import KeyedLog
from cassiawalk.clients import ReadFailed
from cassiawalk.crashes.evidence import record_key
from cassiawalk.crashes.losses import joined
from cassiawalk.crashes.losses import split
from cassiawalk.crashes.verdicts import VERDICT_S
from cassiawalk.crashes.verdicts import VerdictChange
from cassiawalk.crashes.verdicts import is_in_force
from cassiawalk.errors import WireError
from cassiawalk.peer import Note
from cassiawalk.peer import NoteTopic
from cassiawalk.storeview.suspects import SuspectRecord
from cassiawalk.wire import from_plain
from cassiawalk.wire import load
from cassiawalk.wire import to_plain

FAILED = 1


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of the command."""
    parser.add_argument("--store", required=True, metavar="IP:PORT", help="address of the store")
    actions = parser.add_subparsers(dest="action", required=True)
    actions.add_parser("list", help="print the parts that are refused, one verdict a line")
    lift = actions.add_parser("lift", help="serve requests with these parts again")
    lift.add_argument("parts", metavar="PART[,PART]", help="the parts, as the list prints them")


class VerdictCommand:
    """Reads and writes the hosts' records of verdicts.

    :param stream: the stream of the store in which hosts keep them.
    """

    def __init__(self, *, log: KeyedLog, stream: str) -> None:
        self._log = log
        self._stream = stream

    def run(self, args: argparse.Namespace) -> int:
        """Run the command with parsed arguments; return the exit status."""
        if args.action == "list":
            return asyncio.run(self.list())
        return asyncio.run(self.lift(args.parts))

    async def list(self) -> int:
        """Print the verdicts in force."""
        verdicts = await self._verdicts()
        if verdicts is None:
            return FAILED
        for note in verdicts:
            trials, reporter, *processes = note.items
            age_s = time.time() - note.at_s
            deaths = ", ".join(processes)
            print(
                f"{note.name}: refused for {age_s:.0f} s, told by {reporter}, tried {trials} "
                f"times; deaths: {deaths}"
            )
        return 0

    async def lift(self, parts: str) -> int:
        """Lift one verdict on all hosts, which hear of it from the store."""
        name = joined(split(parts))
        verdicts = await self._verdicts()
        if verdicts is None:
            return FAILED
        found = next((note for note in verdicts if note.name == name), None)
        if found is None:
            known = "; ".join(note.name for note in verdicts) or "none"
            print(f"no verdict on {name!r}; there are: {known}", file=sys.stderr)
            return FAILED
        now_s = max(time.time(), found.at_s + 0.001)
        items = (VerdictChange.LIFTED.value,)
        lifted = dataclasses.replace(found, at_s=now_s, until_s=now_s + VERDICT_S, items=items)
        record = cbor2.dumps(to_plain(SuspectRecord(notes=(lifted,))))
        key = record_key(lifted)
        assert key is not None
        if not await self._log.put(stream=self._stream, key=key, value=record):
            print("the store did not confirm the change; list the verdicts", file=sys.stderr)
            return FAILED
        print(f"lifted: {name}")
        return 0

    async def _verdicts(self) -> cabc.Sequence[Note] | None:
        batch = await self._log.newest(stream=self._stream)
        if isinstance(batch, ReadFailed):
            print(f"the store can't be read: {batch.reason}", file=sys.stderr)
            return None
        return [
            note
            for record in batch.records
            if record.value is not None
            for note in _notes_in(record.key, record.value)
            if note.topic is NoteTopic.REFUSED_PARTS and is_in_force(note)
        ]


def _notes_in(key: str, value: bytes) -> tuple[Note, ...]:
    try:
        return from_plain(SuspectRecord, load(value)).notes
    except (WireError, AttributeError, TypeError, ValueError) as exc:
        print(f"the record {key!r} can't be read: {exc}", file=sys.stderr)
        return ()
