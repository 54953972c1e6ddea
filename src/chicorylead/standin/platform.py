"""Stand-in platform: append-only log, list of VMs, weight store.

Offsets start at 1. Streams keep a limited number of entries.
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
from chicorylead.standin.faults import FaultBoard

__all__ = ["StandinPlatform", "StandinPlatformSettings", "TokenBucket"]


class StandinPlatformSettings(Struct, kw_only=True, forbid_unknown_fields=True):
    """Settings of the stand-in platform.

    Attributes:
        host: IP number to listen on.
        port: TCP port; 0 takes a free one.
        token: Credential that clients must show.
        appends_per_s: Appends taken in a second, over all streams.
        retention: Entries that a stream keeps.
        vm_lag_s: Age of the list of VMs, seconds.
        reservations_per_s: Weight transfers granted in a second.
        seed: Seed of the faults.
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
    """Tell how long to wait so that a rate is kept.

    Args:
        rate: Tokens in a second.
        burst: Most tokens saved up.
    """

    def __init__(self, rate: float, burst: float) -> None:
        self._rate = rate
        self._burst = burst
        self._tokens = burst
        self._updated = asyncio.get_running_loop().time()

    def take(self) -> float:
        """Take one token and return the wait in seconds until it is there."""
        now = asyncio.get_running_loop().time()
        grown = self._tokens + (now - self._updated) * self._rate
        self._tokens = min(self._burst, grown) - 1.0
        self._updated = now
        return max(0.0, -self._tokens / self._rate)


class _Stream:
    """Entries of one stream, oldest dropped beyond the retention."""

    def __init__(self, retention: int) -> None:
        self.entries: deque[LogEntry] = deque(maxlen=retention)
        self.end = Offset(1)
        self.grown = asyncio.Event()

    @property
    def first(self) -> Offset:
        return self.entries[0].offset if self.entries else self.end

    def append(self, data: str) -> Offset:
        offset = self.end
        self.entries.append(LogEntry(offset, data))
        self.end = Offset(offset + 1)
        self.grown.set()
        self.grown = asyncio.Event()
        return offset

    def page(self, start: Offset, limit: int) -> LogPage:
        skip = max(0, start - self.first)
        found = [
            self.entries[i]
            for i in range(skip, min(len(self.entries), skip + max(1, limit)))
        ]
        return LogPage(self.first, self.end, found)


class StandinPlatform:
    """The platform as one small HTTP server.

    Args:
        cfg: Settings.
    """

    def __init__(self, cfg: StandinPlatformSettings | None = None) -> None:
        self._cfg = cfg or StandinPlatformSettings()
        self._board = FaultBoard(self._cfg.seed)
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
            Route("/standin/vms/{id}", self._drop_vm, methods=["DELETE"]),
            Route("/standin/views/{viewer}", self._put_view, methods=["PUT"]),
            Route("/standin/faults", self._board.handle, methods=["POST"]),
        ]
        self._app = Starlette(routes=routes)
        self._server: HttpServer | None = None

    @property
    def port(self) -> int:
        """Return the port that is listened on."""
        assert self._server is not None
        return self._server.port

    @property
    def url(self) -> str:
        """Return the base URL."""
        return f"http://{self._cfg.host}:{self.port}"

    async def start(self) -> None:
        """Start to serve."""
        self._server = HttpServer(self._app, self._cfg.host, self._cfg.port)
        await self._server.start()

    async def stop(self) -> None:
        """Stop at once; requests in flight are cut."""
        if self._server is not None:
            await self._server.stop(grace_s=0.05)

    # -- log

    def _stream(self, name: str) -> _Stream:
        return self._streams.setdefault(name, _Stream(self._cfg.retention))

    def _authorised(self, request: Request) -> bool:
        return request.headers.get("authorization") == f"Bearer {self._cfg.token}"

    async def _append(self, request: Request) -> Response:
        if not self._authorised(request):
            return Response(status_code=401)
        await self._board.before_action()
        data = (await request.body()).decode()
        wait_s = self._appends.take()
        if wait_s > 1.0:
            return Response(status_code=429)
        await asyncio.sleep(wait_s)
        offset = self._stream(request.path_params["stream"]).append(data)
        self.n_appends += 1
        await self._board.after_action()
        return Response(b'{"offset":%d}' % offset)

    async def _read(self, request: Request) -> Response:
        if not self._authorised(request):
            return Response(status_code=401)
        await self._board.before_action()
        stream = self._stream(request.path_params["stream"])
        start = Offset(int(request.query_params.get("from", "1")))
        limit = int(request.query_params.get("limit", "500"))
        wait_s = int(request.query_params.get("wait_ms", "0")) / 1000.0
        if start >= stream.end and wait_s > 0:
            try:
                await asyncio.wait_for(stream.grown.wait(), wait_s)
            except TimeoutError:
                pass
            await self._board.before_action()
        page = stream.page(start, limit)
        await self._board.after_action()
        return Response(msgspec.json.encode(page))

    # -- VMs

    async def _list_vms(self, request: Request) -> Response:
        if not self._authorised(request):
            return Response(status_code=401)
        await self._board.before_action()
        horizon = asyncio.get_running_loop().time() - self._cfg.vm_lag_s
        shown = VmList(0, [])
        for at, listed in self._vm_history:
            if at <= horizon:
                shown = listed
        view = self._views.get(request.headers.get("x-viewer", ""), {})
        since = int(request.query_params.get("since", "0"))
        changed = self._changes(since, shown)
        vms = [_seen_by(vm, view) for vm in changed.vms]
        await self._board.after_action()
        return Response(msgspec.json.encode(msgspec.structs.replace(changed, vms=vms)))

    def _changes(self, since: int, shown: VmList) -> VmList:
        """Return the difference between a version and the list that is shown."""
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

    async def _drop_vm(self, request: Request) -> Response:
        self._vms.pop(request.path_params["id"], None)
        self._note_vms()
        return Response(b"{}")

    async def _put_view(self, request: Request) -> Response:
        view = msgspec.json.decode(await request.body(), type=dict[str, str])
        self._views[request.path_params["viewer"]] = view
        return Response(b"{}")

    def put_vm(self, vm: VmEntry) -> None:
        """Add or change a VM; the list shows it after its lag."""
        self._vms[vm.id] = vm
        self._note_vms()

    def set_vm_state(self, vm_id: str, state: VmState) -> None:
        """Mark a VM as live or leaving."""
        self.put_vm(msgspec.structs.replace(self._vms[vm_id], state=state))

    def _note_vms(self) -> None:
        self._vm_version += 1
        now = asyncio.get_running_loop().time()
        listed = VmList(self._vm_version, list(self._vms.values()))
        self._vm_history.append((now, listed))

    # -- weights

    async def _reserve(self, request: Request) -> Response:
        if not self._authorised(request):
            return Response(status_code=401)
        await self._board.before_action()
        wait_s = self._reservations.take()
        await self._board.after_action()
        return Response(msgspec.json.encode({"wait_s": wait_s}))


def _seen_by(vm: VmEntry, view: dict[str, str]) -> VmEntry:
    """Replace addresses by those that one viewer has to use."""
    if not view:
        return vm
    return msgspec.structs.replace(
        vm,
        address=view.get(vm.address, vm.address),
        link=view.get(vm.link, vm.link),
    )
