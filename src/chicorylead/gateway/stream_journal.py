"""Knows which software version began each stream, and where it goes on.

Load pattern: a router is lost at any moment, among thousands of streams a second, and
its callers take their streams up elsewhere, while upstreams of another version may have
come since. Each stream is therefore told to other routers as it begins, whatever
serves then (`gateway.stream_witnesses`). While several versions of a service serve,
streams are also appended to a topic of the store a few times a second, for the loss of
all routers; those that were under way when the second version appeared are appended as
well.
"""

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace
from typing import Protocol

from chicorylead.errors import ErrorKind, Refusal
from chicorylead.gateway.stream_witnesses import StreamWitnesses
from chicorylead.ids import (
    OriginMark,
    RequestId,
    ServiceName,
    SoftwareVersion,
    StreamKey,
)
from chicorylead.logs import EventLog
from chicorylead.metrics import Metrics
from chicorylead.outcome.stream_origins import (
    MEMORY_S,
    BegunStream,
    StreamOrigins,
    origin_mark,
    stream_key,
)
from chicorylead.outcome.take_up import (
    BegunAt,
    GoOn,
    ServingVersions,
    Unprovable,
    decide_take_up,
)
from chicorylead.traffic.model import RepeatPolicy
from chicorylead.traffic.request import ForwardRequest
from chicorylead.traffic.stream import StoreUnavailable, StreamTrimmed
from chicorylead.upstream.registry import Registry

__all__ = ["BegunStreamLog", "StreamJournal"]

OWN_SOURCE = "own"
LOG_SOURCE = "log"
# A second version is noticed before it has begun many streams, and witnesses that were
# replaced before the next router is lost.
CHECK_INTERVAL_S = 0.1
# Of one router. Streams that began within this time before its loss are not in the log.
APPEND_INTERVAL_S = 0.3
# Appends of the whole fleet: a quarter of what the store takes in a second.
MAX_APPENDS_PER_S = 100.0
READ_TIMEOUT_S = 0.5  # an answer of the store takes some milliseconds
READ_RETRY_S = 0.3
# Callers may ask for any number of streams that nobody knows. A stream takes longer to
# begin at a version that has just been listed, to break off and to be taken up.
READ_INTERVAL_S = 0.1
MAX_QUEUED = 5_000  # streams that are not appended yet
STREAMS_PER_RECORD = 500


class BegunStreamLog(Protocol):
    """A log of streams that all routers share."""

    async def append(self, streams: Sequence[BegunStream]) -> None:
        """Append streams."""

    async def read(self) -> list[BegunStream]:
        """Return the streams that were appended since the last call."""


class UpstreamEntries(Protocol):
    """The entries of upstreams as this router knows them.

    Attributes:
        current_at: Event-loop time at which nothing was missing, seconds.
        continuous_since: Event-loop time since which none can have come and gone
            unnoticed, seconds.
    """

    current_at: float
    continuous_since: float

    async def check(self) -> None:
        """Read what was added; raise `StoreUnavailable` if that is not known."""


@dataclass(frozen=True, slots=True)
class _OpenStream:
    """A stream that began here and is not complete.

    Attributes:
        begun_at: Event-loop time of its first event, seconds.
    """

    stream: BegunStream
    mark: OriginMark
    begun_at: float


class StreamJournal:
    """Knows at which software versions the streams of callers began.

    Args:
        origins: The streams that began lately.
        witnesses: The routers that remember the streams of this one.
        registry: The upstreams that serve.
        entries: The entries that the registry was built from.
        stream_log: The log of streams.
        n_routers: Returns the number of routers that append to the log.
        started_ms: Wall-clock time of the start of this router, milliseconds.
    """

    def __init__(
        self,
        origins: StreamOrigins,
        witnesses: StreamWitnesses,
        registry: Registry,
        entries: UpstreamEntries,
        stream_log: BegunStreamLog,
        n_routers: Callable[[], int],
        started_ms: int,
        log: EventLog,
        metrics: Metrics,
    ) -> None:
        self._origins = origins
        self._witnesses = witnesses
        self._registry = registry
        self._entries = entries
        self._stream_log = stream_log
        self._n_routers = n_routers
        self._started_ms = started_ms
        self._log = log
        self._metrics = metrics
        self._loop = asyncio.get_running_loop()
        self._clock = self._loop.time
        self._started_at = self._clock()
        self._open: dict[StreamKey, _OpenStream] = {}
        # Versions that the log tells of, with the times at which it was read.
        self._logged_at: dict[tuple[ServiceName, SoftwareVersion], float] = {}
        self._mixed: set[ServiceName] = set()
        self._to_append: list[BegunStream] = []
        self._entries_read_at = float("-inf")
        self._log_read_at = float("-inf")
        self._reading = asyncio.Lock()
        self._read_began_at = float("-inf")
        self._read_not_before = float("-inf")

    # -- streams of this router

    def begin(self, req: ForwardRequest, version: SoftwareVersion) -> None:
        """Record that a stream begins, or goes on, before its event is forwarded."""
        if req.operation.repeat is RepeatPolicy.ONCE:
            return
        attempt = _first_attempt(req)
        key = stream_key(req.organisation, attempt)
        mark = origin_mark(req.service, version)
        known = self._open.get(key)
        self._origins.record(key, mark, OWN_SOURCE)
        if known is not None and known.mark == mark:
            return  # it goes on within its answer
        stream = BegunStream(attempt, req.service, version, req.organisation)
        self._open[key] = _OpenStream(stream, mark, self._clock())
        self._witnesses.tell(key, mark)
        if req.service in self._mixed:
            self._queue([stream])

    def end(self, req: ForwardRequest) -> None:
        """Record that a stream is complete, so that nobody takes it up."""
        self._open.pop(stream_key(req.organisation, _first_attempt(req)), None)

    def hand_over(self) -> None:
        """Tell other routers all that this one remembers, as it is about to stop."""
        self._witnesses.hand_over()

    def _queue_open(self, service: ServiceName) -> None:
        """Queue the streams of a service that a second version serves now."""
        self._mixed.add(service)
        streams = [o.stream for o in self._open.values() if o.stream.service == service]
        self._log.info(
            "versions_mixed",
            service=service,
            versions=",".join(sorted(self._serving(service).lately)),
            n_open=len(streams),
        )
        self._queue(streams)

    def _queue(self, streams: Sequence[BegunStream]) -> None:
        self._to_append.extend(streams)
        n_excess = len(self._to_append) - MAX_QUEUED
        if n_excess > 0:
            self._metrics.count("stream_log.dropped", n_excess)
            del self._to_append[:n_excess]

    # -- versions

    def _learn_logged(self, streams: Sequence[BegunStream]) -> None:
        now = self._clock()
        for stream in streams:
            self._origins.record(stream.key, stream.mark, LOG_SOURCE)
            origin = ServiceName(stream.service), SoftwareVersion(stream.version)
            self._logged_at[origin] = now

    def _known_origins(self) -> set[tuple[ServiceName, SoftwareVersion]]:
        """Return the services and versions that served lately, as far as is known."""
        since = self._clock() - MEMORY_S
        logged = {origin for origin, at in self._logged_at.items() if at >= since}
        return self._registry.origins_since(since) | logged

    def _serving(
        self, service: ServiceName, asked_at: float = float("inf")
    ) -> ServingVersions:
        """Return what is known of the software versions of a service.

        Args:
            service: The service.
            asked_at: Event-loop time at which a take-up came, seconds.
        """
        origins = self._known_origins()
        lately = {version for name, version in origins if name == service}
        # One that other routers told of may be missing among the records.
        is_told_of_another = not self._origins.marks() <= {
            origin_mark(*origin) for origin in origins
        }
        return ServingVersions(
            lately,
            self._is_complete(service, self._clock()) and not is_told_of_another,
            self._entries_read_at >= asked_at,
            self._has_read_log,
        )

    @property
    def _has_read_log(self) -> bool:
        """Return whether the log was read since this router knows all entries."""
        return self._log_read_at >= self._entries.continuous_since

    def _is_complete(self, service: ServiceName, now: float) -> bool:
        """Return whether this router knows all versions that have served lately.

        One that has just started, or missed entries, knows them if an upstream is older
        than any stream, so that its version has served all the while, and the log tells
        of no other.
        """
        since = self._entries.continuous_since
        if now - since >= MEMORY_S:
            return True
        if not self._has_read_log:
            return False
        oldest_ms = self._registry.oldest_born_ms(service)
        if oldest_ms is None:
            return False
        since_ms = self._started_ms + 1000 * (since - self._started_at)
        return since_ms - oldest_ms >= 1000 * MEMORY_S

    # -- take-ups

    async def pin(self, req: ForwardRequest) -> ForwardRequest:
        """Return a request that goes on at the version that began its stream.

        Raises:
            Refusal: The version is not known.
        """
        if not req.takes_up:
            return req
        asked_at = self._clock()
        has_all_answers = True
        began = self._find(req)
        if began is None:
            key = stream_key(req.organisation, _first_attempt(req))
            has_all_answers = await self._witnesses.ask(key)
            began = self._find(req)
        if began is None or began.service is None:
            await self._refresh(req.service, asked_at)
            began = self._find(req)
        services = {service for service, _ in req.operation.split}
        serving = self._serving(req.service, asked_at)
        decision = decide_take_up(
            began, req.service, services, serving, has_all_answers
        )
        match decision:
            case GoOn(service=service, version=version, source=source):
                self._metrics.count("take_ups", outcome="goes_on", source=source)
                self._log.info(
                    "take_up",
                    request=req.id,
                    resumes=req.head.resumes,
                    after_event=req.head.last_event_id,
                    service=service,
                    version=version,
                    source=source,
                    took_s=self._clock() - asked_at,
                )
                return replace(req, service=service, version=version)
            case Unprovable(detail=detail, retry_after_s=retry_after_s):
                self._metrics.count("take_ups", outcome="unknown", source="none")
                self._log.warning(
                    "take_up_unknown",
                    request=req.id,
                    resumes=req.head.resumes,
                    after_event=req.head.last_event_id,
                    service=req.service,
                    versions=",".join(sorted(serving.lately)),
                    up_s=self._clock() - self._started_at,
                    entries_age_s=self._clock() - self._entries.current_at,
                    continuous_s=self._clock() - self._entries.continuous_since,
                    has_read_log=self._has_read_log,
                    has_all_answers=has_all_answers,
                    took_s=self._clock() - asked_at,
                    detail=detail,
                )
                raise Refusal(ErrorKind.STREAM_UNKNOWN, detail, retry_after_s)

    def _find(self, req: ForwardRequest) -> BegunAt | None:
        origin = self._origins.find(stream_key(req.organisation, _first_attempt(req)))
        if origin is None:
            return None
        for service, version in self._known_origins():
            if origin_mark(service, version) == origin.mark:
                return BegunAt(service, version, origin.source)
        return BegunAt(None, None, origin.source)

    def _is_sole(self, service: ServiceName, asked_at: float) -> bool:
        return self._serving(service, asked_at).sole is not None

    # -- log

    async def run(self) -> None:
        """Watch versions and witnesses, and use the log, until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._watch())
            tasks.create_task(self._use_log())

    async def _watch(self) -> None:
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            self._check_versions()
            self._witnesses.tell_new_witnesses(
                {key: stream.mark for key, stream in self._open.items()}
            )

    async def _use_log(self) -> None:
        while not await self._refresh():
            await asyncio.sleep(READ_RETRY_S)
        self._log.info("stream_log_read", n_streams=len(self._origins))
        while True:
            await asyncio.sleep(self._append_interval_s())
            if self._to_append:
                await self._append()

    def _append_interval_s(self) -> float:
        return max(APPEND_INTERVAL_S, self._n_routers() / MAX_APPENDS_PER_S)

    def _check_versions(self) -> None:
        """Notice a second version of a service, and the end of all others."""
        now = self._clock()
        self._open = {
            key: stream
            for key, stream in self._open.items()
            if now - stream.begun_at < MEMORY_S
        }
        self._logged_at = {
            origin: at for origin, at in self._logged_at.items() if now - at < MEMORY_S
        }
        for service in {ServiceName(o.stream.service) for o in self._open.values()}:
            is_mixed = self._serving(service).is_mixed
            if is_mixed and service not in self._mixed:
                self._queue_open(service)
        for service in list(self._mixed):
            if not self._serving(service).is_mixed:
                self._mixed.discard(service)
                self._log.info("versions_single", service=service)

    async def _append(self) -> None:
        streams = self._to_append[:STREAMS_PER_RECORD]
        del self._to_append[: len(streams)]
        try:
            await self._stream_log.append(streams)
        except (StoreUnavailable, StreamTrimmed) as exc:
            self._metrics.count("stream_log.errors", call="append")
            self._to_append[:0] = streams
            self._log.warning(
                "stream_log_failed", n_streams=len(self._to_append), reason=exc
            )

    async def _refresh(
        self, service: ServiceName | None = None, asked_at: float = float("inf")
    ) -> bool:
        """Read the entries and the log up to their ends.

        Take-ups that come together share a read, and do not wait for a store that has
        just failed.

        Args:
            service: Service of a take-up, which needs no log if the entries show that a
                single version has served; None to read the log in any case.
            asked_at: Event-loop time at which the take-up came, seconds.

        Returns:
            Whether the log is known.
        """
        async with self._reading:
            now = self._clock()
            if self._is_answered(service, asked_at) or now < self._read_not_before:
                return self._has_read_log
            pause_s = self._read_began_at + READ_INTERVAL_S - now
            if pause_s > 0:
                await asyncio.sleep(pause_s)
            self._read_began_at = self._clock()
            try:
                async with asyncio.timeout(READ_TIMEOUT_S):
                    await self._read(service, asked_at)
            except (StoreUnavailable, TimeoutError) as exc:
                self._metrics.count("stream_log.errors", call="read")
                self._log.warning("stream_log_unread", reason=repr(exc))
                self._read_not_before = self._clock() + READ_RETRY_S
            return self._has_read_log

    def _is_answered(self, service: ServiceName | None, asked_at: float) -> bool:
        """Return whether a read that another take-up began tells what is asked."""
        is_sole = service is not None and self._is_sole(service, asked_at)
        return is_sole or self._log_read_at >= asked_at

    async def _read(self, service: ServiceName | None, asked_at: float) -> None:
        if service is not None:
            began_at = self._clock()
            await self._entries.check()
            self._entries_read_at = began_at
            if self._is_sole(service, asked_at):
                return
        began_at = self._clock()
        self._learn_logged(await self._stream_log.read())
        self._log_read_at = began_at


def _first_attempt(req: ForwardRequest) -> RequestId:
    """Return the id by which callers take the stream of a request up."""
    if req.takes_up and req.head.resumes is not None:
        return req.head.resumes
    return req.id
