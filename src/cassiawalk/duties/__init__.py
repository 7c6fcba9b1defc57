"""Duties that one host at a time performs for all hosts: usage reports and upstream scaling."""

from cassiawalk.duties.api import CALL_LIMIT_S as CALL_LIMIT_S
from cassiawalk.duties.api import DutyApi as DutyApi
from cassiawalk.duties.api import DutyOutcome as DutyOutcome
from cassiawalk.duties.api import FencingToken as FencingToken
from cassiawalk.duties.api import UpstreamOrder as UpstreamOrder
from cassiawalk.duties.api import UsageWindow as UsageWindow
