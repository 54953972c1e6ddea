"""Follows a stream of the store, or takes its records from peers that do.

Load pattern: hundreds of routers that each follow the same streams, though a few calls
would bring the same records. A few routers of each zone read the store, and the others
only if they have not heard for long that their records are current.

A read that waits for records proves nothing until it is answered, and a store that was
silent never answers the reads of that time. Records are therefore current as of the
last answer. When no router has had one for a while, one of them reads without waiting
and tells the others, so that the calls do not grow with the fleet.
"""

import asyncio
import contextlib
from collections.abc import Callable, Iterator
from random import Random

from chicorylead.logs import EventLog
from chicorylead.metrics import Metrics
from chicorylead.traffic.stream import (
    START,
    PeerPage,
    Position,
    RecordStream,
    StoreUnavailable,
    Stream,
    StreamPage,
    StreamRecord,
    StreamTrimmed,
)
from chicorylead.traffic.supersession import is_newer, removal, superseding

__all__ = [
    "HOP_S",
    "OnRecord",
    "OnSnapshot",
    "Replaces",
    "Revision",
    "StreamFollower",
]

# Calls are billed, so polls are long. Checks, the offsets that peers report and the
# keep-alive probes of a silent connection show a router earlier that it lacks records.
LONG_POLL_S = 12.0
READ_PAUSE_S = 0.25  # batches records; 1/8 of the time in which a change must apply
RETRY_MIN_S = 0.1  # several retries within the time in which a change must apply
RETRY_MAX_S = 0.6  # a recovered store is noticed well within 2 s
STANDBY_CHECK_S = 0.1  # a twelfth of the age at which this router reads the store
# A call that does not wait and takes longer is not answered; the store takes some
# milliseconds, and half a second when it is slow.
UNANSWERED_S = 1.0
# An upstream is listed for longer, so that none comes and goes unnoticed within it.
MAX_GAP_S = 1.2
CHECK_PAUSE_S = 0.2  # meanwhile the checks of other streams are answered
# What peers report ages on its way. Longer than a datagram takes, so that routers that
# report to each other do not make their records look younger.
HOP_S = 0.05
STORE_SOURCE = "store"

OnRecord = Callable[[StreamRecord], None]
OnSnapshot = Callable[[list[StreamRecord]], None]
Revision = Callable[[StreamRecord], tuple[int, ...] | None]
Replaces = Callable[[StreamRecord, bool], bool]


class StreamFollower:
    """Keeps the newest record of each key of one stream.

    Positions count within one history of the store. When an answer belongs to another
    one, the stream is read anew; what the store has lost is kept until it is written
    again, or removed.

    Of kept keys, removals are kept as well, and their absence from a later history is a
    loss, not a removal (`traffic.supersession`).

    Args:
        store: The store that holds the stream.
        stream: The stream.
        on_record: Called with each record that is newer than what was known.
        on_snapshot: Called with all live records at the start and after a gap.
        must_read: Returns whether this router has to read the store itself.
        on_news: Called when records were added, or were found to be current.
        revision: Returns a number, or several, that rise with each change of what a
            record describes, whatever the history of the store; None for a malformed
            record.
        replaces: Returns whether a record replaces the known one of the same history
            where positions and revisions disagree, given the record and whether its
            position is later.
        on_era: Called with the number of a history that is new to this follower.
        check_due_s: Returns the time until the records of all streams have to be
            checked, seconds; 0 if it is over.
        is_kept: Returns whether a key is kept across the loss of its records.

    Attributes:
        end: Position up to which the stream is known.
        is_complete: Whether the stream was read to its end once.
        is_connected: Whether this router reads the store, and its last call was
            answered.
        outage_ended_at: Event-loop time at which the store answered again after the
            last outage that is known, seconds. That this router begins to read, or has
            not heard for a while that its records are current, is no outage.
        source: Where the last records came from: the store, or the id of a peer.
        answered_at: Event-loop time of the last answer of the store, seconds.
        current_at: Event-loop time at which the store had no further records, as it
            told this router or a peer, seconds.
        continuous_since: Event-loop time since which the records were never older than
            `MAX_GAP_S`, seconds. Of what came and went in a gap, nothing may be known.
    """

    def __init__(
        self,
        store: RecordStream,
        stream: Stream,
        on_record: OnRecord,
        on_snapshot: OnSnapshot,
        must_read: Callable[[], bool],
        on_news: Callable[[], None],
        revision: Revision,
        replaces: Replaces,
        on_era: Callable[[int], None],
        check_due_s: Callable[[], float],
        log: EventLog,
        metrics: Metrics,
        rng: Random,
        is_kept: Callable[[str], bool] = lambda key: False,
    ) -> None:
        self.stream = stream
        self._store = store
        self._on_record = on_record
        self._on_snapshot = on_snapshot
        self._must_read = must_read
        self._on_news = on_news
        self._revision = revision
        self._replaces = replaces
        self._on_era = on_era
        self._check_due_s = check_due_s
        self._log = log
        self._metrics = metrics
        self._rng = rng
        self._is_kept = is_kept
        self._clock = asyncio.get_running_loop().time
        self._records: dict[str, StreamRecord] = {}
        self._snapshot_end = START
        self._era_known_from = START
        self._needs_snapshot = True
        self._noticed_era = 0
        self._answer_era = 0
        self._era_changed = asyncio.Event()
        self.end = START
        self.is_complete = False
        self.is_connected = False
        self.outage_ended_at = float("-inf")
        self.source = STORE_SOURCE
        self.answered_at = float("-inf")
        self.current_at = float("-inf")
        self.continuous_since = float("inf")
        # Whether a call has failed since the records were last known to be current, and
        # when one that does not wait was sent and is not answered.
        self._has_failed = False
        self._pending_since: float | None = None
        # Of the last call: when it was sent, and for which moment its answer holds.
        self._asked_at = float("-inf")
        self._stated_at = float("-inf")
        self._retry_s = RETRY_MIN_S

    def page_since(self, start: Position) -> PeerPage:
        """Return the records from a position, for a peer.

        A peer that is behind the last snapshot gets all records, as it may know keys
        whose removal is no longer recorded. Records of an earlier history are those
        that the store has lost and not got again; a peer may lack them wherever it is.
        So it may lack what is known of kept keys.
        """
        is_snapshot = start < self._snapshot_end
        records = [
            record
            for record in self._records.values()
            if is_snapshot
            or record.position >= start
            or record.era < start.era
            or self._is_kept(record.key)
        ]
        outage_age_s = self._clock() - self.outage_ended_at
        return PeerPage(records, self.end, is_snapshot, outage_age_s, self.age_s)

    @property
    def age_s(self) -> float:
        """Return the time since the records were known to be current, seconds."""
        return self._clock() - self.current_at

    def confirm(self, at: float) -> None:
        """Learn that the records were current at an event-loop time."""
        self._end_gap(at)
        if at - self.current_at > MAX_GAP_S:
            self.continuous_since = at
        self.current_at = max(self.current_at, at)

    def _end_gap(self, at: float) -> None:
        """Learn that the store answered somebody at an event-loop time.

        An outage is proved by calls that the store did not answer, in a time in which
        it answered nobody else. Entries lapse only in one of several heartbeats.
        """
        now = self._clock()
        if at <= now - MAX_GAP_S:
            return  # said of a time before
        gap_s = at - max(self.current_at, self.answered_at)
        is_pending = (
            self._pending_since is not None and now - self._pending_since > UNANSWERED_S
        )
        if gap_s > MAX_GAP_S and (self._has_failed or is_pending):
            self.outage_ended_at = now
            self._log.info("store_outage", stream=self.stream, gap_s=gap_s)
        self._has_failed = False

    def _learn_outage(self, ended_at: float) -> None:
        """Learn of an outage from a peer, unless the store was answering meanwhile.

        The peer may have been cut off from it alone.
        """
        is_known_up = (
            self.continuous_since <= ended_at - MAX_GAP_S
            and self.current_at >= ended_at
        )
        if not is_known_up:
            self.outage_ended_at = max(self.outage_ended_at, ended_at)

    async def check(self) -> None:
        """Read what the store has added, beside a read that waits.

        Raises:
            StoreUnavailable: The records are not known to be current.
        """
        asked_at = self._clock()
        has_more = self.is_complete
        if not has_more:
            raise StoreUnavailable("the stream has not been read yet")
        while has_more:
            start = self.end
            try:
                page = await self._store.read(self.stream, start.offset, 0.0)
            except StreamTrimmed as exc:
                raise StoreUnavailable(str(exc), exc.era) from exc
            if page.era != start.era:
                raise StoreUnavailable("the answer is of another era", page.era)
            self._note_answer()
            self.apply_page(page)
            has_more = page.has_more
        self.confirm(asked_at)

    async def run(self) -> None:
        """Follow the stream until cancelled."""
        self._needs_snapshot = True
        while True:
            if self.is_complete and not self._must_read():
                self._stand_by()
                await asyncio.sleep(STANDBY_CHECK_S)
                continue
            start = self.end
            try:
                if self._needs_snapshot:
                    await self._read_snapshot()
                    continue
                # After a loss, poll without waiting: the answer shows that the store
                # is back.
                wait_s = LONG_POLL_S if self.is_connected else 0.0
                page = await self._read(start, wait_s)
                if page is None:
                    continue
                if self._is_other_era(page.era, start):
                    await self._pause_before_snapshot(page.era)
                    continue
                self._retry_s = RETRY_MIN_S
                self._mark_connected()
                self.source = STORE_SOURCE
                if not page.has_more:
                    self.confirm(self._stated_at)
                self.apply_page(page)
                if page.records and not page.has_more:
                    await asyncio.sleep(READ_PAUSE_S)
            except StreamTrimmed as exc:
                self._metrics.count("store.trimmed", stream=self.stream.value)
                self._log.warning(
                    "stream_trimmed", stream=self.stream, end=start, era=exc.era
                )
                self._is_other_era(exc.era, start)
                self._needs_snapshot = True
                await self._pause_before_snapshot(exc.era)
            except StoreUnavailable as exc:
                if exc.era is not None:
                    self._is_other_era(exc.era, start)
                self._mark_disconnected(str(exc))
                await self._pause()

    def handle_era(self, era: int) -> None:
        """Handle that the store has a later history, as was learned elsewhere.

        A read that waits would not be answered until the store has passed its offset.
        """
        if era > self.end.era:
            self._needs_snapshot = True
            self._era_changed.set()

    async def _read(self, start: Position, wait_s: float) -> StreamPage | None:
        """Read from the store, with checks while the read waits.

        Returns:
            The answer of the read, or of a check that knows more; None if a peer has
            told of a later era, or of records that the read should have brought.

        Raises:
            StoreUnavailable: The read or a check has no usable answer.
            StreamTrimmed: Records from this position are no longer retained.
        """
        self._era_changed.clear()
        read = asyncio.ensure_future(self._ask(start.offset, wait_s))
        changed = asyncio.ensure_future(self._era_changed.wait())
        check: asyncio.Task[StreamPage | None] | None = None
        tasks = [read, changed]
        if wait_s:
            check = asyncio.ensure_future(self._check_until_news(start))
            tasks.append(check)
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            if read.done():
                # One that waited tells how things are when it is answered.
                self._stated_at = self._clock() if wait_s else self._asked_at
                return read.result()
            return check.result() if check is not None and check.done() else None
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def _check_until_news(self, start: Position) -> StreamPage | None:
        """Read without waiting whenever the records have to be checked.

        Args:
            start: Position of the read that waits meanwhile.

        Returns:
            An answer with news; None if the store answers, and should have answered the
            read that waits as well.
        """
        while True:
            await asyncio.sleep(self._check_wait_s())
            if self._check_wait_s() > 0:
                continue
            self._metrics.count("store.checks", stream=self.stream.value)
            page = await self._ask(self.end.offset, 0.0)
            self._stated_at = self._asked_at
            if page.records or page.era != start.era:
                self._metrics.count("store.missed", stream=self.stream.value)
                return page
            self._note_answer()
            self.confirm(self._stated_at)
            self._on_news()
            if self.end > start:
                return None

    def _check_wait_s(self) -> float:
        """Return the time until this stream has to be checked, seconds."""
        asked_s = self._clock() - self._asked_at
        return max(self._check_due_s(), CHECK_PAUSE_S - asked_s)

    async def _ask(self, offset: int, wait_s: float) -> StreamPage:
        self._asked_at = self._clock()
        if wait_s:
            return await self._store.read(self.stream, offset, wait_s)
        with self._pending():
            return await self._store.read(self.stream, offset, 0.0)

    @contextlib.contextmanager
    def _pending(self) -> Iterator[None]:
        """Note that a call which does not wait is under way."""
        self._pending_since = self._clock()
        try:
            yield
        finally:
            self._pending_since = None

    async def _read_snapshot(self) -> None:
        """Read the newest records of all keys.

        Raises:
            StoreUnavailable: There is no usable answer.
        """
        self._asked_at = self._clock()
        with self._pending():
            page = await self._store.newest(self.stream)
        if page.era < self.end.era:
            detail = f"the answer is of era {page.era}, after {self.end.era}"
            raise StoreUnavailable(detail, page.era)
        self._log.info(
            "stream_snapshot",
            stream=self.stream,
            era=page.era,
            n_records=len(page.records),
            snapshot_end=page.end,
            end=self.end,
        )
        self._mark_connected()
        if self.end != START and page.era > self.end.era:
            # Upstreams whose entries were lost write them again, as after an outage.
            self.outage_ended_at = self._clock()
        self.source = STORE_SOURCE
        self.confirm(self._asked_at)
        self._apply_snapshot(page)
        self._needs_snapshot = False

    async def _pause_before_snapshot(self, era: int) -> None:
        """Pause unless the era is new, so that the store is not called in a loop."""
        if era > self._noticed_era:
            self._noticed_era = era
        else:
            await self._pause()

    async def _pause(self) -> None:
        await asyncio.sleep(self._retry_s * self._rng.uniform(0.7, 1.0))
        self._retry_s = min(RETRY_MAX_S, self._retry_s * 2)

    def _is_other_era(self, era: int, start: Position) -> bool:
        """Return whether an answer belongs to another history than what was asked.

        The store may have given out the offsets of the read again, so that the answer
        shows nothing else of what was lost.
        """
        if era == start.era:
            return False
        if start != START and era != self._answer_era:
            self._metrics.count("store.eras", stream=self.stream.value)
            self._log.warning("store_era", stream=self.stream, era=era, end=start)
        self._answer_era = era
        self._needs_snapshot = True
        self._on_era(era)
        return True

    def apply_page(self, page: StreamPage) -> int:
        """Apply records from the store or a peer; return the number of new ones."""
        n_new = n_old = 0
        if page.era > self.end.era:
            self._era_known_from = page.position
        for record in page.records:
            known = self._records.get(record.key)
            if self._is_old(record, known):
                n_old += record != known
                continue
            if self._is_kept(record.key):
                record = superseding(record, known)
            self._records[record.key] = record
            n_new += 1
            self._apply(record)
        if n_old:
            self._log.info(
                "stream_records_old",
                stream=self.stream,
                n_records=n_old,
                page_end=page.position,
                end=self.end,
            )
        if page.position > self.end:
            self.end = page.position
            self._on_news()
        return n_new

    def _apply(self, record: StreamRecord) -> None:
        """Apply a record; one that fails does not hold up those after it."""
        try:
            self._on_record(record)
        except Exception as exc:
            self._metrics.count("store.record_errors", stream=self.stream.value)
            self._log.error(
                "record_failed",
                stream=self.stream,
                key=record.key,
                position=record.position,
                error=repr(exc),
            )

    def _is_old(self, record: StreamRecord, known: StreamRecord | None) -> bool:
        """Return whether a record is not to be applied."""
        if known is not None:
            return not self._is_newer(record, known)
        # All that is below the end has been read. A key that is not known there has
        # been removed since: the answer is late.
        is_below = record.era == self.end.era and record.position < self.end
        return is_below and self._is_kept(record.key)

    def _is_newer(self, record: StreamRecord, known: StreamRecord) -> bool:
        """Return whether a record replaces the known one of its key.

        A store that has lost records has older ones in a later history, until they are
        written again, perhaps behind newer ones.
        """
        if self._is_kept(record.key):
            return is_newer(record, known, self._era_known_from)
        is_later = record.position > known.position
        if record.value is None or known.value is None:
            return is_later
        revision, known_revision = self._revision(record), self._revision(known)
        if known_revision is None:
            return is_later
        if revision is None:
            return is_later and record.era == known.era
        is_lower = revision < known_revision
        has_change = record.era == known.era and revision != known_revision
        if has_change and is_later == is_lower:
            return self._replaces(record, is_later)
        return (revision, record.position) > (known_revision, known.position)

    def apply_peer_page(self, page: PeerPage, peer: str) -> None:
        """Apply the records of a peer."""
        is_later_era = page.end.era > self.end.era
        is_earlier_era = page.end.era < self.end.era
        ended_at = self._clock() - page.outage_age_s
        if is_later_era and self.end != START:
            # A peer that has started since does not know when the era began.
            self.outage_ended_at = max(ended_at, self.outage_ended_at)
            if ended_at == float("-inf"):
                self.outage_ended_at = self._clock()
        else:
            self._learn_outage(ended_at)
        if is_later_era:
            self._on_era(page.end.era)
        self.source = peer
        self.confirm(self._clock() - page.age_s - HOP_S)
        records = StreamPage(page.records, page.end.offset, page.end.era)
        n_new = self.apply_page(records)
        if page.is_snapshot and not is_earlier_era:
            self._apply_snapshot(records)
        self.is_complete = True
        self._log.info(
            "stream_from_peer",
            stream=self.stream,
            peer=peer,
            n_new=n_new,
            peer_end=page.end,
            end=self.end,
        )

    def _apply_snapshot(self, page: StreamPage) -> None:
        """Apply the newest records; a key that is missing was removed."""
        self.apply_page(page)
        listed = {record.key for record in page.records}
        for key, known in list(self._records.items()):
            if key in listed or known.position >= page.position:
                continue
            if self._is_kept(key):
                self._handle_missing(known, page)
            else:
                del self._records[key]
        self._snapshot_end = max(self._snapshot_end, page.position)
        self.is_complete = True
        live = [record for record in self._records.values() if record.value]
        self._on_snapshot(live)

    def _handle_missing(self, known: StreamRecord, page: StreamPage) -> None:
        """Remove a record of a kept key that a snapshot lacks, unless it was lost."""
        if known.value is None:
            return
        if known.era == page.era:
            removed = self._records[known.key] = removal(known, page.position)
            self._apply(removed)
            return
        self._metrics.count("store.kept", stream=self.stream.value)
        self._log.info(
            "stream_record_kept",
            stream=self.stream,
            key=known.key,
            position=known.position,
            era=page.era,
        )

    def _stand_by(self) -> None:
        if self.is_connected:
            self.is_connected = False
            self._log.info("store_standby", stream=self.stream, end=self.end)

    def _note_answer(self) -> None:
        now = self._clock()
        self._end_gap(now)
        self.answered_at = now

    def _mark_connected(self) -> None:
        self._note_answer()
        if not self.is_connected:
            self.is_connected = True
            self._log.info("store_regained", stream=self.stream, end=self.end)

    def _mark_disconnected(self, reason: str) -> None:
        self._metrics.count("store.errors")
        self._has_failed = True
        if self.is_connected:
            self.is_connected = False
            now = self._clock()
            self._log.warning(
                "store_lost",
                stream=self.stream,
                reason=reason,
                asked_s=now - self._asked_at,
                answered_s=now - self.answered_at,
            )
