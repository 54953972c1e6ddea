"""Two entries with one predecessor: the first in the log acquires the lease."""

from chicorylead.ids import Offset, RouterId
from chicorylead.lease.table import LeaseEntry, LeaseTable

table = LeaseTable()
first = LeaseEntry("orders", RouterId("router-1"), "a", Offset(0), 10.0)
late = LeaseEntry("orders", RouterId("router-2"), "b", Offset(0), 10.0)
table.apply(Offset(1), first, now=0.0)
table.apply(Offset(2), late, now=0.5)
state = table.get("orders")
print(f"held by {state.entry.router}, fencing number {state.fencing}")
print("may be taken at 5 s:", state.is_available(5.0, margin_s=1.0))
print("may be taken at 12 s:", state.is_available(12.0, margin_s=1.0))
