"""Executes accepted requests on upstreams until each has its final event."""

from cassiawalk.dispatch.connector import Connector as Connector
from cassiawalk.dispatch.connector import HttpConnector as HttpConnector
from cassiawalk.dispatch.dispatcher import Dispatcher as Dispatcher
from cassiawalk.dispatch.outcomes import OutcomeRecorder as OutcomeRecorder
from cassiawalk.dispatch.retry import RetryBudget as RetryBudget
from cassiawalk.dispatch.retry import RetryPolicy as RetryPolicy
from cassiawalk.dispatch.runner import Runner as Runner
from cassiawalk.dispatch.watcher import UpstreamWatcher as UpstreamWatcher
