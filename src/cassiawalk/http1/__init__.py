"""HTTP/1.1 on raw connections: takes callers' requests and passes on upstreams' answers unchanged.

h11 does the framing. ``heads`` refuses requests that h11 accepts but that must not be forwarded.
"""

from cassiawalk.http1.answerevents import AnswerBroken as AnswerBroken
from cassiawalk.http1.answerevents import AnswerData as AnswerData
from cassiawalk.http1.answerevents import AnswerEnd as AnswerEnd
from cassiawalk.http1.answerevents import AnswerEvent as AnswerEvent
from cassiawalk.http1.answerevents import AnswerHead as AnswerHead
from cassiawalk.http1.client import CallError as CallError
from cassiawalk.http1.client import CompleteAnswer as CompleteAnswer
from cassiawalk.http1.client import HttpClient as HttpClient
from cassiawalk.http1.connection import UpstreamConnection as UpstreamConnection
from cassiawalk.http1.connectionlimits import CALLERS_SHARE as CALLERS_SHARE
from cassiawalk.http1.connectionlimits import CHECKS_SHARE as CHECKS_SHARE
from cassiawalk.http1.connectionlimits import MAX_BUFFERED_BYTES as MAX_BUFFERED_BYTES
from cassiawalk.http1.connectionlimits import STALL_TIMEOUT_S as STALL_TIMEOUT_S
from cassiawalk.http1.connectionlimits import Closure as Closure
from cassiawalk.http1.connectionlimits import ConnectionLimits as ConnectionLimits
from cassiawalk.http1.connectionlimits import descriptor_limit as descriptor_limit
from cassiawalk.http1.exchange import CallerLimits as CallerLimits
from cassiawalk.http1.exchange import Exchange as Exchange
from cassiawalk.http1.exchange import ExchangeHandler as ExchangeHandler
from cassiawalk.http1.framing import Ending as Ending
from cassiawalk.http1.framing import Framing as Framing
from cassiawalk.http1.heads import HeadError as HeadError
from cassiawalk.http1.heads import Headers as Headers
from cassiawalk.http1.pool import ConnectError as ConnectError
from cassiawalk.http1.pool import ConnectionPool as ConnectionPool
from cassiawalk.http1.server import HttpListener as HttpListener
