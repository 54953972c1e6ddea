"""Records merged out of order: the highest offset always wins."""

from chicorylead.ids import Offset, OrganisationId
from chicorylead.records.schema import Record
from chicorylead.records.store import RecordStore, VersionedRecord


def contract(share: int) -> Record:
    """Return a contract in schema 1."""
    spec = {"organisation": "kask", "share": share, "services": ["design"]}
    return Record(kind="contract", schema=1, name="kask-base", spec=spec)


store = RecordStore()
store.merge([VersionedRecord(Offset(9), contract(4))])
store.merge([VersionedRecord(Offset(3), contract(1))])
print("share in force:", store.share(OrganisationId("kask")))
