"""At-most-once execution: idempotency keys, claims and recorded outcomes."""

from cassiawalk.once.checkpoint import LedgerEntry as LedgerEntry
from cassiawalk.once.client import ClaimClient as ClaimClient
from cassiawalk.once.decisions import ClaimDecision as ClaimDecision
from cassiawalk.once.decisions import Granted as Granted
from cassiawalk.once.decisions import Taken as Taken
from cassiawalk.once.decisions import Unavailable as Unavailable
from cassiawalk.once.ledger import Ledger as Ledger
from cassiawalk.once.placement import Placement as Placement
from cassiawalk.once.pool import SequencerPool as SequencerPool
from cassiawalk.once.records import Abandon as Abandon
from cassiawalk.once.records import Claim as Claim
from cassiawalk.once.records import Outcome as Outcome
from cassiawalk.once.records import partition_of as partition_of
from cassiawalk.once.records import stream_of as stream_of
from cassiawalk.once.sequencer import Sequencer as Sequencer
