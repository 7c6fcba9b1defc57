"""What this host knows of the upstreams, and which of them gets a request."""

from cassiawalk.routing.router import Choice as Choice
from cassiawalk.routing.router import Router as Router
from cassiawalk.routing.table import UpstreamTable as UpstreamTable
from cassiawalk.routing.upstream import UpstreamState as UpstreamState
from cassiawalk.routing.upstream import UpstreamView as UpstreamView
