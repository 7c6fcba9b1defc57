"""Conversion between request records and the snapshots sent to other hosts."""

from cassiawalk.clock import Clock
from cassiawalk.control.state import PoolType
from cassiawalk.handover.messages import HandoverOffer
from cassiawalk.handover.messages import RequestSnapshot
from cassiawalk.ids import HostId
from cassiawalk.requests import RequestRecord
from cassiawalk.requests.answer_log import AnswerLog


def take_snapshot(record: RequestRecord, *, pool_type: PoolType, clock: Clock) -> RequestSnapshot:
    """Return a snapshot of a suspended request."""
    return RequestSnapshot(
        request_id=record.request_id,
        workspace=record.workspace,
        service=record.service,
        kind_name=record.kind_name,
        kind=record.kind,
        pool=record.pool,
        pool_type=pool_type,
        body=record.body,
        prompt=record.prompt,
        deadline_s=record.deadline_s,
        age_s=clock.monotonic() - record.accepted_at,
        share=record.share,
        attempt=record.attempt,
        retries=record.retries,
        answer=record.answer.export(),
        key=record.key,
        upstream=record.upstream,
    )


def restore_record(offer: HandoverOffer, *, host: HostId, clock: Clock) -> RequestRecord:
    """Return a record for an offered request, as a new run on this host."""
    snapshot = offer.snapshot
    return RequestRecord(
        request_id=snapshot.request_id,
        workspace=snapshot.workspace,
        service=snapshot.service,
        kind_name=snapshot.kind_name,
        kind=snapshot.kind,
        pool=snapshot.pool,
        body=snapshot.body,
        prompt=snapshot.prompt,
        deadline_s=snapshot.deadline_s,
        accepted_at=clock.monotonic() - snapshot.age_s,
        share=snapshot.share,
        key=snapshot.key,
        attempt=snapshot.attempt,
        fence=offer.fence,
        upstream=snapshot.upstream,
        answer=AnswerLog(initial=snapshot.answer, run=f"{offer.fence}.{host}"),
        first_text_at=clock.monotonic() if snapshot.answer.text else None,
        retries=snapshot.retries,
    )
