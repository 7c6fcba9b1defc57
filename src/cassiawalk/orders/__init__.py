"""Orders to model engines: each pool has one controller, which holds the pool's lease."""

from cassiawalk.leases.manager import LeaseManager as LeaseManager
from cassiawalk.leases.table import LeaseRecord as LeaseRecord
from cassiawalk.leases.table import LeaseTable as LeaseTable
from cassiawalk.leases.table import PoolClaim as PoolClaim
from cassiawalk.orders.controller import OrderController as OrderController
