"""Detection and quarantine of requests that crash the upstreams that run them."""

from cassiawalk.crashes.deaths import Death as Death
from cassiawalk.crashes.deaths import DeathLog as DeathLog
from cassiawalk.crashes.evidence import Evidence as Evidence
from cassiawalk.crashes.guard import CrashGuard as CrashGuard
from cassiawalk.crashes.isolation import IsolatedRun as IsolatedRun
from cassiawalk.crashes.leases import IsolationLeaseCall as IsolationLeaseCall
from cassiawalk.crashes.leases import IsolationLeases as IsolationLeases
from cassiawalk.crashes.parts import PartGuard as PartGuard
from cassiawalk.crashes.quarantine import QuarantinePublisher as QuarantinePublisher
from cassiawalk.crashes.quarantine import SharedNotesOnly as SharedNotesOnly
