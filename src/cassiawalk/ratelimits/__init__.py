"""Rates that all hosts together keep to: who lends them, and how a host borrows."""

from cassiawalk.ratelimits.authority import FleetContact as FleetContact
from cassiawalk.ratelimits.authority import Lending as Lending
from cassiawalk.ratelimits.authority import LendingAuthority as LendingAuthority
from cassiawalk.ratelimits.book import LimitBook as LimitBook
from cassiawalk.ratelimits.lender import PermitLender as PermitLender
from cassiawalk.ratelimits.messages import NamedLimit as NamedLimit
from cassiawalk.ratelimits.messages import PermitCall as PermitCall
from cassiawalk.ratelimits.messages import PermitReply as PermitReply
from cassiawalk.ratelimits.permits import Permit as Permit
from cassiawalk.ratelimits.permits import Permits as Permits
