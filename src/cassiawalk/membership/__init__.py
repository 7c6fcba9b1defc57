"""Live and leaving hosts, and the deterministic spread of roles over them."""

from cassiawalk.membership.hosts import Membership as Membership
from cassiawalk.membership.marks import LeavingMark as LeavingMark
from cassiawalk.membership.marks import LeavingSource as LeavingSource
from cassiawalk.membership.rendezvous import rank as rank
