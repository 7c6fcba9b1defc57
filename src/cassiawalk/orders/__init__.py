"""Orders to model engines, given by one controller for each pool under a lease on the log."""

from cassiawalk.leases.manager import LeaseManager as LeaseManager
from cassiawalk.leases.table import LeaseRecord as LeaseRecord
from cassiawalk.leases.table import LeaseTable as LeaseTable
from cassiawalk.leases.table import PoolClaim as PoolClaim
from cassiawalk.orders.controller import OrderController as OrderController
