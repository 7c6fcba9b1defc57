"""The operators' HTTP interface and its statement language."""

from cassiawalk.admin.app import AdminApp as AdminApp
from cassiawalk.admin.changes import ChangeService as ChangeService
from cassiawalk.admin.fanout import QueryService as QueryService
from cassiawalk.admin.history import ConfigHistory as ConfigHistory
from cassiawalk.admin.language import StatementError as StatementError
from cassiawalk.admin.language import parse_statement as parse_statement
from cassiawalk.admin.operators import Operators as Operators
from cassiawalk.admin.rows import RowSource as RowSource
