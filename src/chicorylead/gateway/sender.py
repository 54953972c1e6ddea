"""One attempt of a request at one upstream, with the accounting of its work."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from typing import TypeVar

from chicorylead.admission.placement import Placement
from chicorylead.admission.speed import ResponseTimes
from chicorylead.gateway.notices import NoticeRecorder
from chicorylead.gateway.outcome import Broken, NotRun, Rejected, SendOutcome, Served
from chicorylead.gateway.reply import CallerReply
from chicorylead.ids import UpstreamId
from chicorylead.platform.upstream_wire import encode_request_head
from chicorylead.traffic.request import ForwardRequest, PromptPart
from chicorylead.upstream.answer import AnswerHead
from chicorylead.upstream.backlog import PendingId
from chicorylead.upstream.connection import Connection, Failure, FailureKind
from chicorylead.upstream.events import EventSplitter
from chicorylead.upstream.live import LiveUpstream

__all__ = ["OnSent", "Sender", "Timeouts"]

T = TypeVar("T")
OnSent = Callable[[LiveUpstream, Sequence[PromptPart]], None]

# A few round trips; the head of the answer has said that the request did not run.
REFUSAL_BODY_TIMEOUT_S = 0.1
# A prompt crashes its engine as the answer begins; a crash this much later has another
# cause. A few steps of an engine.
ANSWER_BEGUN_S = 0.1
# Until a request asks again whether it may be taken from a silent upstream.
ABANDON_CHECK_S = 0.2
WITHDRAWN_DETAIL = "withdrawn, as a part of its prompt may have crashed an engine"
BECAME_COLD_DETAIL = "the upstream became cold before the request was sent"
# Part of the time left that a body without framing may take, as it may have no end.
UNFRAMED_TIME_RATIO = 1 / 3
FEED_BYTES = 16_384  # of a stream, read for events without a pause for other tasks
MAX_BODY_BYTES = 4_194_304  # largest body allowed in either direction


@dataclass(frozen=True, slots=True)
class Timeouts:
    """Times without a part of an answer after which it counts as stalled, seconds.

    Attributes:
        first_s: For the head, and for the first event of a stream.
        event_s: Between events.
        body_s: Between parts of a plain body.
    """

    first_s: float
    event_s: float
    body_s: float


class Sender:
    """Sends a request to the upstream selected for it, and forwards the answer.

    Args:
        req: The request.
        placement: The upstream and the expected work.
        response_times: Response times of the service, updated from the answer.
        events: Splits the stream, and keeps track of the forwarded events.
        used: Connections that carried earlier sends of the request; this one is added.
        reply: The answer to the caller.
        timeouts: Times after which the answer counts as stalled.
        may_abandon: Returns whether the request runs elsewhere if it is taken from
            an upstream that is silent. Asked once a timeout has passed.
        on_sent: Called with an engine and the parts of a prompt sent to it, and with a
            limited upstream and no parts.
        on_begun: Called before the first event of a stream is forwarded.
        on_answering: Called once when the upstream is past the start of its answer.
        notices: Records what the upstream states in the head of its answer.

    Attributes:
        first_event_s: Time from sending to the first event, seconds.
        longest_pause_s: Longest time between two events, seconds.
        head: Head of the answer.
        is_answering: Whether the upstream is past the start of its answer.
    """

    def __init__(
        self,
        req: ForwardRequest,
        placement: Placement,
        response_times: ResponseTimes,
        events: EventSplitter,
        used: set[Connection],
        reply: CallerReply,
        timeouts: Timeouts,
        may_abandon: Callable[[], bool],
        on_sent: OnSent,
        on_begun: Callable[[], None],
        on_answering: Callable[[], None],
        notices: NoticeRecorder,
    ) -> None:
        self._req = req
        self._upstream = placement.upstream
        self._placement = placement
        self._pending_id: PendingId | None = None
        self._response_times = response_times
        self._events = events
        self._used = used
        self._reply = reply
        self._timeouts = timeouts
        self._may_abandon = may_abandon
        self._on_sent = on_sent
        self._on_begun = on_begun
        self._on_answering = on_answering
        self._notices = notices
        self._conn: Connection | None = None
        self._n_held = 0
        self._is_withdrawn = False
        self.is_answering = False
        self._clock = asyncio.get_running_loop().time
        self._sent_at = 0.0
        self._last_event_at = 0.0
        self.first_event_s: float | None = None
        self.longest_pause_s = 0.0
        self.head: AnswerHead | None = None

    @property
    def sent_at(self) -> float:
        """Return the event-loop time at which the request was sent, seconds."""
        return self._sent_at

    @property
    def upstream_id(self) -> UpstreamId:
        """Return the id of the upstream."""
        return self._upstream.id

    async def send(self) -> SendOutcome:
        """Send the request and forward its answer."""
        self._add_work()
        is_done = False
        try:
            conn = self._conn = await self._upstream.connect(self._used)
            if self._is_withdrawn:
                is_done = True
                # The upstream was reached, so that its health is not in question.
                return NotRun(WITHDRAWN_DETAIL, was_received=True)
            if not self._upstream.intake.use_permit():
                is_done = True
                return NotRun(BECAME_COLD_DETAIL, was_received=True)
            outcome = await self._exchange(conn)
            is_done = True
            return outcome
        except Failure as exc:
            if exc.kind is FailureKind.BROKEN:
                self._upstream.record_broken()
            if exc.kind is FailureKind.NOT_SENT:
                if self._conn is None:
                    self._upstream.intake.give_back_permit()
                return NotRun(exc.detail, was_received=False)
            return Broken(exc)
        finally:
            # Closing the connection of a cancelled request ends its run.
            if self._conn is not None and is_done:
                self._upstream.release(self._conn)
            elif self._conn is not None:
                self._conn.close()
            if self._conn is not None:
                self._conn.release_buffer()
            self._hold(-self._n_held)
            # It refers to this object, and to the body of the request.
            self._on_answering = _ignore_answering
            self._remove_work()

    def withdraw(self) -> None:
        """Take the request back from the upstream, unless it answers already."""
        if self.is_answering:
            return
        self._is_withdrawn = True
        if self._conn is not None:
            self._conn.withdraw(WITHDRAWN_DETAIL)

    # -- work

    def _add_work(self) -> None:
        upstream = self._upstream
        upstream.work.own = upstream.work.own + self._placement.work
        upstream.record_sent()
        if upstream.prefixes is None or self._req.head.prompt is None:
            if upstream.intake.limit is not None:
                self._on_sent(upstream, ())
            return
        self._pending_id = upstream.backlog.add(
            self._placement.prefill_tokens, self._clock()
        )
        prompt = self._req.head.prompt
        upstream.prefixes.record_parts(prompt.parts)
        self._on_sent(upstream, prompt.parts)

    def _remove_work(self) -> None:
        upstream = self._upstream
        upstream.work.own = upstream.work.own - self._placement.work
        if self._pending_id is not None:
            upstream.backlog.discard(self._pending_id)

    # -- exchange

    def _hold(self, n_bytes: int) -> bool:
        """Count bytes that are kept; return whether there is memory for more."""
        self._n_held += n_bytes
        return self._reply.hold(n_bytes)

    def _remaining_s(self) -> float:
        return self._req.answer_deadline - self._clock()

    async def _exchange(self, conn: Connection) -> SendOutcome:
        req = self._req
        data = encode_request_head(
            req, self._upstream.id, self._remaining_s(), self._events.last_id
        )
        self._sent_at = self._clock()
        self._used.add(conn)
        conn.on_buffered = self._hold
        conn.send(req.id, data, req.body, has_no_body=req.head.method == "HEAD")
        due_at = self._sent_at + self._timeouts.first_s
        head = await self._read(conn.read_head, due_at)
        self.head = head
        if head.is_sealed or not head.is_success:
            self._notices.record(self._upstream, head.notice, self._sent_at)
        if head.is_not_run:
            await self._skip_body(conn)
            detail = f"status {head.status}"
            return NotRun(detail, True, is_elsewhere=head.is_wrong_upstream)
        if head.is_success and not head.is_sealed:
            raise Failure(FailureKind.GARBLED, "successful answer without a seal")
        if head.is_unproved_refusal:
            detail = f"status {head.status} without a statement"
            raise Failure(FailureKind.GARBLED, detail)
        if not req.operation.is_stream or not head.is_success:
            return await self._forward_body(conn, head)
        return await self._forward_stream(conn, head)

    async def _read(self, read: Callable[[float], Awaitable[T]], due_at: float) -> T:
        """Read a part of the answer; wait on if the request can't run elsewhere.

        Raises:
            Failure: There is no such part.
        """
        while True:
            try:
                return await read(min(due_at - self._clock(), self._remaining_s()))
            except Failure as exc:
                if exc.kind is not FailureKind.SILENT or self._remaining_s() <= 0:
                    raise
                if self._may_abandon():
                    raise
            due_at = self._clock() + ABANDON_CHECK_S

    async def _read_body(self, conn: Connection) -> bytes:
        parts: list[bytes] = []
        n_bytes = 0
        limit_at = self._clock() + self._remaining_s() * UNFRAMED_TIME_RATIO
        while True:
            due_at = self._clock() + self._timeouts.body_s
            data = await self._read(conn.read_body_part, due_at)
            if data is None:
                return b"".join(parts)
            n_bytes += len(data)
            self._hold(len(data))
            if n_bytes > MAX_BODY_BYTES:
                raise Failure(
                    FailureKind.GARBLED, f"answer too large: {n_bytes} bytes read"
                )
            parts.append(data)
            if not conn.is_framed and self._clock() > limit_at and self._may_leave():
                raise Failure(FailureKind.GARBLED, "body without length goes on")

    def _may_leave(self) -> bool:
        return self._req.may_repeat and self._may_abandon()

    async def _skip_body(self, conn: Connection) -> None:
        """Read the body of a refusal, so that the connection may be used again."""
        with contextlib.suppress(Failure, TimeoutError):
            async with asyncio.timeout(REFUSAL_BODY_TIMEOUT_S):
                while await conn.read_body_part(REFUSAL_BODY_TIMEOUT_S) is not None:
                    pass

    async def _forward_body(self, conn: Connection, head: AnswerHead) -> SendOutcome:
        body = await self._read_body(conn)
        if head.status >= 500:
            return Rejected(head.status, head.headers, body)
        if head.is_success:
            self._response_times.record_answer(self._clock() - self._sent_at)
            self._record_answering()
        self._upstream.record_answer(head.load)
        length = (b"content-length", str(len(body)).encode())
        # From now on the connection counts what the caller has not read.
        self._hold(-self._n_held)
        await self._reply.send_response(head.status, (*head.headers, length), body)
        return Served(head.status)

    async def _forward_stream(self, conn: Connection, head: AnswerHead) -> SendOutcome:
        self._last_event_at = self._clock()
        due_at = self._last_event_at + self._timeouts.first_s
        while True:
            part = await self._read(conn.read_body_part, due_at)
            if part is None:
                break
            for at in range(0, len(part), FEED_BYTES):
                if at:
                    await asyncio.sleep(0)
                events = self._feed(part[at : at + FEED_BYTES])
                if events:
                    # Only new events extend the timeout; other bytes do not.
                    due_at = self._clock() + self._timeouts.event_s
                    await self._forward_events(events, head)
                if self._events.fault is not None:
                    raise Failure(FailureKind.GARBLED, str(self._events.fault))
        rest = b"" if self._events.has_partial else self._events.end()
        if self._events.fault is not None:
            raise Failure(FailureKind.GARBLED, str(self._events.fault))
        if rest and self._events.n_events > 0 and not self._reply.is_started:
            await self._forward_events(rest, head)
            rest = b""
        if self._events.has_partial or not self._reply.is_started:
            raise Failure(
                FailureKind.BROKEN, "stream ended before an event was complete"
            )
        self._record_answering()
        await self._reply.finish(rest)
        self._upstream.record_answer(None)
        return Served(head.status)

    def _feed(self, data: bytes) -> bytes:
        """Return the new events in bytes of the stream."""
        n_before = self._events.n_held
        events = self._events.feed(data)
        self._hold(self._events.n_held - n_before)
        return events

    async def _forward_events(self, events: bytes, head: AnswerHead) -> None:
        now = self._clock()
        if self.first_event_s is None:
            self._record_first_event(head)
        else:
            self.longest_pause_s = max(self.longest_pause_s, now - self._last_event_at)
            if now - self._sent_at - self.first_event_s > ANSWER_BEGUN_S:
                self._record_answering()
        self._last_event_at = now
        if not self._reply.is_started:
            self._on_begun()
            await self._reply.start(head.status, head.headers)
        await self._reply.write(events)

    def _record_answering(self) -> None:
        if not self.is_answering:
            self.is_answering = True
            self._on_answering()

    def _record_first_event(self, head: AnswerHead) -> None:
        self.first_event_s = self._clock() - self._sent_at
        expected_s = self._placement.wait_s - self._response_times.first_event_s
        self._response_times.record_first_event(self.first_event_s - expected_s)
        if self._pending_id is not None:
            self._upstream.backlog.record_first_event(self._pending_id, self._clock())
        self._upstream.record_answer(head.load)


def _ignore_answering() -> None:
    """Do nothing, as the attempt has ended."""
