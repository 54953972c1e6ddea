"""Stand-in platform: append-only log, list of VMs, weight store.

Offsets start at 1. A stream retains a limited number of entries.
"""

import asyncio
from collections import deque

import msgspec
from msgspec import Struct
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from chicorylead.backing.api import LogEntry, LogPage, VmEntry, VmList, VmState
from chicorylead.http_server import HttpServer
from chicorylead.ids import Offset
from chicorylead.standin.faults import FaultInjector

__all__ = ["StandinPlatform", "StandinPlatformSettings", "TokenBucket"]


class StandinPlatformSettings(Struct, kw_only=True, forbid_unknown_fields=True):
    """Settings of the stand-in platform.

    Attributes:
        host: IP address to listen on.
        port: TCP port; 0 selects a free one.
        token: Bearer token that clients must present.
        appends_per_s: Maximum appends per second, over all streams.
        retention: Maximum number of entries in a stream.
        vm_lag_s: Age of the list of VMs, seconds.
        reservations_per_s: Maximum weight transfers granted per second.
        seed: Random seed of the faults.
    """

    host: str = "127.0.0.1"
    port: int = 0
    token: str = "platform-token"
    appends_per_s: float = 500.0
    retention: int = 100_000
    vm_lag_s: float = 1.0
    reservations_per_s: float = 2.0
    seed: int = 0


class TokenBucket:
    """Compute how long to wait to stay within a rate.

    Args:
        rate: Tokens added per second.
        burst: Maximum number of tokens held.
    """

    def __init__(self, rate: float, burst: float) -> None:
        self._rate = rate
        self._burst = burst
        self._tokens = burst
        self._updated = asyncio.get_running_loop().time()

    def take(self) -> float:
        """Take one token and return the seconds until it is available."""
        now = asyncio.get_running_loop().time()
        refilled = self._tokens + (now - self._updated) * self._rate
        self._tokens = min(self._burst, refilled) - 1.0
        self._updated = now
        return max(0.0, -self._tokens / self._rate)


class _Stream:
    """Entries of one stream; the oldest are dropped beyond the retention."""

    def __init__(self, retention: int) -> None:
        self.entries: deque[LogEntry] = deque(maxlen=retention)
        self.end = Offset(1)
        self.appended = asyncio.Event()

    @property
    def first(self) -> Offset:
        return self.entries[0].offset if self.entries else self.end

    def append(self, data: str) -> Offset:
        offset = self.end
        self.entries.append(LogEntry(offset, data))
        self.end = Offset(offset + 1)
        self.appended.set()
        self.appended = asyncio.Event()
        return offset

    def read(self, start: Offset, limit: int) -> LogPage:
        skip = max(0, start - self.first)
        found = [
            self.entries[i]
            for i in range(skip, min(len(self.entries), skip + max(1, limit)))
        ]
        return LogPage(self.first, self.end, found)


class StandinPlatform:
    """The platform as a single HTTP server.

    Args:
        cfg: Settings.
    """

    def __init__(self, cfg: StandinPlatformSettings | None = None) -> None:
        self._cfg = cfg or StandinPlatformSettings()
        self._injector = FaultInjector(self._cfg.seed)
        self._streams: dict[str, _Stream] = {}
        self._appends = TokenBucket(self._cfg.appends_per_s, 50)
        self._reservations = TokenBucket(self._cfg.reservations_per_s, 4)
        self._vms: dict[str, VmEntry] = {}
        self._vm_history: deque[tuple[float, VmList]] = deque(maxlen=1000)
        self._vm_version = 0
        self._views: dict[str, dict[str, str]] = {}
        self.n_appends = 0
        routes = [
            Route("/log/{stream}", self._append, methods=["POST"]),
            Route("/log/{stream}", self._read, methods=["GET"]),
            Route("/vms", self._list_vms),
            Route("/weights/{model}/reserve", self._reserve, methods=["POST"]),
            Route("/standin/vms/{id}", self._put_vm, methods=["PUT"]),
            Route("/standin/vms/{id}", self._remove_vm, methods=["DELETE"]),
            Route("/standin/views/{viewer}", self._put_view, methods=["PUT"]),
            Route("/standin/faults", self._injector.handle, methods=["POST"]),
        ]
        self._app = Starlette(routes=routes)
        self._server: HttpServer | None = None

    @property
    def port(self) -> int:
        """Return the port that the server listens on."""
        assert self._server is not None
        return self._server.port

    @property
    def url(self) -> str:
        """Return the base URL."""
        return f"http://{self._cfg.host}:{self.port}"

    async def start(self) -> None:
        """Start serving."""
        self._server = HttpServer(self._app, self._cfg.host, self._cfg.port)
        await self._server.start()

    async def stop(self) -> None:
        """Stop immediately; requests in flight are cut off."""
        if self._server is not None:
            await self._server.stop(grace_s=0.05)

    # -- log

    def _stream(self, name: str) -> _Stream:
        return self._streams.setdefault(name, _Stream(self._cfg.retention))

    def _is_authorised(self, request: Request) -> bool:
        return request.headers.get("authorization") == f"Bearer {self._cfg.token}"

    async def _append(self, request: Request) -> Response:
        if not self._is_authorised(request):
            return Response(status_code=401)
        await self._injector.before_action()
        data = (await request.body()).decode()
        wait_s = self._appends.take()
        if wait_s > 1.0:
            return Response(status_code=429)
        await asyncio.sleep(wait_s)
        offset = self._stream(request.path_params["stream"]).append(data)
        self.n_appends += 1
        await self._injector.after_action()
        return Response(b'{"offset":%d}' % offset)

    async def _read(self, request: Request) -> Response:
        if not self._is_authorised(request):
            return Response(status_code=401)
        await self._injector.before_action()
        stream = self._stream(request.path_params["stream"])
        start = Offset(int(request.query_params.get("from", "1")))
        limit = int(request.query_params.get("limit", "500"))
        wait_s = int(request.query_params.get("wait_ms", "0")) / 1000.0
        if start >= stream.end and wait_s > 0:
            try:
                await asyncio.wait_for(stream.appended.wait(), wait_s)
            except TimeoutError:
                pass
            await self._injector.before_action()
        page = stream.read(start, limit)
        await self._injector.after_action()
        return Response(msgspec.json.encode(page))

    # -- VMs

    async def _list_vms(self, request: Request) -> Response:
        if not self._is_authorised(request):
            return Response(status_code=401)
        await self._injector.before_action()
        horizon = asyncio.get_running_loop().time() - self._cfg.vm_lag_s
        shown = VmList(0, [])
        for at, listed in self._vm_history:
            if at <= horizon:
                shown = listed
        view = self._views.get(request.headers.get("x-viewer", ""), {})
        since = int(request.query_params.get("since", "0"))
        changed = self._diff(since, shown)
        vms = [_rewrite_addresses(vm, view) for vm in changed.vms]
        await self._injector.after_action()
        return Response(msgspec.json.encode(msgspec.structs.replace(changed, vms=vms)))

    def _diff(self, since: int, shown: VmList) -> VmList:
        """Return the changes from a version to the list shown; all of it if unknown."""
        known = next((v for _, v in self._vm_history if v.version == since), None)
        if known is None:
            return shown
        before = {vm.id: vm for vm in known.vms}
        after = {vm.id: vm for vm in shown.vms}
        changed = [vm for vm in shown.vms if before.get(vm.id) != vm]
        removed = [vm_id for vm_id in before if vm_id not in after]
        return VmList(shown.version, changed, removed, is_full=False)

    async def _put_vm(self, request: Request) -> Response:
        vm = msgspec.json.decode(await request.body(), type=VmEntry)
        self.put_vm(vm)
        return Response(b"{}")

    async def _remove_vm(self, request: Request) -> Response:
        self._vms.pop(request.path_params["id"], None)
        self._record_vm_list()
        return Response(b"{}")

    async def _put_view(self, request: Request) -> Response:
        view = msgspec.json.decode(await request.body(), type=dict[str, str])
        self._views[request.path_params["viewer"]] = view
        return Response(b"{}")

    def put_vm(self, vm: VmEntry) -> None:
        """Add or change a VM; the list shows it after `vm_lag_s`."""
        self._vms[vm.id] = vm
        self._record_vm_list()

    def set_vm_state(self, vm_id: str, state: VmState) -> None:
        """Set the state of a VM."""
        self.put_vm(msgspec.structs.replace(self._vms[vm_id], state=state))

    def _record_vm_list(self) -> None:
        self._vm_version += 1
        now = asyncio.get_running_loop().time()
        listed = VmList(self._vm_version, list(self._vms.values()))
        self._vm_history.append((now, listed))

    # -- weights

    async def _reserve(self, request: Request) -> Response:
        if not self._is_authorised(request):
            return Response(status_code=401)
        await self._injector.before_action()
        wait_s = self._reservations.take()
        await self._injector.after_action()
        return Response(msgspec.json.encode({"wait_s": wait_s}))


def _rewrite_addresses(vm: VmEntry, view: dict[str, str]) -> VmEntry:
    """Replace the addresses of a VM by those that one viewer has to use."""
    if not view:
        return vm
    return msgspec.structs.replace(
        vm,
        address=view.get(vm.address, vm.address),
        link=view.get(vm.link, vm.link),
    )
