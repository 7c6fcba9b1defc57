"""Decides which requests of a workspace get tokens while more is asked for than its quota.

The load is a workspace that asks for several times its quota, with requests of very different
sizes: one of 17,000 tokens uses up what 85 of 200 would need. Requests of higher rank go first, and
among equal ranks smaller ones. This is trunk reservation on the lender's token bucket: kinds that
fit into the quota together may use all of the bucket, the others leave a reserve for them. Each of
the others gets at least a part of the common service rate.
"""

import math

# Of the common service rate. A quarter is required; replies that are lost take some of it.
FLOOR_RATIO = 0.33
RESERVE_S = 0.1  # of the quota's rate
MAX_RESERVE_RATIO = 0.25  # of the burst
DEMAND_TIME_CONSTANT_S = 3.0
# A few requests at the start of a demand are no overload; the burst is for them.
MIN_OBSERVED_S = 3.0
ORDER_INTERVAL_S = 0.25
MIN_DEMAND_PER_S = 1e-6
MIN_RATE_RATIO = 0.01  # of the quota, for the times that are told
MAX_KINDS = 64

Kind = tuple[int, int]


def kind_of(rank: int, amount: float) -> Kind:
    """Return the kind of a request: its rank, and its size as a power of two."""
    return rank, int(amount).bit_length()


class QuotaOrder:
    """The demand of each kind of one workspace, and what follows for each."""

    def __init__(self, *, now: float) -> None:
        self._started_at = now
        self._decayed_at = now
        self._ordered_at = -math.inf
        self._demand: dict[Kind, float] = {}
        self._largest: dict[Kind, float] = {}
        self._unlent = 0.0
        self._rates: dict[Kind, float] = {}
        self._floors: dict[Kind, float] = {}
        self._credit: dict[Kind, float] = {}
        self._expected_at: dict[Kind, float] = {}
        self._fitting: frozenset[Kind] = frozenset()
        self._ordered: frozenset[Kind] = frozenset()
        self._marginal: Kind | None = None
        self._reserve = 0.0
        self.overloaded = False

    def note(self, kind: Kind, amount: float, now: float) -> None:
        """Record demand, whether it gets tokens or not."""
        self._decay(now)
        self._demand[kind] = self._demand.get(kind, 0.0) + amount / DEMAND_TIME_CONSTANT_S

    def note_unlent(self, amount: float, now: float) -> None:
        """Record consumption of the quota that was not lent."""
        self._decay(now)
        self._unlent = max(0.0, self._unlent + amount / DEMAND_TIME_CONSTANT_S)

    def admits(
        self, kind: Kind, amount: float, *, level: float, rate_per_s: float, most: float, now: float
    ) -> bool:
        """Return whether a request gets its tokens.

        :param level: the tokens that lie ready.
        :param rate_per_s: how many tokens become ready in a second.
        :param most: how many tokens can lie ready.
        """
        self._largest[kind] = max(amount, self._largest.get(kind, 0.0))
        self._order(kind, rate_per_s, most, now)
        if level < amount:
            return False
        credit = self._credit.get(kind, 0.0)
        if level < min(most, amount + self._reserve_for(kind)) and credit < amount:
            return False
        self._credit[kind] = max(0.0, credit - amount)
        return True

    def wait_s(
        self, kind: Kind, amount: float, *, level: float, rate_per_s: float, now: float
    ) -> float:
        """Return in how many seconds tokens for a rejected request are expected.

        Rejected requests of one kind are told one time after another, at the rate at which the
        kind gets tokens.
        """
        least_s = (amount + self._reserve_for(kind) - level) / rate_per_s
        if not self.overloaded or kind in self._fitting:
            return least_s
        kind_rate = max(MIN_RATE_RATIO * rate_per_s, self._rates.get(kind, 0.0))
        expected_at = max(now, self._expected_at.get(kind, now)) + amount / kind_rate
        self._expected_at[kind] = expected_at
        return max(least_s, expected_at - now)

    def limit_wait(self, kind: Kind, wait_s: float, now: float) -> None:
        """Record that a rejected request was told to wait for ``wait_s`` at most."""
        if kind in self._expected_at:
            self._expected_at[kind] = min(self._expected_at[kind], now + wait_s)

    def _reserve_for(self, kind: Kind) -> float:
        """Return how many tokens a kind leaves for those before it."""
        if not self.overloaded or kind in self._fitting:
            return 0.0
        return self._reserve if kind == self._marginal else 2 * self._reserve

    def _decay(self, now: float) -> None:
        factor = math.exp(-max(0.0, now - self._decayed_at) / DEMAND_TIME_CONSTANT_S)
        self._decayed_at = now
        self._unlent *= factor
        for kind in self._demand:
            self._demand[kind] *= factor

    def _order(self, kind: Kind, rate_per_s: float, most: float, now: float) -> None:
        elapsed_s = now - self._ordered_at
        # Callers choose the kinds; one beyond those that are kept causes no order of its own.
        is_known = kind in self._ordered or len(self._ordered) >= MAX_KINDS
        if elapsed_s < ORDER_INTERVAL_S and is_known:
            return
        self._ordered_at = now
        self._decay(now)
        self._add_credit(min(1.0, elapsed_s))
        self._forget_rare()
        observed_s = max(MIN_OBSERVED_S, now - self._started_at)
        scale = 1.0 / (1.0 - math.exp(-observed_s / DEMAND_TIME_CONSTANT_S))
        demand = {kind: scale * found for kind, found in self._demand.items()}
        rate_per_s = max(MIN_RATE_RATIO * rate_per_s, rate_per_s - scale * self._unlent)
        total = sum(demand.values())
        self._ordered = frozenset(demand)
        self.overloaded = total > rate_per_s
        if not self.overloaded:
            self._credit.clear()
            self._expected_at.clear()
            return
        self._allot(demand, rate_per_s, total)
        largest = max(self._largest.values(), default=0.0)
        self._reserve = min(MAX_RESERVE_RATIO * most, max(RESERVE_S * rate_per_s, largest))

    def _allot(self, demand: dict[Kind, float], rate_per_s: float, total: float) -> None:
        """Divide the rate: a floor for each kind, and the remainder in order."""
        floor = FLOOR_RATIO * rate_per_s / total
        self._floors = {kind: floor * found for kind, found in demand.items()}
        left = rate_per_s - floor * total
        fitting = set()
        self._marginal = None
        for kind in sorted(demand):
            more = min(left, demand[kind] - self._floors[kind])
            self._rates[kind] = self._floors[kind] + more
            left -= more
            if more >= demand[kind] - self._floors[kind]:
                fitting.add(kind)
            elif self._marginal is None:
                self._marginal = kind
        self._fitting = frozenset(fitting)

    def _add_credit(self, elapsed_s: float) -> None:
        for kind, floor in self._floors.items():
            most = max(floor, self._largest.get(kind, 0.0))
            self._credit[kind] = min(most, self._credit.get(kind, 0.0) + floor * elapsed_s)

    def _forget_rare(self) -> None:
        """Keep the kinds with the most demand, so that callers can't make the tables grow."""
        kept = sorted(self._demand, key=lambda kind: -self._demand[kind])[:MAX_KINDS]
        self._demand = {
            kind: self._demand[kind] for kind in kept if self._demand[kind] > MIN_DEMAND_PER_S
        }
        for table in (self._largest, self._floors, self._rates, self._credit, self._expected_at):
            for kind in [kind for kind in table if kind not in self._demand]:
                del table[kind]
