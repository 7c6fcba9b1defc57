"""Leases on the log: who may act alone, with a fencing number that rises with each holder."""

from cassiawalk.leases.manager import HeldLease as HeldLease
from cassiawalk.leases.manager import LeaseManager as LeaseManager
from cassiawalk.leases.manager import LeaseTimes as LeaseTimes
from cassiawalk.leases.table import Lease as Lease
from cassiawalk.leases.table import LeaseTable as LeaseTable
