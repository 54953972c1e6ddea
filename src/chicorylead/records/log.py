"""Read the configuration stream and publish records to it."""

import asyncio
from random import Random

import msgspec
from msgspec import Struct

from chicorylead.backing.api import LogEntry, Platform, PlatformUnavailable
from chicorylead.errors import ErrorKind, Refusal
from chicorylead.ids import Offset
from chicorylead.logs import EventLog
from chicorylead.records.schema import Record, to_model
from chicorylead.records.store import RecordStore, VersionedRecord

__all__ = ["CONFIG_STREAM", "Checkpoint", "ConfigReader", "Publisher"]

CONFIG_STREAM = "config"
CHECKPOINT_CHUNK_RECORDS = 200
READ_LIMIT = 500
RETRY_BASE_S = 0.2
RETRY_CAP_S = 5.0
MAX_PUBLISH_ATTEMPTS = 4


class Checkpoint(Struct, frozen=True, tag="checkpoint"):
    """One chunk of a checkpoint, which replaces log entries before they are dropped.

    Attributes:
        covers: The checkpoint replaces all entries at or below this offset.
        chunk: Index of this chunk, from 0.
        n_chunks: Number of chunks in the checkpoint.
        records: Records in force that this chunk contains.
    """

    covers: Offset
    chunk: int
    n_chunks: int
    records: list[VersionedRecord]


class _Change(Struct, frozen=True, tag="record"):
    record: Record


_Entry = Checkpoint | _Change
_decoder = msgspec.json.Decoder(_Entry)


class ConfigReader:
    """Keeps a store up to date from the configuration stream.

    Attributes:
        caught_up: Set once the reader has reached the end of the log.
        next_offset: Next offset to read.
        first_offset: Lowest offset that the log retained at the last read.
        log_ok: Whether the last read of the log succeeded.
    """

    def __init__(
        self,
        platform: Platform,
        store: RecordStore,
        log: EventLog,
        rng: Random,
        wait_s: float = 5.0,
    ) -> None:
        self.caught_up = asyncio.Event()
        self.next_offset = Offset(1)
        self.first_offset = Offset(1)
        self.log_ok = False
        self._platform = platform
        self._store = store
        self._log = log
        self._rng = rng
        self._wait_s = wait_s
        self._read_lock = asyncio.Lock()
        self._progress = asyncio.Event()
        self._chunks: dict[Offset, dict[int, Checkpoint]] = {}
        self._deferred: list[tuple[Offset, Record]] = []
        self._needs_checkpoint = False
        self._newest_checkpoint = Offset(0)

    async def run(self) -> None:
        """Read until cancelled."""
        n_failures = 0
        while True:
            try:
                await self.read_once(self._wait_s if self.caught_up.is_set() else 0.0)
                n_failures = 0
            except PlatformUnavailable as exc:
                n_failures += 1
                self._set_log_ok(False, str(exc))
                cap_s = min(RETRY_CAP_S, RETRY_BASE_S * 2**n_failures)
                await asyncio.sleep(self._rng.uniform(0, cap_s))

    async def read_once(self, wait_s: float = 0.0) -> None:
        """Read one page of entries and apply it."""
        start = self.next_offset
        page = await self._platform.read(CONFIG_STREAM, start, READ_LIMIT, wait_s)
        self._set_log_ok(True, "")
        async with self._read_lock:
            self.first_offset = page.first
            if page.first > max(self.next_offset, self._store.covered + 1):
                self._needs_checkpoint = True
            for entry in page.entries:
                if entry.offset >= self.next_offset:
                    self._apply(entry)
                    self.next_offset = Offset(entry.offset + 1)
            if self.next_offset >= page.end and not self._needs_checkpoint:
                self.caught_up.set()
        self._progress.set()
        self._progress = asyncio.Event()

    async def wait_for(self, offset: Offset) -> None:
        """Wait until the entry at an offset has been applied."""
        while self.next_offset <= offset:
            await self._progress.wait()

    @property
    def newest_checkpoint(self) -> Offset:
        """Return the offset covered by the newest complete checkpoint; 0 if none."""
        return self._newest_checkpoint

    def _set_log_ok(self, ok: bool, reason: str) -> None:
        if ok != self.log_ok:
            self.log_ok = ok
            event = "config_log_up" if ok else "config_log_down"
            self._log.info(event, reason=reason, next_offset=self.next_offset)

    def _apply(self, entry: LogEntry) -> None:
        try:
            decoded = _decoder.decode(entry.data)
        except (msgspec.DecodeError, RecursionError) as exc:
            self._log.warning("config_entry_bad", offset=entry.offset, reason=exc)
            return
        match decoded:
            case _Change(record=record):
                self._apply_change(entry.offset, record)
            case Checkpoint():
                self._apply_chunk(decoded)

    def _apply_change(self, offset: Offset, record: Record) -> None:
        if self._needs_checkpoint:
            self._deferred.append((offset, record))
            return
        if self._store.apply_entry(offset, record):
            self._log.info(
                "record_in_force", offset=offset, kind=record.kind, name=record.name
            )
        self._store.covered = max(self._store.covered, offset)

    def _apply_chunk(self, chunk: Checkpoint) -> None:
        chunks = self._chunks.setdefault(chunk.covers, {})
        chunks[chunk.chunk] = chunk
        if len(chunks) < chunk.n_chunks:
            return
        del self._chunks[chunk.covers]
        self._newest_checkpoint = max(self._newest_checkpoint, chunk.covers)
        for part in chunks.values():
            self._store.merge(part.records)
        self._store.covered = max(self._store.covered, chunk.covers)
        if not self._needs_checkpoint:
            return
        self._needs_checkpoint = False
        deferred, self._deferred = self._deferred, []
        for offset, record in deferred:
            if offset > chunk.covers:
                self._apply_change(offset, record)


class Publisher:
    """Appends records, and confirms each once it has been read back from the log.

    Args:
        platform: Platform that holds the log.
        store: Records in force on this router.
        reader: Reader that feeds the store.
        rng: Generates publish ids and retry delays.
    """

    def __init__(
        self,
        platform: Platform,
        store: RecordStore,
        reader: ConfigReader,
        rng: Random,
    ) -> None:
        self._platform = platform
        self._store = store
        self._reader = reader
        self._rng = rng

    async def publish(self, record: Record, deadline_s: float = 10.0) -> Offset:
        """Publish one record.

        Args:
            record: Record to publish. Without `if_version` it replaces whichever
                version is current; with it, any other change takes precedence.
            deadline_s: Time limit, seconds.

        Returns:
            The offset at which the record took effect.

        Raises:
            Refusal: VERSION_CONFLICT with the current version, PUBLISH_UNKNOWN
                if the log did not confirm in time, or what `to_model` raises.
        """
        if not record.deleted:
            to_model(record)
        if not record.publish_id:
            publish_id = f"{self._rng.getrandbits(64):016x}"
            record = msgspec.structs.replace(record, publish_id=publish_id)
        try:
            async with asyncio.timeout(deadline_s):
                return await self._publish(record)
        except TimeoutError:
            raise Refusal(
                ErrorKind.PUBLISH_UNKNOWN,
                f"the log did not respond within {deadline_s} s; publish again with "
                f"publish_id {record.publish_id!r}",
            ) from None

    async def _publish(self, record: Record) -> Offset:
        for _ in range(MAX_PUBLISH_ATTEMPTS):
            known = self._store.offset_of_publish(record.publish_id)
            if known is not None:
                return known
            expected = record.if_version
            if expected is None:
                expected = self._store.version_of(record.key)
            await self._append(msgspec.structs.replace(record, if_version=expected))
            known = self._store.offset_of_publish(record.publish_id)
            if known is not None:
                return known
            if record.if_version is not None:
                break
        current = self._store.version_of(record.key)
        raise Refusal(
            ErrorKind.VERSION_CONFLICT,
            f"{record.kind} {record.name!r} is at version {current}, not at "
            f"{record.if_version}",
        )

    async def _append(self, record: Record) -> None:
        data = msgspec.json.encode(_Change(record)).decode()
        while True:
            try:
                offset = await self._platform.append(CONFIG_STREAM, data)
                await self._read_past(offset)
                return
            except PlatformUnavailable:
                # The entry may have been appended. Appending it again is harmless:
                # its `if_version` and publish id make routers ignore the copy.
                await asyncio.sleep(self._rng.uniform(0, RETRY_BASE_S))
                if self._store.offset_of_publish(record.publish_id) is not None:
                    return

    async def _read_past(self, offset: Offset) -> None:
        while self._reader.next_offset <= offset:
            await self._reader.read_once()

    async def append_checkpoint(self) -> Offset:
        """Append a checkpoint in chunks and return the offset that it covers."""
        covers = self._store.covered
        records = self._store.versions()
        step = CHECKPOINT_CHUNK_RECORDS
        parts = [records[i : i + step] for i in range(0, len(records), step)] or [[]]
        for number, part in enumerate(parts):
            chunk = Checkpoint(covers, number, len(parts), part)
            await self._platform.append(
                CONFIG_STREAM, msgspec.json.encode(chunk).decode()
            )
        return covers
