"""State of the upstreams as this host knows it, and the choice of an upstream for a request."""

from cassiawalk.routing.router import Choice as Choice
from cassiawalk.routing.router import Router as Router
from cassiawalk.routing.table import UpstreamTable as UpstreamTable
from cassiawalk.routing.upstream import UpstreamState as UpstreamState
from cassiawalk.routing.upstream import UpstreamView as UpstreamView
