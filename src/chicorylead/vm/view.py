"""One router's view of the fleet: the platform's list merged with direct evidence.

The list lags behind the real state; evidence from links does not. States of a member
are ordered by its incarnation, then by a version that only the member itself
increments, then by severity. All routers that received the same notices therefore hold
the same view.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import IntEnum

from msgspec import Struct

from chicorylead.backing.api import VmEntry, VmList, VmRole, VmState
from chicorylead.ids import Incarnation, RouterId, UpstreamId, ZoneName
from chicorylead.records.model import Upstream

__all__ = ["FleetView", "Member", "MemberNotice", "MemberState"]


class MemberState(IntEnum):
    """State of a router, from best to worst."""

    LIVE = 0
    LEAVING = 1
    GONE = 2


class MemberNotice(Struct, frozen=True, array_like=True):
    """State of one router, gossiped from link to link.

    Attributes:
        version: Incremented by the router itself to refute an earlier notice.
    """

    router: RouterId
    incarnation: Incarnation
    version: int
    state: MemberState

    @property
    def order(self) -> tuple[int, int, int]:
        """Return the sort key of notices about the same router."""
        return (self.incarnation, self.version, int(self.state))


@dataclass(slots=True)
class Member:
    """A router as known to this one.

    Attributes:
        address: IP address and port for callers.
        link: IP address and port for peers.
        listed: Whether the platform's list contains it.
        last_heard_at: Event-loop time of the last message from it, seconds.
    """

    id: RouterId
    zone: ZoneName
    address: str
    link: str
    incarnation: Incarnation = Incarnation(0)
    version: int = 0
    state: MemberState = MemberState.LIVE
    listed: bool = True
    last_heard_at: float = float("-inf")

    @property
    def notice(self) -> MemberNotice:
        """Return the state as a notice."""
        return MemberNotice(self.id, self.incarnation, self.version, self.state)


class FleetView:
    """Routers and leaving upstreams, as seen from one router.

    Args:
        own: This router.
        on_change: Called with each notice that changed the view, to pass it on.

    Attributes:
        list_version: Version of the platform's list that was applied last.
        n_changes: Number of changes; tells that something in the view changed.
    """

    def __init__(self, own: Member, on_change: Callable[[MemberNotice], None]) -> None:
        self.own = own
        self.list_version = 0
        self.n_changes = 0
        own.listed = False
        self._members: dict[RouterId, Member] = {own.id: own}
        self._on_change = on_change
        self._listed_upstreams: dict[UpstreamId, VmEntry] = {}
        self._leaving_upstreams: set[UpstreamId] = set()

    # -- the platform's list and notices from others

    def apply_vm_list(self, listed: VmList) -> None:
        """Apply the platform's list of VMs, or changes to it."""
        self.list_version = listed.version
        if listed.is_full:
            kept = {vm.id for vm in listed.vms}
            known = [*self._members, *self._listed_upstreams]
            self._remove(vm_id for vm_id in known if vm_id not in kept)
        self._remove(listed.removed)
        for vm in listed.vms:
            match vm.role:
                case VmRole.ROUTER:
                    self._apply_router(vm)
                case VmRole.UPSTREAM:
                    self._apply_upstream(vm)
        self.n_changes += 1

    def _remove(self, ids: Iterable[str]) -> None:
        for vm_id in list(ids):
            self._listed_upstreams.pop(UpstreamId(vm_id), None)
            self._leaving_upstreams.discard(UpstreamId(vm_id))
            member = self._members.get(RouterId(vm_id))
            if member is not None and member is not self.own:
                member.listed = False
                if member.state is MemberState.GONE:
                    del self._members[member.id]

    def _apply_router(self, vm: VmEntry) -> None:
        router = RouterId(vm.id)
        if router == self.own.id:
            self.own.listed = True
            self.own.address = vm.address or self.own.address
            return
        member = self._members.get(router)
        if member is None:
            member = Member(router, vm.zone, vm.address, vm.link)
            self._members[router] = member
        member.listed = True
        member.zone, member.address, member.link = vm.zone, vm.address, vm.link
        if vm.state is VmState.LEAVING and member.state is MemberState.LIVE:
            member.state = MemberState.LEAVING

    def _apply_upstream(self, vm: VmEntry) -> None:
        upstream = UpstreamId(vm.id)
        self._listed_upstreams[upstream] = vm
        if vm.state is VmState.LEAVING:
            self._leaving_upstreams.add(upstream)

    def apply_notice(self, notice: MemberNotice) -> None:
        """Apply a notice about a router, and pass it on if it changes the view."""
        if notice.router == self.own.id:
            self._refute(notice)
            return
        member = self._members.get(notice.router)
        if member is None or notice.order <= member.notice.order:
            return
        changed = member.state is not notice.state
        member.incarnation = notice.incarnation
        member.version = notice.version
        member.state = notice.state
        self.n_changes += 1 if changed else 0
        self._on_change(notice)

    def _refute(self, notice: MemberNotice) -> None:
        own = self.own
        if notice.incarnation == own.incarnation and notice.order > own.notice.order:
            own.version = notice.version + 1
            self._on_change(own.notice)

    def record_message(
        self, router: RouterId, incarnation: Incarnation, now: float
    ) -> Member | None:
        """Record a message from a router and return the router, or None if unknown."""
        member = self._members.get(router)
        if member is None:
            return None
        member.last_heard_at = now
        if incarnation > member.incarnation:
            self.apply_notice(MemberNotice(router, incarnation, 0, MemberState.LIVE))
        return member

    # -- evidence of this router

    def declare(self, router: RouterId, state: MemberState) -> None:
        """Set a worse state of another router or of this one, and pass it on."""
        member = self._members.get(router)
        if member is None or member.state >= state:
            return
        member.state = state
        self.n_changes += 1
        self._on_change(member.notice)

    def mark_upstream_leaving(self, upstream: UpstreamId) -> bool:
        """Mark an upstream as leaving; return whether it was not marked before."""
        is_new = upstream not in self._leaving_upstreams
        self._leaving_upstreams.add(upstream)
        return is_new

    # -- queries

    def member(self, router: RouterId) -> Member | None:
        """Return one router."""
        return self._members.get(router)

    def members(self) -> list[Member]:
        """Return all known routers, this one included."""
        return list(self._members.values())

    def present(self) -> list[Member]:
        """Return live and leaving routers; both still serve."""
        return [m for m in self._members.values() if m.state < MemberState.GONE]

    def live(self) -> list[Member]:
        """Return routers that callers may use."""
        return [m for m in self._members.values() if m.state is MemberState.LIVE]

    def reachable_fraction(self) -> float:
        """Return the fraction of listed routers on this side of a partition."""
        listed = [m for m in self._members.values() if m.listed]
        n_present = sum(1 for m in listed if m.state < MemberState.GONE)
        return n_present / len(listed) if listed else 1.0

    def is_upstream_leaving(self, upstream: UpstreamId) -> bool:
        """Return whether an upstream is leaving and may get no new work."""
        return upstream in self._leaving_upstreams

    def upstream_address(self, record: Upstream) -> str:
        """Return an upstream's address; the platform's list overrides its record."""
        vm = self._listed_upstreams.get(record.name)
        listed = vm.address if vm is not None else ""
        return listed or f"{record.host}:{record.port}"
