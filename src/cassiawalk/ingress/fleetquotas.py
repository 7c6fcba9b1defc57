"""Decides which requests are within their workspace's quota, in small and in large fleets.

In a full mesh of hosts each decides with its own copy of the quota, see ``Quotas``. In a larger
fleet a host admits what fits into its allowance, and asks the fleet's lender for the rest.
"""

import abc
import asyncio
import collections
import collections.abc as cabc
import dataclasses
import enum
import random

from cassiawalk.app import Component
from cassiawalk.clock import Clock
from cassiawalk.ids import WorkspaceName
from cassiawalk.ingress.allowances import CLEARLY_BELOW_RATIO
from cassiawalk.ingress.allowances import Allowances
from cassiawalk.ingress.allowances import UnreportedConsumption
from cassiawalk.ingress.quotas import MAX_RETRY_AFTER_S
from cassiawalk.ingress.quotas import MIN_RETRY_AFTER_S
from cassiawalk.ingress.quotas import Quotas
from cassiawalk.ingress.quotas import amount_of
from cassiawalk.ratelimits.quotamessages import QuotaNeed
from cassiawalk.ratelimits.quotamessages import RejectedDemand
from cassiawalk.ratelimits.quotaorder import Kind
from cassiawalk.ratelimits.quotaorder import kind_of
from cassiawalk.storeview.config import WorkspaceConfig

MAX_BATCH = 256
MAX_WAITING = 1024  # requests of one workspace that wait for the lender
MAX_KINDS = 64
# A kind that the lender rejected is asked for again so much before its tokens are expected, and
# not later than this. The longest wait that callers are told is longer.
EARLY_S = 0.05
MAX_CLOSED_S = 1.0
WAIT_SPREAD = 0.25

Waits = cabc.Sequence[float | None]


class QuotaReason(enum.Enum):
    """What a decision about a quota rests on."""

    KNOWN_CONSUMPTION = "known consumption"
    ALLOWANCE = "allowance"
    LENDER = "lender"
    CACHED_REJECTION = "cached rejection"
    NO_LENDER = "no lender"
    QUEUE_FULL = "too many wait for the lender"


class QuotaSource(abc.ABC):
    """Asks the lender of the fleet for tokens."""

    @property
    @abc.abstractmethod
    def lends(self) -> bool:
        """Return whether this host lends."""

    @abc.abstractmethod
    def decide_here(
        self,
        workspace: WorkspaceConfig,
        wanted: tuple[QuotaNeed, ...],
        rejected: tuple[RejectedDemand, ...],
    ) -> Waits | None:
        """Return the lender's answers if this host lends, else None."""

    @abc.abstractmethod
    def may_ask(self) -> bool:
        """Return whether a lender is known that has not just failed to answer."""

    @abc.abstractmethod
    async def ask(
        self,
        workspace: WorkspaceConfig,
        wanted: tuple[QuotaNeed, ...],
        rejected: tuple[RejectedDemand, ...],
    ) -> Waits | None:
        """Call the lender; return None if none has answered."""


class QuotaListener:
    """Is told of decisions, for logs and metrics."""

    def note_quota(self, name: WorkspaceName, reason: QuotaReason, *, admitted: bool) -> None:
        """Note a decision."""

    def note_call(self, outcome: str, took_s: float) -> None:
        """Note a call to the lender."""

    def note_lends(self, lends: bool) -> None:
        """Note whether this host lends."""


@dataclasses.dataclass(kw_only=True)
class _Waiting:
    """A request that waits for the lender."""

    need: QuotaNeed
    answer: asyncio.Future[float | None]


class _Asking:
    """The requests of one workspace that wait for the lender, and what it said before."""

    def __init__(self) -> None:
        self.waiting: collections.deque[_Waiting] = collections.deque()
        self.is_calling = False
        self._closed: dict[Kind, tuple[float, float]] = {}
        self._rejected: dict[Kind, float] = {}

    def close(self, kind: Kind, wait_s: float, now: float) -> None:
        """Record that tokens for a kind are expected after a time."""
        self._closed.pop(kind, None)
        open_at = now + min(MAX_CLOSED_S, wait_s - EARLY_S)
        self._closed[kind] = (open_at, now + wait_s)
        while len(self._closed) > MAX_KINDS:
            del self._closed[next(iter(self._closed))]

    def closed_s(self, kind: Kind, now: float) -> float | None:
        """Return in how many seconds tokens for a kind are expected, or None to ask for them."""
        open_at, expected_at = self._closed.get(kind, (now, now))
        return expected_at - now if open_at > now else None

    def note_rejected(self, kind: Kind, amount: float) -> None:
        """Record demand of which the lender has to hear."""
        if kind in self._rejected or len(self._rejected) < MAX_KINDS:
            self._rejected[kind] = self._rejected.get(kind, 0.0) + amount

    def pop_rejected(self) -> tuple[RejectedDemand, ...]:
        """Return the demand of which the lender has not heard."""
        found = tuple(
            RejectedDemand(rank=rank, size=size, tokens=tokens)
            for (rank, size), tokens in self._rejected.items()
        )
        self._rejected.clear()
        return found

    def put_back(self, rejected: cabc.Iterable[RejectedDemand]) -> None:
        """Keep demand for the next call, as the lender may not have heard of it."""
        for demand in rejected:
            self.note_rejected((demand.rank, demand.size), demand.tokens)


class FleetQuotas(Component):
    """Admits requests that are within their workspace's quota.

    :param is_full_mesh: returns whether the hosts are a full mesh.
    :param hosts: returns the number of hosts that share the quotas.
    :param clock: its monotonic time must include time for which the host was suspended.
    """

    def __init__(
        self,
        *,
        quotas: Quotas,
        source: QuotaSource,
        is_full_mesh: cabc.Callable[[], bool],
        hosts: cabc.Callable[[], int],
        clock: Clock,
        rng: random.Random,
        listener: QuotaListener,
    ) -> None:
        self._quotas = quotas
        self._source = source
        self._is_full_mesh = is_full_mesh
        self._hosts = hosts
        self._clock = clock
        self._rng = rng
        self._listener = listener
        self._allowances = Allowances()
        self._unreported = UnreportedConsumption()
        self._asking: dict[WorkspaceName, _Asking] = {}

    def take(
        self, workspace: WorkspaceConfig, stated_tokens: int | None, rank: int
    ) -> float | None | asyncio.Future[float | None]:
        """Consume a request's tokens from the quota.

        :return: None if the request is admitted, the seconds after which to retry if it is
            rejected, or a future of these while the lender is asked.
        """
        if workspace.rate_per_s <= 0:
            return None
        if self._is_full_mesh():
            wait_s = self._quotas.take(workspace, stated_tokens)
            return self._note(workspace, QuotaReason.KNOWN_CONSUMPTION, wait_s)
        amount = amount_of(workspace, stated_tokens)
        now = self._clock.monotonic()
        ratio, hosts = self._quotas.tolerance.ratio, self._hosts()
        if self._allowances.take(workspace, amount, ratio=ratio, hosts=hosts, now=now):
            self._quotas.admit(workspace, amount)
            return self._note(workspace, QuotaReason.ALLOWANCE, None)
        return self._take_lent(workspace, QuotaNeed(rank=rank, amount=amount))

    def refund(self, workspace: WorkspaceConfig, stated_tokens: int | None) -> None:
        """Return the tokens of a request that no upstream has run."""
        self._quotas.refund(workspace, stated_tokens)

    def _take_lent(
        self, workspace: WorkspaceConfig, need: QuotaNeed
    ) -> float | None | asyncio.Future[float | None]:
        asking = self._asking.get(workspace.name)
        if asking is None:
            asking = self._asking[workspace.name] = _Asking()
        kind = kind_of(need.rank, need.amount)
        closed_s = asking.closed_s(kind, self._clock.monotonic())
        if closed_s is not None:
            asking.note_rejected(kind, need.amount)
            return self._note(workspace, QuotaReason.CACHED_REJECTION, self._spread(closed_s))
        if self._source.lends:
            waits = self._source.decide_here(workspace, (need,), asking.pop_rejected())
            if waits is not None:
                return self._apply(workspace, asking, need, waits[0])
        if not self._source.may_ask():
            return self._decide_alone(workspace, asking, need)
        if len(asking.waiting) >= MAX_WAITING:
            return self._note(workspace, QuotaReason.QUEUE_FULL, self._spread(MIN_RETRY_AFTER_S))
        waiting = _Waiting(need=need, answer=asyncio.get_running_loop().create_future())
        asking.waiting.append(waiting)
        if not asking.is_calling:
            asking.is_calling = True
            self.spawn(self._ask(workspace, asking), name=f"quota-{workspace.name}")
        return waiting.answer

    async def _ask(self, workspace: WorkspaceConfig, asking: _Asking) -> None:
        """Call the lender until no request waits; one call has all that wait when it begins."""
        batch: list[_Waiting] = []
        try:
            while asking.waiting:
                count = min(MAX_BATCH, len(asking.waiting))
                batch = [asking.waiting.popleft() for _ in range(count)]
                wanted = tuple(found.need for found in batch)
                rejected = asking.pop_rejected()
                waits = await self._source.ask(workspace, wanted, rejected)
                if waits is None:
                    asking.put_back(rejected)
                for index, found in enumerate(batch):
                    wait_s = None if waits is None else waits[index]
                    self._answer(workspace, asking, found, wait_s, is_lent=waits is not None)
                if not self._source.may_ask():
                    while asking.waiting:
                        found = asking.waiting.popleft()
                        self._answer(workspace, asking, found, None, is_lent=False)
        finally:
            asking.is_calling = False
            for found in (*batch, *asking.waiting):  # none, unless this host stops
                if not found.answer.done():
                    found.answer.set_result(MIN_RETRY_AFTER_S)
            asking.waiting.clear()

    def _answer(
        self,
        workspace: WorkspaceConfig,
        asking: _Asking,
        waiting: _Waiting,
        wait_s: float | None,
        *,
        is_lent: bool,
    ) -> None:
        """Tell a request the lender's answer, or without one this host's own decision."""
        need = waiting.need
        if waiting.answer.done():  # its caller has left
            if is_lent and wait_s is None:
                self._quotas.admit(workspace, need.amount, is_lent=True)
                self._quotas.refund_amount(workspace, need.amount)
            return
        decided = (
            self._apply(workspace, asking, need, wait_s)
            if is_lent
            else self._decide_alone(workspace, asking, need)
        )
        waiting.answer.set_result(decided)

    def _apply(
        self, workspace: WorkspaceConfig, asking: _Asking, need: QuotaNeed, wait_s: float | None
    ) -> float | None:
        if wait_s is None:
            self._quotas.admit(workspace, need.amount, is_lent=True)
        else:
            kind = kind_of(need.rank, need.amount)
            asking.close(kind, wait_s, self._clock.monotonic())
            wait_s = self._spread(wait_s)
        return self._note(workspace, QuotaReason.LENDER, wait_s)

    def _decide_alone(
        self, workspace: WorkspaceConfig, asking: _Asking, need: QuotaNeed
    ) -> float | None:
        """Decide without a lender, by what hosts report of their consumption."""
        now = self._clock.monotonic()
        pool = self._quotas.pool(workspace)
        least = CLEARLY_BELOW_RATIO * pool.most
        wait_s: float | None = None
        if pool.level <= least:
            wait_s = (least + need.amount - pool.level) / pool.rate_per_s
        else:
            most = pool.level / max(1.0, pool.share * self._hosts())
            if not self._unreported.admits(workspace.name, need.amount, most=most, now=now):
                wait_s = self._unreported.wait_s(workspace.name, now)
        if wait_s is not None:
            asking.note_rejected(kind_of(need.rank, need.amount), need.amount)
            return self._note(workspace, QuotaReason.NO_LENDER, self._spread(wait_s))
        self._unreported.note(workspace.name, need.amount, now)
        self._quotas.admit(workspace, need.amount)
        return self._note(workspace, QuotaReason.NO_LENDER, None)

    def _spread(self, wait_s: float) -> float:
        """Return a time to retry that is not the same for all callers."""
        spread = 1.0 + WAIT_SPREAD * self._rng.random()
        return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s) * spread)

    def _note(
        self, workspace: WorkspaceConfig, reason: QuotaReason, wait_s: float | None
    ) -> float | None:
        self._listener.note_quota(workspace.name, reason, admitted=wait_s is None)
        return wait_s
