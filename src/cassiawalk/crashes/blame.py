"""Finds the part of prompts that crashes upstreams, among all that were there when they died.

The load is that of many hosts before a few upstreams. A death takes up to 64 requests with several
shared parts each, of which at most one is at fault. Nearly all of the others are told from it by
requests that outlive such a moment: a part at fault has deaths and no survivals.
"""

import collections
import collections.abc as cabc
import dataclasses

from cassiawalk.crashes.losses import Losses
from cassiawalk.crashes.losses import LostRequest
from cassiawalk.crashes.losses import Parts
from cassiawalk.crashes.losses import Progress
from cassiawalk.ids import FailureDomain
from cassiawalk.ids import HostId
from cassiawalk.storeview.promptparts import PartId

# Deaths beyond the survivals since shortly before the first of them, that accuse a part: of
# requests that waited or had just begun, and of all, where only complete answers are survivals.
EARLY_EXCESS = 3
WHOLE_EXCESS = 5
CERTAIN_DEATHS = 5  # from which on parts are accused that nothing tells apart
LATE_SETTLE_S = 1.0  # in which running requests with an innocent part complete
SAME_FAILURE_S = 0.03  # deaths in one domain so close to each other have one cause
SUSPICION_S = 600.0
MAX_DEATHS = 256
MAX_WATCHED_PARTS = 4096
MAX_SURVIVALS_KEPT = 16  # for each part and kind of survival, each for this long:
SURVIVAL_STEP_S = 0.25
# A death is noticed by a question that may take 0.3 s, and is told to other hosts after that.
# Survivals from this long before its time on may be later than the death, and count.
LOOK_BACK_S = 0.5
MAX_RECENT = 512  # survivals of requests, kept for LOOK_BACK_S until a death makes them count
RATE_DEATHS = 5  # the last deaths with a part, with which those without it are compared


@dataclasses.dataclass(kw_only=True)
class _Death:
    """A process that died, and the requests that hosts lost there."""

    failure_domain: FailureDomain
    at_s: float
    by_host: dict[HostId, frozenset[LostRequest]] = dataclasses.field(default_factory=dict)

    def requests(self) -> cabc.Iterator[LostRequest]:
        for lost in self.by_host.values():
            yield from lost


@dataclasses.dataclass(frozen=True, kw_only=True)
class Survival:
    """Requests with a part that outlived the beginning of their answers.

    :param whole: whether their answers were complete.
    """

    at_s: float
    count: int
    whole: bool


def _last_survivals() -> collections.deque[Survival]:
    return collections.deque(maxlen=MAX_SURVIVALS_KEPT)


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Kept:
    """The last survivals of one part.

    Each kind has room of its own. A part that crashes late in answers has many that only began; in
    common room these would push out the time for which it is known that no answer was complete.
    """

    begun: collections.deque[Survival] = dataclasses.field(default_factory=_last_survivals)
    whole: collections.deque[Survival] = dataclasses.field(default_factory=_last_survivals)

    def of_kind(self, whole: bool) -> collections.deque[Survival]:
        """Return the complete answers, or those that only began."""
        return self.whole if whole else self.begun

    def all(self) -> cabc.Iterator[Survival]:
        """Return the survivals of both kinds."""
        yield from self.begun
        yield from self.whole

    def known_since_s(self, *, whole: bool) -> float:
        """Return from when on all survivals are kept, or all complete ones; 0 if always."""
        kinds = (self.whole,) if whole else (self.begun, self.whole)
        return max((kind[0].at_s for kind in kinds if len(kind) == MAX_SURVIVALS_KEPT), default=0.0)


@dataclasses.dataclass(frozen=True, kw_only=True, order=True)
class _Case:
    """What speaks against one part; the greatest case is the strongest."""

    beginnings: int
    deaths: int
    excess: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Accusation:
    """Parts that are at fault together or in part, as nothing tells them apart.

    :param processes: the processes whose deaths stand against them.
    """

    parts: Parts
    processes: tuple[str, ...]


class PartBlame:
    """Deaths and survivals of the last ``SUSPICION_S`` s, by part.

    All times are wall-clock seconds. While no upstream has died it keeps only the last survivals.
    """

    def __init__(self) -> None:
        self._deaths: dict[str, _Death] = {}
        self._by_part: dict[PartId, set[str]] = {}
        self._own: dict[PartId, _Kept] = {}
        self._others: dict[PartId, dict[tuple[HostId, bool], Survival]] = {}
        self._acquitted: dict[PartId, float] = {}
        self._recent: collections.deque[tuple[Parts, Survival]] = collections.deque(
            maxlen=MAX_RECENT
        )

    @property
    def is_empty(self) -> bool:
        """Return whether no death is known."""
        return not self._deaths

    @property
    def last_death_s(self) -> float:
        """Return when the last known death was; 0 if there is none."""
        return max((death.at_s for death in self._deaths.values()), default=0.0)

    def watched(self, parts: Parts) -> Parts:
        """Return those of the parts that a lost request had."""
        return frozenset(part for part in parts if part in self._by_part)

    def note_losses(self, losses: Losses, now_s: float) -> None:
        """Replace what a host lost at a process that died; without requests, it lost nothing."""
        self._forget_before(now_s - SUSPICION_S)
        if now_s - losses.at_s > SUSPICION_S:
            return
        death = self._deaths.get(losses.process)
        if death is None:
            if not losses.requests:
                return
            death = _Death(failure_domain=losses.failure_domain, at_s=losses.at_s)
            self._deaths[losses.process] = death
        death.at_s = min(death.at_s, losses.at_s)
        death.by_host[losses.reporter] = losses.requests
        unwatched = {part for request in losses.requests for part in request.parts}
        unwatched.difference_update(self._by_part)
        for request in losses.requests:
            for part in request.parts:
                self._by_part.setdefault(part, set()).add(losses.process)
        self._count_recent(frozenset(unwatched), losses.at_s - LOOK_BACK_S)
        if not any(death.by_host.values()):
            self._forget(losses.process)
        while len(self._deaths) > MAX_DEATHS or len(self._by_part) > MAX_WATCHED_PARTS:
            self._forget(min(self._deaths, key=lambda name: self._deaths[name].at_s))

    def note_survived(self, parts: Parts, survival: Survival) -> None:
        """Count requests of this host with these parts that survived."""
        self._recent.append((parts, survival))
        for part in self.watched(parts):
            self._count(part, survival)

    def _count_recent(self, parts: Parts, since_s: float) -> None:
        """Count the survivals of parts since a time before they were watched."""
        for survived, survival in self._recent if parts else ():
            if survival.at_s >= since_s:
                for part in parts & survived:
                    self._count(part, survival)

    def _count(self, part: PartId, survival: Survival) -> None:
        kept = self._own.setdefault(part, _Kept()).of_kind(survival.whole)
        last = kept[-1] if kept else None
        if last is not None and survival.at_s - last.at_s < SURVIVAL_STEP_S:
            kept[-1] = dataclasses.replace(last, count=last.count + survival.count)
        else:
            kept.append(survival)

    def note_told(self, part: PartId, host: HostId, survival: Survival) -> None:
        """Replace what another host tells of requests with a part that survived.

        What it tells of complete answers and of others is kept side by side.
        """
        if part in self._by_part:
            self._others.setdefault(part, {})[host, survival.whole] = survival

    def acquit(self, parts: Parts, at_s: float) -> None:
        """Let no death until a time count against parts any more."""
        for part in self.watched(parts):
            self._acquitted[part] = at_s

    def open_questions(self) -> list[tuple[PartId, Survival]]:
        """Return this host's survivals that others may need, with complete answers by themselves.

        These are of parts against which all but one of the deaths stand that an accusation takes,
        and of which the others have not told enough.
        """
        found = []
        for part, processes in self._by_part.items():
            if len(processes) < EARLY_EXCESS - 1 or part not in self._own:
                continue
            times = sorted(self._deaths[process].at_s for process in processes)
            since_s = times[-min(len(times), WHOLE_EXCESS)] - LOOK_BACK_S
            told = [kept for kept in self._others.get(part, {}).values() if kept.at_s >= times[-1]]
            for whole in (False, True):
                if sum(kept.count for kept in told if kept.whole or not whole) >= len(times):
                    continue
                own = self._own[part].of_kind(whole)
                recent = [kept for kept in own if kept.at_s >= since_s]
                if recent:
                    count = sum(kept.count for kept in recent)
                    survival = Survival(at_s=recent[-1].at_s, count=count, whole=whole)
                    found.append((part, survival))
        return found

    def accuse(self, verdicts: cabc.Collection[Parts], now_s: float) -> list[Accusation]:
        """Return the parts that have to be refused from now on.

        :param verdicts: parts that are refused already; deaths that they explain count no more.
        """
        explained = self._deaths_of(verdicts)
        cases = {
            part: case
            for part, processes in self._by_part.items()
            if len(processes) >= EARLY_EXCESS
            and (case := self._case(part, self._unexplained(part, explained), now_s)) is not None
        }
        groups: dict[Parts, _Case] = {}
        for part, case in cases.items():
            group = self._companions(part, cases, self._unexplained(part, explained))
            groups[group] = max(case, groups.get(group, case))
        deaths_of = self._deaths_of(groups)
        groups = {parts: case for parts, case in groups.items() if not _is_wide(parts, deaths_of)}
        blamed = set().union(*explained.values(), *(deaths_of[parts] for parts in groups))
        groups = {
            parts: case
            for parts, case in groups.items()
            if not self._is_as_usual(deaths_of[parts], blamed)
        }
        strongest = max(groups.values(), default=None)
        leading = [parts for parts, case in groups.items() if case == strongest]
        if strongest is None or (len(leading) > 1 and strongest.deaths < CERTAIN_DEATHS):
            return []
        return [
            Accusation(parts=parts, processes=tuple(self.deaths_with(parts, early=False)))
            for parts in sorted(leading, key=sorted)
        ]

    def _deaths_of(self, found: cabc.Iterable[Parts]) -> dict[Parts, set[str]]:
        """Return the processes that died under requests with each of the given parts."""
        return {parts: set(self.deaths_with(parts, early=False)) for parts in found}

    def _is_as_usual(self, processes: cabc.Collection[str], explained: cabc.Container[str]) -> bool:
        """Return whether as many upstreams died lately for no known reason as of these parts.

        :param processes: those that died under requests with the parts.
        :param explained: those that died under requests with any part that is refused or accused.
        """
        own = self._distinct(processes)[-RATE_DEATHS:]
        since_s = own[0].at_s - LOOK_BACK_S
        others = [name for name in self._deaths if name not in explained]
        without = [death for death in self._distinct(others) if death.at_s >= since_s]
        return len(without) >= len(own)

    def deaths_with(self, parts: Parts, *, early: bool) -> list[str]:
        """Return the processes that died under a request with all of these parts.

        :param early: whether to look only at requests whose answers had not gone on for long.
        """
        candidates = set.intersection(*(self._by_part.get(part, set()) for part in parts))
        return [
            process
            for process in sorted(candidates, key=lambda name: self._deaths[name].at_s)
            if any(
                parts <= request.parts and not (early and request.progress is Progress.RUNNING)
                for request in self._deaths[process].requests()
            )
        ]

    def _unexplained(self, part: PartId, explained: cabc.Mapping[Parts, set[str]]) -> cabc.Set[str]:
        """Return the deaths that count against a part; empty if verdicts explain all of them.

        A death without the other parts of a verdict makes all deaths count that it explains.
        """
        processes = self._standing(part)
        if processes <= set().union(*explained.values()):
            return frozenset()
        others = (found for parts, found in explained.items() if part not in parts)
        return processes.difference(*others)

    def _standing(self, part: PartId) -> set[str]:
        """Return the deaths after which a part was not acquitted."""
        processes = self._by_part[part]
        acquitted_s = self._acquitted.get(part)
        if acquitted_s is None:
            return processes
        return {name for name in processes if self._deaths[name].at_s > acquitted_s}

    def _case(self, part: PartId, processes: cabc.Set[str], now_s: float) -> _Case | None:
        """Return what speaks against a part, or None if it is not enough."""
        if len(processes) < EARLY_EXCESS:
            return None
        alone = frozenset((part,))
        early = self._distinct(set(self.deaths_with(alone, early=True)) & processes)
        excess = self._excess(part, early)
        if excess >= EARLY_EXCESS:
            beginnings = sum(_has_beginning(part, death) for death in early)
            return _Case(beginnings=beginnings, deaths=len(early), excess=excess)
        settled_s = now_s - LATE_SETTLE_S
        deaths = [death for death in self._distinct(processes) if death.at_s <= settled_s]
        excess = self._excess(part, deaths, whole=True)
        if excess < WHOLE_EXCESS:
            return None
        return _Case(beginnings=0, deaths=len(deaths), excess=excess)

    def _excess(self, part: PartId, deaths: cabc.Sequence[_Death], *, whole: bool = False) -> int:
        """Return by how many the last deaths exceed the survivals since shortly before them.

        Of all numbers of last deaths, that one counts for which it is greatest; deaths are left
        out from whose time survivals are not kept.
        """
        own = self._own.get(part)
        since_s = 0.0 if own is None else own.known_since_s(whole=whole)
        recent = [death for death in reversed(deaths) if death.at_s >= since_s]
        return max(
            (
                count - self._survivals(part, death.at_s - LOOK_BACK_S, whole=whole)
                for count, death in enumerate(recent, start=1)
            ),
            default=0,
        )

    def _distinct(self, processes: cabc.Iterable[str]) -> list[_Death]:
        """Return deaths by time; of those that one failure of a domain explains, only the first."""
        found = sorted((self._deaths[process] for process in processes), key=lambda d: d.at_s)
        kept: list[_Death] = []
        latest: dict[FailureDomain, float] = {}
        for death in found:
            before_s = latest.get(death.failure_domain)
            latest[death.failure_domain] = death.at_s
            if before_s is None or death.at_s - before_s > SAME_FAILURE_S:
                kept.append(death)
        return kept

    def _survivals(self, part: PartId, since_s: float, *, whole: bool = False) -> int:
        own = self._own.get(part)
        kept = [*(() if own is None else own.all()), *self._others.get(part, {}).values()]
        counted = [found for found in kept if found.at_s >= since_s and (found.whole or not whole)]
        return sum(found.count for found in counted)

    def _companions(
        self, part: PartId, cases: cabc.Mapping[PartId, _Case], processes: cabc.Set[str]
    ) -> Parts:
        """Return a part with those accused ones that each lost request with it had as well."""
        common = set(cases)
        for process in processes:
            for request in self._deaths[process].requests():
                if part in request.parts:
                    common &= request.parts
        return frozenset(common | {part})

    def _forget_before(self, at_s: float) -> None:
        for process in [name for name, death in self._deaths.items() if death.at_s < at_s]:
            self._forget(process)

    def _forget(self, process: str) -> None:
        del self._deaths[process]
        for left in self._by_part.values():
            left.discard(process)
        for part in [name for name, left in self._by_part.items() if not left]:
            del self._by_part[part]
            self._own.pop(part, None)
            self._others.pop(part, None)
            self._acquitted.pop(part, None)


def _is_wide(parts: Parts, deaths_of: cabc.Mapping[Parts, set[str]]) -> bool:
    """Return whether more parts together explain the same deaths and so refuse less."""
    return any(parts < other and deaths_of[parts] <= deaths for other, deaths in deaths_of.items())


def _has_beginning(part: PartId, death: _Death) -> bool:
    return any(
        part in request.parts and request.progress is Progress.BEGINNING
        for request in death.requests()
    )
