"""An HTTP server that an application object starts and stops."""

import asyncio
import contextlib
import socket
from collections.abc import Callable, Iterator, Sequence
from typing import Any

import uvicorn
from starlette.types import ASGIApp

from chicorylead.http_protocol import (
    READ_BYTES,
    CallerProtocol,
    CallerReader,
    HttpLimits,
)
from chicorylead.memory.budget import Budget, BudgetLimits

__all__ = ["MAX_HEAD_BYTES", "HttpServer"]

MAX_HEAD_BYTES = HttpLimits().head_bytes
LISTEN_BACKLOG = 1024
# Connections that arrive at once are accepted before the first can be closed.
BACKLOG_RATIO = 0.4
TCP_USER_TIMEOUT_MS = 30_000
KEEP_ALIVE_IDLE_S = 15
KEEP_ALIVE_INTERVAL_S = 5
KEEP_ALIVE_COUNT = 3


class _Server(uvicorn.Server):
    """Uvicorn server that leaves signal handling to the embedding process."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        yield


def _bind(host: str, port: int) -> socket.socket:
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    # Accepted sockets inherit these options, so that a dead connection of a caller
    # is detected and its request dropped.
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEP_ALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEP_ALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEP_ALIVE_COUNT)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.bind((host, port))
    sock.setblocking(False)
    return sock


class HttpServer:
    """Serves an ASGI application until stopped.

    Args:
        app: The application.
        host: IP address to listen on.
        port: TCP port; 0 selects a free one.
        n_connections: Maximum number of open connections; None for no limit.
        extra_addresses: Additional addresses to listen on, as host and port.
        budget: Owner of the memory that callers take; None for no limit.
        limits: Returns the limits on requests that are in force.

    Attributes:
        port: Port of the first address.
    """

    def __init__(
        self,
        app: ASGIApp,
        host: str = "127.0.0.1",
        port: int = 0,
        n_connections: int | None = None,
        extra_addresses: Sequence[tuple[str, int]] = (),
        budget: Budget | None = None,
        limits: Callable[[], HttpLimits] | None = None,
    ) -> None:
        self._socks = [_bind(*address) for address in ((host, port), *extra_addresses)]
        self.port: int = self._socks[0].getsockname()[1]
        self._budget = budget
        self._limits = limits or HttpLimits
        self._read_buffer = bytearray(READ_BYTES)
        cfg = uvicorn.Config(
            app,
            log_config=None,
            log_level="critical",
            access_log=False,
            lifespan="off",
            http=self._create_protocol,
            ws="none",
            backlog=self._backlog(),
            limit_concurrency=n_connections,
            server_header=False,
            date_header=False,
            proxy_headers=False,
        )
        self._server = _Server(cfg)
        self._task: asyncio.Task[None] | None = None

    def _backlog(self) -> int:
        """Return how many connections may be accepted before one can be closed."""
        n_fds = self._budget.limits.n_fds if self._budget else LISTEN_BACKLOG
        return max(1, int(min(LISTEN_BACKLOG, n_fds * BACKLOG_RATIO)))

    def _create_protocol(self, **context: Any) -> CallerReader:
        if self._budget is None:
            clock = asyncio.get_running_loop().time
            self._budget = Budget(BudgetLimits(), clock)
        protocol = CallerProtocol(**context, budget=self._budget, limits=self._limits)
        return CallerReader(protocol, self._read_buffer)

    @property
    def n_connections(self) -> int:
        """Return the number of open connections."""
        return len(self._server.server_state.connections)

    async def start(self) -> None:
        """Start accepting connections."""
        self._task = asyncio.create_task(self._server.serve(sockets=self._socks))
        while not self._server.started:
            if self._task.done():
                await self._task
            await asyncio.sleep(0.005)

    async def stop(self, grace_s: float | None = None) -> None:
        """Stop accepting connections and wait for requests in flight.

        Args:
            grace_s: Maximum wait, seconds; None for no limit.
        """
        if self._task is None:
            return
        self._server.should_exit = True
        _, pending = await asyncio.wait([self._task], timeout=grace_s)
        if pending:
            self._server.force_exit = True
            await asyncio.wait([self._task], timeout=1.0)
            self._task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self._task
        for sock in self._socks:
            sock.close()
