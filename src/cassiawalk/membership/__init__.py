"""Live and leaving hosts, and the deterministic spread of roles over them."""

from cassiawalk.membership.hosts import LeavingSource as LeavingSource
from cassiawalk.membership.hosts import Membership as Membership
from cassiawalk.membership.rendezvous import rank as rank
