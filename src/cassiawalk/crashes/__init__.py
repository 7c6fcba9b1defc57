"""Finds requests that crash the upstreams that run them, and keeps them from running."""

from cassiawalk.crashes.deaths import Death as Death
from cassiawalk.crashes.deaths import DeathLog as DeathLog
from cassiawalk.crashes.fingerprint import fingerprint_of as fingerprint_of
from cassiawalk.crashes.guard import CrashGuard as CrashGuard
from cassiawalk.crashes.guard import QuarantinePublisher as QuarantinePublisher
from cassiawalk.crashes.quarantine import ControlQuarantines as ControlQuarantines
from cassiawalk.crashes.solo import SoloTicket as SoloTicket
from cassiawalk.crashes.turns import SoloCall as SoloCall
from cassiawalk.crashes.turns import SoloTurns as SoloTurns
