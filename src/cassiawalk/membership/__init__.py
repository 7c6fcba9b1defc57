"""Live and leaving hosts, and the deterministic assignment of roles to hosts."""

from cassiawalk.membership.hosts import Membership as Membership
from cassiawalk.membership.marks import LeavingMark as LeavingMark
from cassiawalk.membership.marks import LeavingSource as LeavingSource
from cassiawalk.membership.rendezvous import rank as rank
