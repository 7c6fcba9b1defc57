"""One attempt of a request at one upstream, from the connection to the end of the answer."""

import asyncio

from cassiawalk.clock import Clock
from cassiawalk.http1 import AnswerBroken
from cassiawalk.http1 import AnswerData
from cassiawalk.http1 import AnswerEnd
from cassiawalk.http1 import AnswerEvent
from cassiawalk.http1 import AnswerHead
from cassiawalk.http1 import ConnectError
from cassiawalk.http1 import Ending
from cassiawalk.http1 import UpstreamConnection
from cassiawalk.http1.heads import header_value
from cassiawalk.http1.pacing import EVENT_STREAM_BYTE_S
from cassiawalk.ingress.codec import AnswerMetadata
from cassiawalk.ingress.codec import AttemptHeaders
from cassiawalk.ingress.codec import HeadCodec
from cassiawalk.ingress.job import BufferedAnswer
from cassiawalk.ingress.job import Job
from cassiawalk.ingress.outcome import AnswerTrace
from cassiawalk.ingress.outcome import AttemptEnd
from cassiawalk.ingress.permitting import PermittedPlacer
from cassiawalk.ingress.placementresult import Placement
from cassiawalk.ingress.report import IngressReport
from cassiawalk.ingress.screening import Screening
from cassiawalk.ingress.stopping import StopPlan
from cassiawalk.ratelimits import LimitBook
from cassiawalk.storeview.directory import Directory

# Answers up to this size, other than streams, are sent to the caller only if they are complete.
MAX_BUFFERED_ANSWER_BYTES = 262144
# Bounds on an event that has not ended; its work is in seconds of a core.
MAX_EVENT_BYTES = 262144
MAX_EVENT_WORK_S = 0.1
# A longer answer that has not ended at the deadline counts against its upstream.
MAX_UNENDED_BYTES = 1048576
# After this much work for one answer, others have their turn; in seconds of a core.
TURN_WORK_S = 0.001
MAX_REFUSAL_BYTES = 65536
URGENCY_LEVELS = 10
EVENT_STREAM = b"text/event-stream"


class Attempt:
    """Sends a job to one upstream and forwards the answer to the caller.

    ``trace`` is what it saw of the answer, ``started_at`` when it began, in monotonic seconds, and
    ``events_before`` how many events of the stream had come before it.
    """

    def __init__(
        self,
        *,
        job: Job,
        placement: Placement,
        codec: HeadCodec,
        clock: Clock,
        report: IngressReport,
        screening: Screening,
        directory: Directory,
        placer: PermittedPlacer,
        limits: LimitBook,
        stopping: StopPlan,
    ) -> None:
        self._stopping = stopping
        self._placer = placer
        self._limits = limits
        self._screening = screening
        self._directory = directory
        self._job = job
        self._upstream = placement.upstream
        self._placement = placement
        self._codec = codec
        self._clock = clock
        self._report = report
        self._is_resumed = job.head_sent
        self.started_at = clock.monotonic()
        self._events_before = job.events.with_content
        self.events_before = job.events.events
        self.trace = AnswerTrace()

    async def run(self) -> AttemptEnd:
        """Run the attempt and return how it ended; if cancelled, its connection is closed."""
        upstream, job = self._upstream, self._job
        load = upstream.load
        load.note_sent(job.request_id, self._placement.unread_tokens)
        conn: UpstreamConnection | None = None
        try:
            conn = await upstream.pool.acquire()
            if not upstream.is_usable:
                self.trace.reason = (
                    "the upstream began to leave, or asked for time, while a connection was opened"
                )
                return AttemptEnd.UNSENT
            if not self._placer.covers(self._placement.permit, upstream):
                self.trace.reason = "no permit for the limit that the upstream names"
                return AttemptEnd.UNSENT
            if not job.exchange.check_caller():
                self.trace.reason = "the caller left while a connection was opened"
                return AttemptEnd.UNSENT
            if not self._stopping.can_finish(job.ends_at):
                self.trace.reason = "this host stops before the request's time limit"
                return AttemptEnd.UNSENT
            self._send(conn)
            return await self._forward_answer(conn)
        except ConnectError as exc:
            self.trace.reason = str(exc)
            upstream.health.note_failure(definite=True)
            return AttemptEnd.UNSENT
        except asyncio.CancelledError:
            self._note_unended(conn)
            raise
        finally:
            load.note_ended(job.request_id)
            self._release(conn)

    def _note_unended(self, conn: UpstreamConnection | None) -> None:
        """Count an answer without end against the upstream, unless its caller has left."""
        if conn is None or conn.answer_bytes < MAX_UNENDED_BYTES:
            return
        if self._clock.monotonic() >= self._job.ends_at:
            self._upstream.health.note_failure()

    def _release(self, conn: UpstreamConnection | None) -> None:
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
            last_event=job.events.last_id if self._is_resumed else None,
            holder_address=None if holder is None else holder.registration.address,
        )
        job.sends += 1
        self._upstream.load.note_cached(job.demand.parts)
        self._placement.note_sent()
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

    async def _next_event(self, conn: UpstreamConnection) -> AnswerEvent:
        event = await conn.next_event()
        if isinstance(event, AnswerHead):
            self.trace.status = event.status
            self.trace.framing = event.framing
        elif isinstance(event, AnswerEnd | AnswerBroken):
            self.trace.ending = event.ending
        return event

    async def _next_body_event(self, conn: UpstreamConnection) -> AnswerEvent:
        """Return the next event of a body that is passed on.

        An end that only the connection tells is taken for the death of the upstream unless that is
        known to be alive, and for a break if the connection is reset after it.
        """
        event = await self._next_event(conn)
        if not isinstance(event, AnswerEnd) or event.ending is not Ending.CLOSED:
            return event
        has_outlived = await conn.has_taken_request() and await self._screening.has_outlived(
            self._job, self._upstream
        )
        if conn.is_reset:
            self.trace.ending = Ending.RESET
            reason = "the connection was reset after the end of its stream"
            return AnswerBroken(reason=reason, ending=Ending.RESET)
        if has_outlived:
            return event
        reason = "the upstream was not there when its connection had ended the answer"
        return AnswerBroken(reason=reason, ending=event.ending)

    async def _forward_answer(self, conn: UpstreamConnection) -> AttemptEnd:
        head = await self._next_event(conn)
        if isinstance(head, AnswerBroken):
            return self._broken(head)
        assert isinstance(head, AnswerHead)
        metadata = self._codec.parse_answer_head(head.status, head.headers)
        if metadata.claims_not_run and metadata.request_id is None and conn.requests > 1:
            # It may be a copy of an earlier answer on this connection; the request may run now.
            conn.close()
            return self._lose_answer("a refusal that names no request came on a used connection")
        self._note_availability(metadata)
        if metadata.load is not None:
            self._upstream.load.note_reported_load(metadata.load)
        if metadata.not_run:
            return await self._read_refusal(conn, head, metadata)
        if metadata.claims_not_run:
            return await self._withhold(conn, head)
        good = 200 <= head.status < 300
        if good and not metadata.signed:
            return self._lose_answer("the answer reports success without the upstream's signature")
        if good and self._job.route.rule.is_stream and _may_hold_events(head):
            return await self._forward_stream(conn, head)
        if self._is_resumed:
            return self._reject_rest(conn, head)
        self._note_started()
        if good and not self._job.demand.parts:
            self._placement.note_answer(self._clock.monotonic() - self.started_at)
        return await self._forward_buffered(conn, head)

    def _note_availability(self, metadata: AnswerMetadata) -> None:
        """Act on what the upstream says of the requests it still wants."""
        upstream = self._upstream
        if metadata.unreadable:
            self._report.note_unreadable(upstream, metadata.unreadable)
        if metadata.wrong_upstream:
            return
        self.trace.limit_per_s = metadata.limit_per_s
        self._limits.note_answer(upstream.process, metadata.limit_per_s)
        if metadata.leaving and not upstream.said_leaving:
            self._report.note_said_leaving(self._job, upstream)
            self._directory.note_said_leaving(upstream)
        if metadata.pause_s > 0.0 and upstream.pause.note_asked(metadata.pause_s):
            self._report.note_pause(self._job, upstream, metadata.pause_s)

    async def _read_refusal(
        self, conn: UpstreamConnection, head: AnswerHead, metadata: AnswerMetadata
    ) -> AttemptEnd:
        """Read a refusal that proves that the request has not run."""
        self.trace.reason = f"the upstream refused with status {head.status}"
        if metadata.wrong_upstream:
            self.trace.reason = "another upstream answered at this address"
            self._upstream.superseded = True
            self._upstream.health.note_failure(definite=True)
        else:
            self._upstream.health.note_refusal()
        await self._skip_body(conn)
        return AttemptEnd.NOT_RUN

    async def _withhold(self, conn: UpstreamConnection, head: AnswerHead) -> AttemptEnd:
        """Read an answer that callers would take for a proof that the request has not run."""
        self._note_started()
        broken = await self._skip_body(conn)
        if broken is not None:
            return self._broken(broken)
        self.trace.reason = f"the upstream's status {head.status} is no proof that it has not run"
        if head.status >= 500:
            self._upstream.health.note_failure()
        else:
            self._upstream.health.note_refusal()
        return AttemptEnd.FAILED

    async def _skip_body(self, conn: UpstreamConnection) -> AnswerBroken | None:
        """Read a body that is not passed on to its end, so that the connection can be reused.

        :return: how the answer broke off; None if it did not, or was too long to be read.
        """
        event = await self._next_event(conn)
        while isinstance(event, AnswerData):
            if conn.answer_bytes > MAX_REFUSAL_BYTES:
                self._upstream.health.note_failure()
                conn.close()
                return None
            event = await self._next_event(conn)
        return event if isinstance(event, AnswerBroken) else None

    def _reject_rest(self, conn: UpstreamConnection, head: AnswerHead) -> AttemptEnd:
        """Give up an answer that can't go on with the stream whose head the caller has."""
        self.trace.reason = f"the rest of a stream was answered with status {head.status}"
        if head.status >= 500:
            self._upstream.health.note_failure()
        conn.close()
        return AttemptEnd.FAILED

    async def _forward_buffered(self, conn: UpstreamConnection, head: AnswerHead) -> AttemptEnd:
        """Buffer the answer until it is complete, or forward it as it arrives if it is long."""
        parts: list[bytes] = []
        size = 0
        while True:
            event = await self._next_body_event(conn)
            if isinstance(event, AnswerBroken):
                return self._broken(event)
            if isinstance(event, AnswerEnd):
                break
            assert isinstance(event, AnswerData)
            parts.append(event.data)
            size += len(event.data)
            if size > MAX_BUFFERED_ANSWER_BYTES:
                return await self._forward_long(conn, head, b"".join(parts))
        buffered = BufferedAnswer(
            status=head.status, reason=head.reason, headers=head.headers, body=b"".join(parts)
        )
        self._job.buffered = buffered
        self._note_status(head.status)
        return AttemptEnd.FAILED if head.status >= 500 else AttemptEnd.DELIVERED

    def _note_status(self, status: int) -> None:
        """Record the status of a complete answer as success or failure of the upstream."""
        if status < 500:
            self._upstream.health.note_success()
            return
        self.trace.reason = f"the upstream answered with status {status}"
        self._upstream.health.note_failure()

    async def _forward_long(
        self, conn: UpstreamConnection, head: AnswerHead, prefix: bytes
    ) -> AttemptEnd:
        exchange = self._job.exchange
        self._send_head(head)
        exchange.send_data(prefix)
        while True:
            event = await self._next_body_event(conn)
            if isinstance(event, AnswerBroken):
                return self._broken(event)
            if isinstance(event, AnswerEnd):
                break
            assert isinstance(event, AnswerData)
            exchange.send_data(event.data)
            await exchange.writable()
        exchange.finish()
        self._note_status(head.status)
        return AttemptEnd.DELIVERED

    async def _forward_stream(self, conn: UpstreamConnection, head: AnswerHead) -> AttemptEnd:
        job = self._job
        work_before_s = turn_before_s = conn.work_s
        while True:
            event = await self._next_body_event(conn)
            if isinstance(event, AnswerData):
                conn.note_work(EVENT_STREAM_BYTE_S * len(event.data))
                if conn.work_s - turn_before_s > TURN_WORK_S:
                    turn_before_s = conn.work_s
                    await asyncio.sleep(0)
                complete = job.events.feed(event.data)
                if complete:
                    self._forward_events(head, complete)
                    await job.exchange.writable()
                    work_before_s = conn.work_s
                too_long = job.events.incomplete_bytes > MAX_EVENT_BYTES
                if too_long or conn.work_s - work_before_s > MAX_EVENT_WORK_S:
                    return self._give_up_event(conn)
                continue
            if isinstance(event, AnswerEnd):
                return self._end_stream(conn, head)
            assert isinstance(event, AnswerBroken)
            self.trace.incomplete_bytes = len(job.events.take_incomplete())
            return self._broken(event)

    def _give_up_event(self, conn: UpstreamConnection) -> AttemptEnd:
        self.trace.incomplete_bytes = len(self._job.events.take_incomplete())
        conn.close()
        reason = f"an event without end, after {self.trace.incomplete_bytes} bytes"
        return self._lose_answer(reason)

    def _forward_events(self, head: AnswerHead, complete: bytes) -> None:
        job = self._job
        if not job.head_sent:
            # The length is that of one upstream's part; the stream may go on at another one.
            self._send_head(head, with_length=False)
        job.exchange.send_data(complete)
        self._upstream.load.note_first_token(job.request_id)
        if self.trace.began_at is None:
            self.trace.began_at = self._clock.monotonic()
            if job.demand.parts and not self._is_resumed:
                self._placement.note_answer(self.trace.began_at - self.started_at)
        job.sent_events = True
        self._note_started()

    def _send_head(self, head: AnswerHead, *, with_length: bool = True) -> None:
        headers = self._codec.build_caller_head(head.headers)
        if not with_length:
            headers = [field for field in headers if field[0].lower() != b"content-length"]
        self._job.exchange.send_head(head.status, headers, head.reason)
        self._job.sent_status = head.status

    def _end_stream(self, conn: UpstreamConnection, head: AnswerHead) -> AttemptEnd:
        """Finish the caller's answer, unless the stream ended inside an event."""
        job = self._job
        self.trace.incomplete_bytes = len(job.events.take_incomplete())
        if self.trace.incomplete_bytes:
            conn.close()
            return self._lose_answer("the stream ended inside an event")
        has_events = job.events.with_content > self._events_before
        if self.trace.ending is Ending.CLOSED and not has_events:
            return self._lose_answer("the connection ended before the first event")
        if not job.head_sent:
            self._send_head(head)
        job.exchange.finish()
        self._upstream.health.note_success()
        return AttemptEnd.DELIVERED

    def _note_started(self) -> None:
        if self.trace.first_s is None:
            self.trace.first_s = self._clock.monotonic() - self.started_at
        if not self._job.may_have_run:
            self._job.may_have_run = True
            self._report.note_started(self._job)

    def _broken(self, event: AnswerBroken) -> AttemptEnd:
        # A kept connection that the upstream closed as we sent says nothing of its health.
        return self._lose_answer(event.reason, faulty=not event.closed_before_answer)

    def _lose_answer(self, reason: str, *, faulty: bool = True) -> AttemptEnd:
        """Treat a request whose answer was lost as one that may have run, and count it as usage."""
        self.trace.reason = reason
        if faulty:
            self._upstream.health.note_failure()
        self._note_started()
        return AttemptEnd.BROKEN_MIDWAY if self._job.head_sent else AttemptEnd.BROKEN


def _may_hold_events(head: AnswerHead) -> bool:
    """Return whether a body is an event stream, which its head need not say on a stream's route."""
    media_type = header_value(head.headers, b"content-type")
    return media_type is None or media_type.strip().lower().startswith(EVENT_STREAM)
