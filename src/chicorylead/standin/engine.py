"""Stand-in model engine: continuous batching, prefix cache, resume, orders.

Up to `knee` concurrent streams each run at full speed; beyond that the total
throughput stays constant. Output depends on the request body alone, so that any engine
can resume a stream at any event and a caller can check every byte.
"""

import asyncio
import os
from collections import OrderedDict, deque
from collections.abc import AsyncIterator, Callable
from hashlib import blake2b

import msgspec
from msgspec import Struct
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response, StreamingResponse
from starlette.routing import Route

from chicorylead.http_server import HttpServer
from chicorylead.standin.faults import FaultInjector
from chicorylead.standin.run_log import Run, RunLog

__all__ = ["EngineSettings", "StandinEngine", "token_at"]

CRASH_EXIT_CODE = 70
PREFIX_CHARS = 64
REPORT_PERIOD_S = 0.25


class EngineSettings(Struct, kw_only=True, forbid_unknown_fields=True):
    """Settings of a stand-in engine.

    Attributes:
        id: Upstream id.
        host: IP address to listen on.
        port: TCP port; 0 selects a free one.
        knee: Maximum number of concurrent streams that run at full speed.
        token_s: Time between tokens of one stream at full speed, seconds.
        prefill_s_per_char: Prefill time for each prompt character that is not
            cached, seconds.
        cache_entries: Maximum number of cached prompt prefixes.
        checks_fencing: Whether orders with an outdated fencing token are rejected.
        models: Models loaded at startup.
        seed: Random seed of the faults.
    """

    id: str
    host: str = "127.0.0.1"
    port: int = 0
    knee: int = 8
    token_s: float = 0.02
    prefill_s_per_char: float = 0.0001
    cache_entries: int = 64
    checks_fencing: bool = True
    models: tuple[str, ...] = ("base",)
    seed: int = 0


class _Body(Struct):
    """Request fields that the engine reads."""

    prompt: str = ""
    n_tokens: int = 16
    marker: str = ""


class Order(Struct):
    """Desired state of an engine.

    Attributes:
        fencing: Fencing number of the lease under which the order was issued.
        models: Models to load.
        adapters: Adapters to load.
        role: Role that the engine is to take.
    """

    fencing: int
    models: list[str]
    adapters: list[str] = []
    role: str = "mixed"


class _LoadReport(Struct):
    at: float
    n_active: int
    knee: int


def token_at(prompt: str, index: int) -> str:
    """Return the token that every engine produces for a prompt at an index."""
    digest = blake2b(f"{prompt}|{index}".encode(), digest_size=3)
    return digest.hexdigest()


class StandinEngine:
    """A model engine as a single HTTP server.

    Args:
        cfg: Settings.
        on_crash: Called when a request crashes the engine.
    """

    def __init__(
        self,
        cfg: EngineSettings,
        on_crash: Callable[[], None] = lambda: os._exit(CRASH_EXIT_CODE),
    ) -> None:
        self._cfg = cfg
        self._on_crash = on_crash
        self.injector = FaultInjector(cfg.seed)
        self.run_log = RunLog()
        self.n_active = 0
        self._cancelled: set[str] = set()
        self._cache: OrderedDict[str, None] = OrderedDict()
        self._cache_events: deque[tuple[int, str, str]] = deque(maxlen=1000)
        self._n_cache_events = 0
        self._load_reports: deque[_LoadReport] = deque(maxlen=400)
        self._order = Order(0, list(cfg.models))
        self.orders: list[tuple[float, Order]] = []
        self._reporter: asyncio.Task[None] | None = None
        routes = [
            Route("/run/{operation}", self._run, methods=["POST"]),
            Route("/cancel/{exchange}", self._cancel, methods=["POST"]),
            Route("/health", self._health),
            Route("/load", self._load),
            Route("/cache_events", self._list_cache_events),
            Route("/orders", self._accept_order, methods=["POST"]),
            Route("/orders", self._get_order, methods=["GET"]),
            Route("/kv/{prefix}", self._export_kv, methods=["GET"]),
            Route("/kv/{prefix}", self._import_kv, methods=["PUT"]),
            Route("/standin/faults", self.injector.handle, methods=["POST"]),
            Route("/standin/ran", self.run_log.handle),
            Route("/standin/orders", self._list_orders),
        ]
        self._server = HttpServer(Starlette(routes=routes), cfg.host, cfg.port)

    @property
    def port(self) -> int:
        """Return the port that the server listens on."""
        return self._server.port

    async def start(self) -> None:
        """Start serving."""
        await self._server.start()
        self._reporter = asyncio.create_task(self._record_load())

    async def stop(self) -> None:
        """Stop immediately; streams in flight are cut off."""
        if self._reporter is not None:
            self._reporter.cancel()
        await self._server.stop(grace_s=0.05)

    # -- requests

    async def _run(self, request: Request) -> Response:
        raw = await request.body()
        faults = self.injector.faults
        if faults.crash_on and faults.crash_on.encode() in raw:
            self._on_crash()
        await self.injector.before_action()
        body = msgspec.json.decode(raw, type=_Body)
        exchange = request.headers.get("x-exchange-id", "")
        if self.injector.draw(faults.crossed):
            exchange, body = f"crossed-{exchange}", _Body("crossed", 3)
        first_index = int(request.headers.get("x-from-event", "0"))
        now = asyncio.get_running_loop().time()
        key = request.headers.get("idempotency-key", "")
        run = self.run_log.start(
            Run(body.marker, exchange, key, now, from_event=first_index)
        )
        headers = {"x-exchange-id": exchange, "cache-control": "no-store"}
        return StreamingResponse(
            self._stream(run, body, first_index), 200, headers, "text/event-stream"
        )

    async def _stream(
        self, run: Run, body: _Body, first_index: int
    ) -> AsyncIterator[bytes]:
        clock = asyncio.get_running_loop().time
        stop_at = body.n_tokens
        if self.injector.draw(self.injector.faults.truncate):
            stop_at = max(first_index, body.n_tokens // 2)
        self.n_active += 1
        try:
            await asyncio.sleep(self._prefill_s(body.prompt))
            await self.injector.after_action()
            for index in range(first_index, stop_at):
                await asyncio.sleep(self._token_s())
                if self.injector.faults.silent or self.injector.faults.down:
                    await self.injector.before_action()
                if run.exchange in self._cancelled:
                    self._cancelled.discard(run.exchange)
                    return
                self.run_log.add_cost(run, 1.0, clock())
                token = token_at(body.prompt, index)
                yield b"id: %d\ndata: %s\n\n" % (index, token.encode())
            if stop_at < body.n_tokens:
                return
            run.done = True
            yield (
                f"event: done\nid: {body.n_tokens}\n"
                f'data: {{"exchange":"{run.exchange}"}}\n\n'
            ).encode()
        finally:
            self.n_active -= 1

    def _token_s(self) -> float:
        contention = max(1.0, self.n_active / self._cfg.knee)
        return self._cfg.token_s * contention * self.injector.faults.slow_factor

    def _prefill_s(self, prompt: str) -> float:
        prefix = prompt[:PREFIX_CHARS]
        n_uncached = len(prompt)
        if prefix in self._cache:
            self._cache.move_to_end(prefix)
            n_uncached -= len(prefix)
        else:
            self._add_prefix(prefix)
        return (
            n_uncached * self._cfg.prefill_s_per_char * self.injector.faults.slow_factor
        )

    def _add_prefix(self, prefix: str) -> None:
        self._cache[prefix] = None
        self._record_cache_event("stored", prefix)
        while len(self._cache) > self._cfg.cache_entries:
            oldest, _ = self._cache.popitem(last=False)
            self._record_cache_event("evicted", oldest)

    def _record_cache_event(self, event: str, prefix: str) -> None:
        digest = blake2b(prefix.encode(), digest_size=8).hexdigest()
        self._n_cache_events += 1
        # One event in ten is not published, because real engines leave gaps too.
        if self.injector.rng.random() >= 0.1:
            self._cache_events.append((self._n_cache_events, event, digest))

    async def _cancel(self, request: Request) -> Response:
        self._cancelled.add(request.path_params["exchange"])
        return Response(b"{}")

    # -- reports

    async def _health(self, request: Request) -> Response:
        await self.injector.before_action()
        leaving = self.injector.faults.leaving
        return Response(msgspec.json.encode({"id": self._cfg.id, "leaving": leaving}))

    async def _record_load(self) -> None:
        clock = asyncio.get_running_loop().time
        while True:
            self._load_reports.append(
                _LoadReport(clock(), self.n_active, self._cfg.knee)
            )
            await asyncio.sleep(REPORT_PERIOD_S)

    async def _load(self, request: Request) -> Response:
        await self.injector.before_action()
        now = asyncio.get_running_loop().time()
        horizon = now - self.injector.faults.report_lag_s
        visible = [report for report in self._load_reports if report.at <= horizon]
        report = visible[-1] if visible else _LoadReport(horizon, 0, self._cfg.knee)
        body = {
            "id": self._cfg.id,
            "age_s": now - report.at,
            "n_active": report.n_active,
            "knee": report.knee,
            "leaving": self.injector.faults.leaving,
        }
        return Response(msgspec.json.encode(body))

    async def _list_cache_events(self, request: Request) -> Response:
        start = int(request.query_params.get("from", "0"))
        found = [event for event in self._cache_events if event[0] >= start]
        return Response(msgspec.json.encode(found))

    # -- orders

    async def _accept_order(self, request: Request) -> Response:
        await self.injector.before_action()
        order = msgspec.json.decode(await request.body(), type=Order)
        if self._cfg.checks_fencing and order.fencing < self._order.fencing:
            body = {"fencing": self._order.fencing}
            return Response(msgspec.json.encode(body), status_code=409)
        self._order = order
        self.orders.append((asyncio.get_running_loop().time(), order))
        await self.injector.after_action()
        return Response(msgspec.json.encode(self._order))

    async def _get_order(self, request: Request) -> Response:
        await self.injector.before_action()
        return Response(msgspec.json.encode(self._order))

    async def _list_orders(self, request: Request) -> Response:
        return Response(msgspec.json.encode(self.orders))

    async def _export_kv(self, request: Request) -> Response:
        wanted = request.path_params["prefix"]
        found = wanted in self._cache
        return Response(wanted.encode(), status_code=200 if found else 404)

    async def _import_kv(self, request: Request) -> Response:
        self._add_prefix(request.path_params["prefix"])
        return Response(b"{}")
