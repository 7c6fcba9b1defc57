"""Configuration: commands on the log, folded to the same state on all hosts."""

from cassiawalk.control.commands import Command as Command
from cassiawalk.control.commands import ObjectType as ObjectType
from cassiawalk.control.commands import Operation as Operation
from cassiawalk.control.commands import Verb as Verb
from cassiawalk.control.confirmation import Confirmation as Confirmation
from cassiawalk.control.confirmation import Confirmations as Confirmations
from cassiawalk.control.fold import fold as fold
from cassiawalk.control.follower import ControlFollower as ControlFollower
from cassiawalk.control.follower import Freshness as Freshness
from cassiawalk.control.housekeeping import Housekeeper as Housekeeper
from cassiawalk.control.publisher import CommandOutcome as CommandOutcome
from cassiawalk.control.publisher import CommandPublisher as CommandPublisher
from cassiawalk.control.relay import RelayNode as RelayNode
from cassiawalk.control.state import CommandVerdict as CommandVerdict
from cassiawalk.control.state import ConfigState as ConfigState
from cassiawalk.control.state import Verdict as Verdict
