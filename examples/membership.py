"""A view of the fleet, merged from the platform's list and a notice."""

from chicorylead.backing.api import VmEntry, VmList, VmRole, VmState
from chicorylead.ids import Incarnation, RouterId, ZoneName
from chicorylead.vm.address import choose_addresses
from chicorylead.vm.view import FleetView, Member, MemberNotice, MemberState

own = Member(RouterId("router-1"), ZoneName("a"), "10.0.0.1:80", "", Incarnation(1))
view = FleetView(own, on_change=lambda notice: print("broadcast:", notice.state.name))
vms = [
    VmEntry("router-2", VmRole.ROUTER, VmState.LIVE, ZoneName("b"), "10.0.0.2:80"),
    VmEntry("router-3", VmRole.ROUTER, VmState.LIVE, ZoneName("a"), "10.0.0.3:80"),
]
view.apply_vm_list(VmList(1, vms))
view.apply_notice(
    MemberNotice(RouterId("router-3"), Incarnation(7), 0, MemberState.LEAVING)
)
answer = choose_addresses(view, None, None, lifetime_s=10.0)
print([entry.address for entry in answer.addresses])
