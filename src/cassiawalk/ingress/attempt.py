"""One send of a request to one upstream, from the connection to the end of the answer."""

import enum

from cassiawalk.clock import Clock
from cassiawalk.http1 import AnswerBroken
from cassiawalk.http1 import AnswerData
from cassiawalk.http1 import AnswerEnd
from cassiawalk.http1 import AnswerHead
from cassiawalk.http1 import ConnectError
from cassiawalk.http1 import UpstreamConnection
from cassiawalk.ingress.codec import AnswerMetadata
from cassiawalk.ingress.codec import AttemptHeaders
from cassiawalk.ingress.codec import HeadCodec
from cassiawalk.ingress.job import Job
from cassiawalk.ingress.job import KeptAnswer
from cassiawalk.ingress.placement import Placement
from cassiawalk.ingress.report import IngressReport

WHOLE_ANSWER_BYTES = 262144  # answers up to this size are passed on only when they are whole
URGENCY_LEVELS = 10


class AttemptEnd(enum.Enum):
    """How an attempt ended, and with it whether the request has run."""

    DELIVERED = "delivered"
    UNSENT = "unsent"
    NOT_RUN = "not-run"
    FAILED = "failed"
    BROKEN = "broken"
    BROKEN_MIDWAY = "broken-midway"

    @property
    def surely_not_run(self) -> bool:
        """Return whether the upstream has not run the request and never will."""
        return self in (AttemptEnd.UNSENT, AttemptEnd.NOT_RUN)


class Attempt:
    """Sends a job once and passes its answer on.

    ``first_s`` is how long the head or first event took, or None if there was none.
    """

    def __init__(
        self,
        *,
        job: Job,
        placement: Placement,
        codec: HeadCodec,
        clock: Clock,
        report: IngressReport,
    ) -> None:
        self._job = job
        self._upstream = placement.upstream
        self._placement = placement
        self._codec = codec
        self._clock = clock
        self._report = report
        self._resumes = job.head_sent
        self._begun_at = clock.monotonic()
        self.reason = ""
        self.first_s: float | None = None

    async def run(self) -> AttemptEnd:
        """Return how the attempt ended; a cancelled one closes its connection."""
        upstream, job = self._upstream, self._job
        load = upstream.load
        load.note_sent(job.request_id, self._placement.unread_tokens)
        conn: UpstreamConnection | None = None
        try:
            conn = await upstream.pool.acquire()
            if upstream.leaving:
                self.reason = "the upstream began to leave while a connection was opened"
                return AttemptEnd.UNSENT
            self._send(conn)
            return await self._pass_on(conn)
        except ConnectError as exc:
            self.reason = str(exc)
            upstream.health.note_failure(definite=True)
            return AttemptEnd.UNSENT
        finally:
            load.note_ended(job.request_id)
            self._let_go(conn)

    def _let_go(self, conn: UpstreamConnection | None) -> None:
        if conn is None:
            return
        self._upstream.pool.release(conn)

    def _send(self, conn: UpstreamConnection) -> None:
        job = self._job
        exchange = job.exchange
        holder = self._placement.holder
        added = AttemptHeaders(
            upstream_id=self._upstream.upstream_id,
            left_s=max(0.001, job.ends_at - self._clock.monotonic()),
            workspace=job.workspace_name,
            urgency=min(URGENCY_LEVELS - 1, job.rank) if job.route.rule.is_stream else None,
            last_event=job.events.last_id if self._resumes else None,
            holder_address=None if holder is None else holder.registration.address,
        )
        job.sends += 1
        self._upstream.load.note_cached(job.demand.parts)
        conn.send(
            method=exchange.method,
            target=exchange.target,
            headers=self._codec.build_upstream_head(exchange.headers, exchange.body, added),
            body=exchange.body,
            is_foreign=self._is_foreign,
        )

    def _is_foreign(self, head: AnswerHead) -> bool:
        answered = self._codec.parse_answer_head(head.status, head.headers).request_id
        return answered is not None and answered != self._job.request_id

    async def _pass_on(self, conn: UpstreamConnection) -> AttemptEnd:
        head = await conn.next_event()
        if isinstance(head, AnswerBroken):
            return self._broken(head)
        assert isinstance(head, AnswerHead)
        facts = self._codec.parse_answer_head(head.status, head.headers)
        if facts.load is not None:
            self._upstream.load.note_reported_load(facts.load)
        if facts.not_run or facts.wrong_upstream:
            return await self._not_run(conn, head, facts)
        good = 200 <= head.status < 300
        if good and not facts.signed:
            self.reason = "a success without the upstream's signature"
            self._upstream.health.note_failure()
            return self._after_loss()
        if good and self._job.route.rule.is_stream:
            return await self._pass_stream(conn, head)
        self._note_began()
        return await self._pass_whole(conn, head)

    async def _not_run(
        self, conn: UpstreamConnection, head: AnswerHead, facts: AnswerMetadata
    ) -> AttemptEnd:
        """Read a refusal to its end, so that the connection can be kept."""
        self.reason = f"refused with {head.status}"
        if facts.wrong_upstream:
            self.reason = "another upstream has the address"
            self._upstream.health.note_failure(definite=True)
        event = await conn.next_event()
        while isinstance(event, AnswerData):
            event = await conn.next_event()
        return AttemptEnd.NOT_RUN

    async def _pass_whole(self, conn: UpstreamConnection, head: AnswerHead) -> AttemptEnd:
        """Keep the answer until it is whole, or pass it on as it comes if it is long."""
        parts: list[bytes] = []
        size = 0
        while True:
            event = await conn.next_event()
            if isinstance(event, AnswerBroken):
                return self._broken(event)
            if isinstance(event, AnswerEnd):
                break
            assert isinstance(event, AnswerData)
            parts.append(event.data)
            size += len(event.data)
            if size > WHOLE_ANSWER_BYTES:
                return await self._pass_long(conn, head, b"".join(parts))
        kept = KeptAnswer(
            status=head.status, reason=head.reason, headers=head.headers, body=b"".join(parts)
        )
        self._job.kept = kept
        if head.status >= 500:
            self.reason = f"answered with {head.status}"
            self._upstream.health.note_failure()
            return AttemptEnd.FAILED
        self._upstream.health.note_success()
        return AttemptEnd.DELIVERED

    async def _pass_long(
        self, conn: UpstreamConnection, head: AnswerHead, begun: bytes
    ) -> AttemptEnd:
        exchange = self._job.exchange
        exchange.send_head(head.status, self._codec.build_caller_head(head.headers), head.reason)
        exchange.send_data(begun)
        while True:
            event = await conn.next_event()
            if isinstance(event, AnswerEnd):
                exchange.finish()
                return AttemptEnd.DELIVERED
            if not isinstance(event, AnswerData):
                self.reason = "cut in the middle of the answer"
                return AttemptEnd.BROKEN_MIDWAY
            exchange.send_data(event.data)
            await exchange.writable()

    async def _pass_stream(self, conn: UpstreamConnection, head: AnswerHead) -> AttemptEnd:
        job = self._job
        while True:
            event = await conn.next_event()
            if isinstance(event, AnswerData):
                whole = job.events.feed(event.data)
                if whole:
                    self._pass_events(head, whole)
                    await job.exchange.writable()
                continue
            if isinstance(event, AnswerEnd):
                return self._end_stream(head)
            assert isinstance(event, AnswerBroken)
            job.events.drop_incomplete()
            return self._broken(event)

    def _pass_events(self, head: AnswerHead, whole: bytes) -> None:
        job = self._job
        if not job.head_sent:
            job.exchange.send_head(
                head.status, self._codec.build_caller_head(head.headers), head.reason
            )
        job.exchange.send_data(whole)
        self._upstream.load.note_first_token(job.request_id)
        self._note_began()

    def _end_stream(self, head: AnswerHead) -> AttemptEnd:
        job = self._job
        rest = job.events.take_incomplete()
        if rest or not job.head_sent:
            (
                self._pass_events(head, rest)
                if rest
                else job.exchange.send_head(
                    head.status, self._codec.build_caller_head(head.headers), head.reason
                )
            )
        job.exchange.finish()
        self._upstream.health.note_success()
        return AttemptEnd.DELIVERED

    def _note_began(self) -> None:
        if self.first_s is None:
            self.first_s = self._clock.monotonic() - self._begun_at
        if not self._job.began:
            self._job.began = True
            self._report.note_began(self._job)

    def _broken(self, event: AnswerBroken) -> AttemptEnd:
        self.reason = event.reason
        if not event.closed_unused:
            self._upstream.health.note_failure()
        return self._after_loss()

    def _after_loss(self) -> AttemptEnd:
        """Take a request whose answer is lost for one that has run, also in the usage."""
        self._job.may_have_run = True
        self._note_began()
        return AttemptEnd.BROKEN_MIDWAY if self._job.head_sent else AttemptEnd.BROKEN
