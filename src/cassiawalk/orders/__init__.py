"""Orders to model engines, given by one controller for each pool under a lease on the log."""

from cassiawalk.orders.book import LeaseBook as LeaseBook
from cassiawalk.orders.book import LeaseRecord as LeaseRecord
from cassiawalk.orders.book import PoolClaim as PoolClaim
from cassiawalk.orders.controller import OrderController as OrderController
from cassiawalk.orders.lease import LeaseKeeper as LeaseKeeper
