"""A store fed out of order: the highest offset wins, for ever."""

from chicorylead.ids import Offset, OrganisationId
from chicorylead.records.schema import Record
from chicorylead.records.store import RecordStore, VersionedRecord


def contract(share: int) -> Record:
    """Return a contract of the first schema."""
    spec = {"organisation": "kask", "share": share, "services": ["design"]}
    return Record(kind="contract", schema=1, name="kask-base", spec=spec)


store = RecordStore()
store.merge([VersionedRecord(Offset(9), contract(4))])
store.merge([VersionedRecord(Offset(3), contract(1))])
print("share in force:", store.share(OrganisationId("kask")))
