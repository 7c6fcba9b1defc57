"""cassiawalk: a serving system for model engines and plain services on reclaimable hosts."""

from cassiawalk.errors import CassiawalkError as CassiawalkError
from cassiawalk.errors import UsageError as UsageError
from cassiawalk.results import CODES as CODES
from cassiawalk.results import Execution as Execution
from cassiawalk.results import Refusal as Refusal
from cassiawalk.results import ResultCode as ResultCode

__version__ = "0.1.0"
