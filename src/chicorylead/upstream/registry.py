"""Live upstreams, synchronised with the platform's registry."""

import asyncio
from collections.abc import Callable, Iterable

from chicorylead.ids import ServiceName, SoftwareVersion, UpstreamId
from chicorylead.logs import EventLog
from chicorylead.metrics import Metrics
from chicorylead.traffic.model import Configuration
from chicorylead.traffic.stream import Position, StreamRecord
from chicorylead.upstream.connection import DecodeHead
from chicorylead.upstream.intake import Removal
from chicorylead.upstream.intakes import Intakes, UpstreamIncarnation
from chicorylead.upstream.live import LiveUpstream
from chicorylead.upstream.registered import ListedState, RegisteredUpstream
from chicorylead.upstream.restart import RestartDetector
from chicorylead.upstream.warm_up import NEVER_COLD, ColdRule, WarmUp

__all__ = ["Registry"]

DecodeEntry = Callable[[str, bytes], RegisteredUpstream]

# Entries that lapsed in an outage of the store are listed again about 2 s after its
# return, which this router notices late.
LAPSE_GRACE_S = 1.9
FIRST_READ_S = 5.0  # of a router's start, after its first entry
MAX_LOGGED = 200  # characters of what another writer wrote


class Registry:
    """Holds the live upstreams of all services.

    Args:
        decode_entry: Decodes a registry entry.
        decode_answer: Decodes the head of an upstream's answer.
        intakes: What each incarnation states about the work that it takes.
        outage_ended_at: Returns the event-loop time at which the store was back after
            its last outage, seconds.

    Attributes:
        on_started: Called when the start of an upstream is seen by its connections.
    """

    def __init__(
        self,
        decode_entry: DecodeEntry,
        decode_answer: DecodeHead,
        intakes: Intakes,
        outage_ended_at: Callable[[], float],
        log: EventLog,
        metrics: Metrics,
    ) -> None:
        self._decode_entry = decode_entry
        self._decode_answer = decode_answer
        self._intakes = intakes
        self._outage_ended_at = outage_ended_at
        self._log = log
        self._metrics = metrics
        self._loop = asyncio.get_running_loop()
        self._restarts = RestartDetector(self._loop.time)
        self._live: dict[UpstreamId, LiveUpstream] = {}
        self._lapsed: dict[UpstreamId, asyncio.TimerHandle] = {}
        self._malformed: dict[UpstreamId, str] = {}  # with the reasons
        self._memory_tokens: dict[ServiceName, float] = {}
        self._cold_rules: dict[ServiceName, ColdRule] = {}
        self._first_entry_at: float | None = None
        self.on_started: Callable[[LiveUpstream], None] = lambda upstream: None
        self._era = 0
        # Event-loop time at which an upstream of a version was last removed, seconds.
        self._version_left_at: dict[tuple[ServiceName, SoftwareVersion], float] = {}

    def get(self, upstream: UpstreamId) -> LiveUpstream | None:
        """Return a live upstream."""
        return self._live.get(upstream)

    def all(self) -> Iterable[LiveUpstream]:
        """Return all live upstreams."""
        return self._live.values()

    def ready(
        self, service: ServiceName, version: SoftwareVersion | None = None
    ) -> list[LiveUpstream]:
        """Return the upstreams of a service that accept new work.

        Args:
            service: The service.
            version: Software version of the upstreams; None for any.
        """
        return [
            upstream
            for upstream in self._live.values()
            if upstream.entry.service == service
            and version in (None, upstream.entry.version)
            and upstream.entry.state is ListedState.READY
            and not upstream.intake.is_leaving
        ]

    def origins_since(self, since: float) -> set[tuple[ServiceName, SoftwareVersion]]:
        """Return the services that served after a time, with their software versions.

        Args:
            since: Event-loop time, seconds.
        """
        serving = {(u.entry.service, u.entry.version) for u in self._live.values()}
        left = self._version_left_at.items()
        return serving | {origin for origin, left_at in left if left_at >= since}

    def oldest_born_ms(self, service: ServiceName) -> int | None:
        """Return when the oldest upstream of a service started, if any tells it."""
        born = (u.entry.born_ms for u in self._of(service) if u.entry.born_ms)
        return min(born, default=None)

    def _of(self, service: ServiceName) -> Iterable[LiveUpstream]:
        return (u for u in self._live.values() if u.entry.service == service)

    def apply_configuration(self, cfg: Configuration) -> None:
        """Apply the engine settings of a new configuration."""
        self._memory_tokens = {
            name: float(service.engine.kv_tokens)
            for name, service in cfg.services.items()
            if service.engine is not None
        }
        self._cold_rules = {
            name: service.cold
            for name, service in cfg.services.items()
            if service.cold.per_s > 0
        }
        for upstream in list(self._live.values()):
            upstream.intake.warm_up.rule = self._cold_rule(upstream.entry)
            has_memory = upstream.entry.service in self._memory_tokens
            if has_memory != (upstream.prefixes is not None):
                self._start(upstream.entry)

    # -- records

    def replaces(self, record: StreamRecord, is_later: bool) -> bool:
        """Return whether an entry replaces the known one of the same history.

        Args:
            record: An entry whose position is later and start time earlier than those
                of the known one, or the other way round.
            is_later: Whether its position is later.
        """
        if not is_later or record.value is None:
            return False
        try:
            entry = self._decode_entry(record.key, record.value)
        except ValueError:
            return False
        current = self._live.get(entry.id)
        if current is None or not 0 < entry.born_ms < current.entry.born_ms:
            return False
        return self._restarts.record(entry)

    def apply_record(self, record: StreamRecord) -> None:
        """Apply a change of an entry."""
        self._era = max(self._era, record.era)
        upstream = UpstreamId(record.key)
        if record.value is None:
            self._malformed.pop(upstream, None)
            self._handle_removed(upstream)
            return
        self._cancel_lapse(upstream)
        try:
            entry = self._decode_entry(record.key, record.value)
        except ValueError as exc:
            self._log_malformed(upstream, record.position, str(exc))
            self._remove(upstream, "malformed entry")
            return
        self._malformed.pop(upstream, None)
        self._apply_entry(entry, record.position)

    def _log_malformed(
        self, upstream: UpstreamId, position: Position, reason: str
    ) -> None:
        """Log and count an entry, once while it is malformed for the same reason."""
        if self._malformed.get(upstream) == reason:
            return
        self._malformed[upstream] = reason
        self._metrics.count("upstream.malformed_entries")
        self._log.warning(
            "upstream_entry_malformed",
            upstream=upstream[:MAX_LOGGED],
            position=position,
            reason=reason[:MAX_LOGGED],
            n_malformed=len(self._malformed),
        )

    def apply_snapshot(self, records: list[StreamRecord]) -> None:
        """Remove upstreams that are no longer listed."""
        listed = {record.key for record in records}
        for upstream in self._malformed.keys() - listed:
            del self._malformed[upstream]
        for upstream in list(self._live):
            if upstream not in listed:
                self._handle_removed(upstream)

    def _apply_entry(self, entry: RegisteredUpstream, position: Position) -> None:
        current = self._live.get(entry.id)
        if entry.fault and (current is None or current.entry.fault != entry.fault):
            self._log.warning(
                "upstream_entry_fault", upstream=entry.id, ignored=entry.fault
            )
        is_old = current is not None and _is_older(entry, current.entry)
        is_old = is_old and not self._restarts.is_confirmed(entry)
        if is_old or self._was_removed(entry, position):
            self._log.info("upstream_entry_old", upstream=entry.id, position=position)
            return
        self._restarts.discard(entry.id)
        if current is None or _is_restarted(entry, current.entry):
            self._start(entry)
            event = "upstream_listed" if current is None else "upstream_restarted"
            self._log_entry(event, entry, position)
            return
        if current.entry.state is not entry.state:
            self._log_entry("upstream_state", entry, position)
        current.entry = entry
        warm_up, now = current.intake.warm_up, self._loop.time()
        was_cold = warm_up.is_cold(now)
        warm_up.apply_entry(entry.sequence, entry.cold_left_s, now)
        if warm_up.is_cold(now) and not was_cold:
            self._log_cold(entry, warm_up)
        if entry.state is ListedState.LEAVING:
            current.close_idle()

    def _was_removed(self, entry: RegisteredUpstream, position: Position) -> bool:
        """Return whether an entry was removed in a history that the store has lost.

        A live upstream writes its entry again, with a higher sequence number.
        """
        if entry.born_ms == 0:
            return False
        removal = self._intakes.get(_incarnation(entry)).removal
        return (
            removal is not None
            and position.era > removal.era
            and entry.sequence <= removal.sequence
        )

    def _log_entry(
        self, event: str, entry: RegisteredUpstream, position: Position
    ) -> None:
        self._log.info(
            event,
            upstream=entry.id,
            service=entry.service,
            address=f"{entry.host}:{entry.port}",
            zone=entry.zone,
            version=entry.version,
            state=entry.state,
            born_ms=entry.born_ms,
            sequence=entry.sequence,
            era=position.era,
            offset=position.offset,
        )

    def _start(self, entry: RegisteredUpstream) -> None:
        old = self._live.get(entry.id)
        incarnation = _incarnation(entry)
        is_start = self._is_start(entry)
        if old is not None:
            old.close_idle()
            self._record_left(old.entry)
            self._intakes.mark_unlisted(_incarnation(old.entry))
        if old is not None and not entry.born_ms and _is_restarted(entry, old.entry):
            intake = self._intakes.restart(incarnation)
        else:
            intake = self._intakes.mark_listed(incarnation)
        self._apply_cold(entry, intake.warm_up, is_start)
        memory_tokens = self._memory_tokens.get(entry.service, 0.0)
        upstream = LiveUpstream(entry, intake, memory_tokens, self._decode_answer)
        upstream.on_started = lambda live: self.on_started(live)
        self._live[entry.id] = upstream

    # -- cold upstreams

    def _cold_rule(self, entry: RegisteredUpstream) -> ColdRule:
        return self._cold_rules.get(entry.service, NEVER_COLD)

    def _is_start(self, entry: RegisteredUpstream) -> bool:
        """Return whether an entry that is new here is of an upstream that starts now.

        The first entries that a router reads are of upstreams that run already.
        """
        now = self._loop.time()
        if self._first_entry_at is None:
            self._first_entry_at = now
        is_running = now - self._first_entry_at > FIRST_READ_S
        return is_running or self._intakes.knows(entry.id)

    def _apply_cold(
        self, entry: RegisteredUpstream, warm_up: WarmUp, is_start: bool
    ) -> None:
        """Apply what the first entry of an incarnation says about its start."""
        now = self._loop.time()
        warm_up.rule = self._cold_rule(entry)
        if entry.cold_left_s is None and is_start and not warm_up.is_listed:
            warm_up.start(now, "restart")
        warm_up.apply_entry(entry.sequence, entry.cold_left_s, now)
        warm_up.is_listed = True
        if warm_up.is_cold(now):
            self._log_cold(entry, warm_up)

    def _log_cold(self, entry: RegisteredUpstream, warm_up: WarmUp) -> None:
        self._log.info(
            "upstream_cold",
            upstream=entry.id,
            born_ms=entry.born_ms,
            source=warm_up.source,
            left_s=warm_up.left_s(self._loop.time()),
            per_s=warm_up.rule.per_s,
        )

    # -- removal

    def _handle_removed(self, upstream: UpstreamId) -> None:
        """Remove an upstream, later if its entry may only have lapsed in an outage."""
        if upstream not in self._live or upstream in self._lapsed:
            return
        store_back_s = self._loop.time() - self._outage_ended_at()
        if store_back_s >= LAPSE_GRACE_S:
            self._remove(upstream, "not listed")
            return
        self._lapsed[upstream] = self._loop.call_later(
            LAPSE_GRACE_S - store_back_s,
            self._remove,
            upstream,
            "not listed after an outage",
        )
        self._log.info("upstream_lapsed", upstream=upstream, store_back_s=store_back_s)

    def _cancel_lapse(self, upstream: UpstreamId) -> None:
        timer = self._lapsed.pop(upstream, None)
        if timer is not None:
            timer.cancel()

    def _remove(self, upstream: UpstreamId, reason: str) -> None:
        self._cancel_lapse(upstream)
        current = self._live.pop(upstream, None)
        if current is not None:
            current.close_idle()
            self._record_left(current.entry)
            current.intake.removal = Removal(self._era, current.entry.sequence)
            self._intakes.mark_unlisted(_incarnation(current.entry))
            self._log.info("upstream_gone", upstream=upstream, reason=reason)

    def _record_left(self, entry: RegisteredUpstream) -> None:
        key = entry.service, entry.version
        self._version_left_at[key] = self._loop.time()


def _incarnation(entry: RegisteredUpstream) -> UpstreamIncarnation:
    return UpstreamIncarnation(entry.id, entry.born_ms)


def _is_older(entry: RegisteredUpstream, current: RegisteredUpstream) -> bool:
    if entry.born_ms != current.born_ms:
        return entry.born_ms < current.born_ms
    return entry.born_ms > 0 and entry.sequence < current.sequence


def _is_restarted(entry: RegisteredUpstream, current: RegisteredUpstream) -> bool:
    return _identity(entry) != _identity(current)


def _identity(entry: RegisteredUpstream) -> tuple[object, ...]:
    return entry.born_ms, entry.host, entry.port, entry.service, entry.version
