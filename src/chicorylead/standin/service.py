"""Stand-in plain service, with operations that are not idempotent."""

import asyncio
import os
from collections.abc import Callable
from hashlib import blake2b

import msgspec
from msgspec import Struct
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from chicorylead.http_server import HttpServer
from chicorylead.standin.engine import CRASH_EXIT_CODE
from chicorylead.standin.faults import FaultInjector
from chicorylead.standin.run_log import Run, RunLog

__all__ = ["ServiceSettings", "StandinService", "answer_to"]


class ServiceSettings(Struct, kw_only=True, forbid_unknown_fields=True):
    """Settings of a stand-in service.

    Attributes:
        id: Upstream id.
        host: IP address to listen on.
        port: TCP port; 0 selects a free one.
        n_slots: Maximum number of concurrent calls; further calls wait.
        can_reconcile: Whether it reports the outcome of an idempotency key.
        seed: Random seed of the faults.
    """

    id: str
    host: str = "127.0.0.1"
    port: int = 0
    n_slots: int = 8
    can_reconcile: bool = True
    seed: int = 0


class _Body(Struct):
    """Request fields that the service reads."""

    marker: str = ""
    work_s: float = 0.02


def answer_to(raw: bytes) -> bytes:
    """Return the response body that every service gives for a request body."""
    digest = blake2b(raw, digest_size=8).hexdigest()
    return msgspec.json.encode({"accepted": True, "receipt": digest})


class StandinService:
    """A plain service as a single HTTP server.

    Args:
        cfg: Settings.
        on_crash: Called when a request crashes the service.
    """

    def __init__(
        self,
        cfg: ServiceSettings,
        on_crash: Callable[[], None] = lambda: os._exit(CRASH_EXIT_CODE),
    ) -> None:
        self._cfg = cfg
        self._on_crash = on_crash
        self.injector = FaultInjector(cfg.seed)
        self.run_log = RunLog()
        self._slots = asyncio.Semaphore(cfg.n_slots)
        self._outcomes: dict[str, bytes | None] = {}
        routes = [
            Route("/run/{operation}", self._run, methods=["POST"]),
            Route("/outcomes/{key:path}", self._outcome),
            Route("/health", self._health),
            Route("/load", self._load),
            Route("/standin/faults", self.injector.handle, methods=["POST"]),
            Route("/standin/ran", self.run_log.handle),
        ]
        self._server = HttpServer(Starlette(routes=routes), cfg.host, cfg.port)

    @property
    def port(self) -> int:
        """Return the port that the server listens on."""
        return self._server.port

    async def start(self) -> None:
        """Start serving."""
        await self._server.start()

    async def stop(self) -> None:
        """Stop immediately; calls in flight are cut off."""
        await self._server.stop(grace_s=0.05)

    async def _run(self, request: Request) -> Response:
        raw = await request.body()
        if (
            self.injector.faults.crash_on
            and self.injector.faults.crash_on.encode() in raw
        ):
            self._on_crash()
        await self.injector.before_action()
        body = msgspec.json.decode(raw, type=_Body)
        exchange = request.headers.get("x-exchange-id", "")
        key = request.headers.get("idempotency-key", "")
        async with self._slots:
            await self._execute(Run(body.marker, exchange, key, _now()), body)
        answer = answer_to(raw)
        if key:
            self._outcomes[key] = answer
        await self.injector.after_action()
        if self.injector.draw(self.injector.faults.crossed):
            exchange, answer = f"crossed-{exchange}", answer_to(b"crossed")
        headers = {"x-exchange-id": exchange}
        return Response(answer, 200, headers, "application/json")

    async def _execute(self, run: Run, body: _Body) -> None:
        self.run_log.start(run)
        if run.key:
            self._outcomes.setdefault(run.key, None)
        work_s = body.work_s * self.injector.faults.slow_factor
        await asyncio.sleep(work_s)
        self.run_log.add_cost(run, body.work_s, _now())
        run.done = True

    async def _outcome(self, request: Request) -> Response:
        await self.injector.before_action()
        if not self._cfg.can_reconcile:
            return Response(status_code=404)
        key = request.path_params["key"]
        if key not in self._outcomes:
            return Response(b'{"state":"never_ran"}')
        answer = self._outcomes[key]
        if answer is None:
            return Response(b'{"state":"running"}')
        body = {"state": "done", "answer": answer.decode()}
        return Response(msgspec.json.encode(body))

    async def _health(self, request: Request) -> Response:
        await self.injector.before_action()
        leaving = self.injector.faults.leaving
        return Response(msgspec.json.encode({"id": self._cfg.id, "leaving": leaving}))

    async def _load(self, request: Request) -> Response:
        await self.injector.before_action()
        body = {
            "id": self._cfg.id,
            "age_s": 0.0,
            "n_active": self._cfg.n_slots - self._slots._value,
            "knee": self._cfg.n_slots,
            "leaving": self.injector.faults.leaving,
        }
        return Response(msgspec.json.encode(body))


def _now() -> float:
    return asyncio.get_running_loop().time()
