"""Exclusive leases that are kept on the log, with a fencing number that rises with each holder."""

from cassiawalk.leases.manager import HeldLease as HeldLease
from cassiawalk.leases.manager import LeaseManager as LeaseManager
from cassiawalk.leases.manager import LeaseTimes as LeaseTimes
from cassiawalk.leases.table import Lease as Lease
from cassiawalk.leases.table import LeaseTable as LeaseTable
