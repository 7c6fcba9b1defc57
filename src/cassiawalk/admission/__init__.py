"""Which requests are accepted, and in which order accepted ones are dispatched."""

from cassiawalk.admission.fairqueue import FairQueue as FairQueue
from cassiawalk.admission.gate import AdmissionGate as AdmissionGate
from cassiawalk.admission.limits import WorkspaceLimiter as WorkspaceLimiter
from cassiawalk.admission.scheduler import Expectation as Expectation
from cassiawalk.admission.scheduler import Scheduler as Scheduler
from cassiawalk.admission.scheduler import SlotLease as SlotLease
