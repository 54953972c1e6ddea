"""Store of the records in force: the highest offset for each kind and name.

Records arrive from the log, from checkpoints in the log and from peers, in any order
and any number of times, and the resulting state is the same. No key is ever removed;
a deleted record stays as the current version of its key.
"""

from collections import OrderedDict
from collections.abc import Callable, Iterable, Iterator

from msgspec import Struct

from chicorylead.errors import Refusal
from chicorylead.ids import Offset, OrganisationId, ServiceName
from chicorylead.records.model import (
    Contract,
    Model,
    Organisation,
    Policy,
    RecordKind,
    Service,
    Upstream,
)
from chicorylead.records.schema import Record, to_model

__all__ = ["RecordStore", "VersionedRecord"]

N_REMEMBERED_PUBLISH_IDS = 5000


class VersionedRecord(Struct, frozen=True):
    """A record and the log offset at which it was accepted."""

    offset: Offset
    record: Record


class RecordStore:
    """Holds the records in force and serves the look-ups of the data path.

    Attributes:
        covered: Every log entry at or below this offset has been applied.
        n_changes: Number of changes, a cheap way to detect that something changed.
    """

    def __init__(self) -> None:
        self.covered = Offset(0)
        self.n_changes = 0
        self._versions: dict[tuple[str, str], VersionedRecord] = {}
        self._models: dict[RecordKind, dict[str, Model]] = {k: {} for k in RecordKind}
        self._publish_ids: OrderedDict[str, Offset] = OrderedDict()
        self._by_token: dict[str, OrganisationId] = {}
        self._contracts: dict[OrganisationId, list[Contract]] = {}
        self._upstreams: dict[ServiceName, list[Upstream]] = {}
        self._is_index_current = True
        self._listeners: list[Callable[[], None]] = []

    def on_change(self, listener: Callable[[], None]) -> None:
        """Call a function after each change of the records in force."""
        self._listeners.append(listener)

    # -- applying records

    def apply_entry(self, offset: Offset, record: Record) -> bool:
        """Apply a record read from the log, in the order of the log.

        Its condition is evaluated here, identically on every router: a record with
        `if_version` is ignored unless that version is the current one.

        Returns:
            Whether the record came into force.
        """
        current = self.version_of(record.key)
        if offset <= current or self._is_duplicate(record):
            return False
        if record.if_version is not None and record.if_version != current:
            return False
        return self.merge([VersionedRecord(offset, record)]) > 0

    def merge(self, versioned: Iterable[VersionedRecord]) -> int:
        """Merge records that were accepted before, from a checkpoint or a peer.

        Returns:
            The number of records that came into force.
        """
        n_new = 0
        for item in versioned:
            if item.offset > self.version_of(item.record.key):
                self._put(item)
                n_new += 1
        if n_new:
            self.n_changes += 1
            self._is_index_current = False
            for listener in self._listeners:
                listener()
        return n_new

    def _is_duplicate(self, record: Record) -> bool:
        item = self._versions.get(record.key)
        if item is None or not record.publish_id:
            return False
        return item.record.publish_id == record.publish_id

    def _put(self, item: VersionedRecord) -> None:
        record = item.record
        self._versions[record.key] = item
        if record.publish_id:
            self._publish_ids[record.publish_id] = item.offset
            while len(self._publish_ids) > N_REMEMBERED_PUBLISH_IDS:
                self._publish_ids.popitem(last=False)
        try:
            kind = RecordKind(record.kind)
        except ValueError:
            return
        models = self._models[kind]
        if record.deleted:
            models.pop(record.name, None)
            return
        try:
            models[record.name] = to_model(record)
        except Refusal:
            # This version cannot read a newer schema: the previous model stays in
            # use, and the record itself is kept and passed on.
            return

    def _rebuild_indexes(self) -> None:
        """Rebuild the look-up tables at the first use after a change."""
        if self._is_index_current:
            return
        self._is_index_current = True
        self._by_token = {
            digest: org.name
            for org in self._models[RecordKind.ORGANISATION].values()
            for digest in org.token_sha256
        }
        self._contracts = {}
        for contract in self._models[RecordKind.CONTRACT].values():
            self._contracts.setdefault(contract.organisation, []).append(contract)
        self._upstreams = {}
        for upstream in self._models[RecordKind.UPSTREAM].values():
            self._upstreams.setdefault(upstream.service, []).append(upstream)
        for upstreams in self._upstreams.values():
            upstreams.sort(key=lambda item: item.name)

    # -- versions

    def version_of(self, key: tuple[str, str]) -> Offset:
        """Return the current offset of a kind and name; 0 if there is none."""
        item = self._versions.get(key)
        return item.offset if item else Offset(0)

    def offset_of_publish(self, publish_id: str) -> Offset | None:
        """Return the offset at which a change took effect, if it is remembered."""
        return self._publish_ids.get(publish_id)

    def versions(self, after: int = -1) -> list[VersionedRecord]:
        """Return the records in force above an offset, in the order of the log."""
        found = [item for item in self._versions.values() if item.offset > after]
        return sorted(found, key=lambda item: item.offset)

    @property
    def highest_offset(self) -> Offset:
        """Return the highest offset of the records in force; 0 if there are none."""
        return max((v.offset for v in self._versions.values()), default=Offset(0))

    # -- look-ups of the data path

    def organisation_of_token(self, digest: str) -> OrganisationId | None:
        """Return the organisation that a credential digest belongs to."""
        self._rebuild_indexes()
        return self._by_token.get(digest)

    def organisation(self, name: OrganisationId) -> Organisation | None:
        """Return an organisation."""
        return self._models[RecordKind.ORGANISATION].get(name)

    def contracts(self, organisation: OrganisationId) -> list[Contract]:
        """Return the contracts of an organisation."""
        self._rebuild_indexes()
        return self._contracts.get(organisation, [])

    def share(self, organisation: OrganisationId) -> float:
        """Return the share of an organisation: the largest of its contracts."""
        shares = [contract.share for contract in self.contracts(organisation)]
        return max(shares, default=0.0)

    def service(self, name: ServiceName) -> Service | None:
        """Return a service."""
        return self._models[RecordKind.SERVICE].get(name)

    def services(self) -> Iterator[Service]:
        """Iterate over all services."""
        yield from self._models[RecordKind.SERVICE].values()

    def upstreams(self, service: ServiceName) -> list[Upstream]:
        """Return the upstreams of a service, ordered by name."""
        self._rebuild_indexes()
        return self._upstreams.get(service, [])

    @property
    def policy(self) -> Policy:
        """Return the policy named `default`, or the built-in one."""
        return self._models[RecordKind.POLICY].get("default") or Policy("default")
