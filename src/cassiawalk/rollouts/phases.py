"""Decides which phase of a rollout follows."""

import dataclasses
import math

from cassiawalk.rollouts.evidence import Finding
from cassiawalk.rollouts.types import Phase
from cassiawalk.rollouts.types import RolloutState

# Probing ends with so many responses of the new version, or after this part of the time until the
# promotion.
PROBED_RESPONSES = 20
MAX_PROBING_PART = 0.5
# A version may turn bad late, so it is promoted no earlier than is needed to complete in time: the
# hosts hear of it within 1.5 s, and running requests end.
LEAD_PART = 0.4
MIN_LEAD_S = 2.5
MAX_LEAD_S = 5.0
# From then on, too little evidence or too few upstreams are no reason to wait.
LAST_PROMOTION_S = 3.0
MIN_RESPONSES = 10
MIN_UPSTREAMS_PART = 0.5  # of the old version's upstreams, that the new one has to have
SETTLE_S = 1.5  # until all hosts send new work to the new version
COMPLETE_MARGIN_S = 1.0  # before the deadline, for the calls of the store
# No completion sooner before the deadline: until then a version that is bad only at full load can
# be rolled back.
FIRST_COMPLETION_S = 2.0
PROBED_UPSTREAMS = 3


@dataclasses.dataclass(frozen=True, kw_only=True)
class RolloutView:
    """What the holder of the duties knows of a rollout.

    :param responses: of the new version.
    :param new_upstreams: how many upstreams of the new version serve.
    :param old_upstreams: how many upstreams of the old version serve.
    :param old_running: the requests that run at the old version, from all hosts.
    """

    finding: Finding
    responses: float
    new_upstreams: int
    old_upstreams: int
    old_running: int


def promotion_at_s(state: RolloutState) -> float:
    """Return when a version that looks good is promoted, in corrected seconds since the epoch."""
    lead_s = min(MAX_LEAD_S, max(MIN_LEAD_S, LEAD_PART * state.duration_s))
    return state.deadline_s - min(lead_s, 0.6 * state.duration_s)


def next_state(
    state: RolloutState, view: RolloutView, *, share: float, now_s: float
) -> RolloutState:
    """Return the state that follows; the same one if nothing changes.

    :param share: the largest part of the requests that an unjudged version may get.
    """
    phase, reason = _next_phase(state, view, now_s)
    if phase is None:
        return dataclasses.replace(state, width=_width(state.phase, view, share))
    return dataclasses.replace(
        state, phase=phase, since_s=now_s, reason=reason, width=_width(phase, view, share)
    )


def _width(phase: Phase, view: RolloutView, share: float) -> int:
    """Return how many upstreams get the requests of an unjudged version.

    They carry a usual load if they are the same part of all as their share of the requests. A
    suspicion needs the responses of several, to tell a bad upstream from a bad version.
    """
    if phase is Phase.PROBING or view.finding.suspicious or view.finding.is_of_one:
        return PROBED_UPSTREAMS
    return max(1, math.ceil(share * view.new_upstreams))


def _next_phase(state: RolloutState, view: RolloutView, now_s: float) -> tuple[Phase | None, str]:
    if state.phase.is_final:
        return None, ""
    if view.finding.is_bad:
        return Phase.ROLLED_BACK, view.finding.reason
    if state.phase is Phase.PROMOTED:
        return _after_promotion(state, view, now_s)
    if now_s >= promotion_at_s(state):
        return _promotion(state, view, now_s)
    probing_s = MAX_PROBING_PART * (promotion_at_s(state) - state.started_s)
    is_probed = view.responses >= PROBED_RESPONSES or now_s - state.started_s >= probing_s
    if state.phase is Phase.PROBING and is_probed and not view.finding.suspicious:
        return Phase.CANARY, f"{view.responses:.0f} responses"
    return None, ""


def _promotion(state: RolloutState, view: RolloutView, now_s: float) -> tuple[Phase | None, str]:
    is_last = now_s >= state.deadline_s - LAST_PROMOTION_S
    if not view.new_upstreams:
        if now_s >= state.deadline_s:
            return Phase.ROLLED_BACK, "no upstream of the version serves"
        return None, ""
    if view.finding.suspicious:
        if not is_last:
            return None, ""
        if view.finding.unconfirmed:
            return Phase.ROLLED_BACK, "a suspicion that is not resolved"
    # Failures and quick responses come before slow ones, so that others may look fine too soon.
    enough = view.responses >= MIN_RESPONSES and not view.finding.is_of_one
    enough = enough and view.new_upstreams >= MIN_UPSTREAMS_PART * view.old_upstreams
    if enough or is_last:
        return Phase.PROMOTED, f"{view.responses:.0f} responses"
    return None, ""


def _after_promotion(
    state: RolloutState, view: RolloutView, now_s: float
) -> tuple[Phase | None, str]:
    if not view.new_upstreams:
        return None, ""
    if now_s >= state.deadline_s - COMPLETE_MARGIN_S:
        return Phase.COMPLETED, f"the deadline; {view.old_running} requests at the old version"
    may_complete = now_s >= state.deadline_s - FIRST_COMPLETION_S
    if may_complete and view.old_running == 0 and now_s - state.since_s >= SETTLE_S:
        return Phase.COMPLETED, "no request at the old version"
    return None, ""
