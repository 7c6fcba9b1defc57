"""Admission of requests, and the order in which admitted requests are dispatched."""

from cassiawalk.admission.fairqueue import FairQueue as FairQueue
from cassiawalk.admission.gate import AdmissionGate as AdmissionGate
from cassiawalk.admission.limits import WorkspaceLimiter as WorkspaceLimiter
from cassiawalk.admission.scheduler import Forecast as Forecast
from cassiawalk.admission.scheduler import Scheduler as Scheduler
from cassiawalk.admission.scheduler import SlotLease as SlotLease
