"""Records of accepted requests and their answers."""

from cassiawalk.requests.answer import AnswerEvent as AnswerEvent
from cassiawalk.requests.answer import Ended as Ended
from cassiawalk.requests.answer import Failed as Failed
from cassiawalk.requests.answer import HandedOver as HandedOver
from cassiawalk.requests.answer import Result as Result
from cassiawalk.requests.answer import Rewind as Rewind
from cassiawalk.requests.answer import Text as Text
from cassiawalk.requests.answer import answers as answers
from cassiawalk.requests.answer_log import Cursor as Cursor
from cassiawalk.requests.answer_log import PositionedEvent as PositionedEvent
from cassiawalk.requests.answer_log import parse_cursor as parse_cursor
from cassiawalk.requests.record import RequestRecord as RequestRecord
from cassiawalk.requests.record import RequestState as RequestState
from cassiawalk.requests.store import RequestStore as RequestStore
