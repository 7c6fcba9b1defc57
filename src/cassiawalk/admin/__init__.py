"""The operators' HTTP interface and its statement language."""

from cassiawalk.admin.app import AdminApp as AdminApp
from cassiawalk.admin.language import ChangeStatement as ChangeStatement
from cassiawalk.admin.language import ShowStatement as ShowStatement
from cassiawalk.admin.language import StatementError as StatementError
from cassiawalk.admin.language import parse_statement as parse_statement
