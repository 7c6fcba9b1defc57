"""The inputs that all components of a host are built from."""

import dataclasses
import random
import socket

from cassiawalk.admin import Operators
from cassiawalk.clock import Clock
from cassiawalk.settings import Settings


@dataclasses.dataclass(frozen=True, kw_only=True)
class NodeContext:
    """Settings, time, random numbers, secrets and sockets of one host.

    ``incarnation`` identifies this process, so that peers can tell it from a restarted one.
    """

    cfg: Settings
    clock: Clock
    rng: random.Random
    incarnation: str
    secret: str = dataclasses.field(repr=False)
    operators: Operators = dataclasses.field(repr=False)
    sockets: dict[str, socket.socket]
