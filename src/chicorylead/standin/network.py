"""TCP proxy that injects delays, disconnects and data loss between processes.

Delays are accurate to the timer resolution of the event loop, about a millisecond.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Literal

import msgspec
from msgspec import Struct
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from chicorylead.http_server import HttpServer

__all__ = ["FaultProxy", "LinkRule", "RouteSpec"]

CHUNK_BYTES = 65536
Mode = Literal["open", "refuse", "silent", "to_target_lost", "to_source_lost"]


class RouteSpec(Struct, kw_only=True):
    """One listening port and the address that it forwards to.

    Attributes:
        name: Name of the route.
        target: IP address and port.
        delay_s: One-way delay, seconds.
        group: Group of routes that a rule applies to, such as `a>b`.
    """

    name: str
    target: str
    delay_s: float = 0.0
    group: str = ""


class LinkRule(Struct, kw_only=True):
    """A fault on all routes of a group.

    Attributes:
        group: Group that the rule applies to; `*` for all.
        mode: `refuse` closes new and existing connections. `silent` drops all
            bytes in both directions on connections that are open and lets new
            ones work. The two one-way modes drop the bytes of all connections in
            one direction.
        extra_delay_s: Added to the one-way delay, seconds.
    """

    group: str
    mode: Mode = "open"
    extra_delay_s: float = 0.0


class _Route:
    """State of one route and its open connections."""

    def __init__(self, spec: RouteSpec) -> None:
        self.spec = spec
        self.rule = LinkRule(group=spec.group)
        self.conns: set[_Connection] = set()
        self.n_bytes = 0
        self.server: asyncio.Server | None = None

    @property
    def delay_s(self) -> float:
        return self.spec.delay_s + self.rule.extra_delay_s


class _Connection:
    """A connection that is forwarded both ways between a source and the target."""

    def __init__(self, route: _Route) -> None:
        self.route = route
        self.silenced = False
        self.writers: list[asyncio.StreamWriter] = []

    def is_dropped(self, to_target: bool) -> bool:
        mode = self.route.rule.mode
        one_way = "to_target_lost" if to_target else "to_source_lost"
        return self.silenced or mode == one_way

    async def copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        to_target: bool,
    ) -> None:
        """Forward one direction; each chunk is sent after the delay."""
        delayed: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue(maxsize=256)
        sender = asyncio.create_task(self._send(delayed, writer, to_target))
        clock = asyncio.get_running_loop().time
        try:
            while data := await reader.read(CHUNK_BYTES):
                self.route.n_bytes += len(data)
                await delayed.put((clock() + self.route.delay_s, data))
        except OSError:
            pass
        await delayed.put((clock() + self.route.delay_s, b""))
        await sender

    async def _send(
        self,
        delayed: "asyncio.Queue[tuple[float, bytes]]",
        writer: asyncio.StreamWriter,
        to_target: bool,
    ) -> None:
        clock = asyncio.get_running_loop().time
        broken = False
        while True:
            at, data = await delayed.get()
            if (wait_s := at - clock()) > 0:
                await asyncio.sleep(wait_s)
            if not data:
                break
            if broken or self.is_dropped(to_target):
                continue
            try:
                writer.write(data)
                await writer.drain()
            except OSError:
                broken = True
        if not self.is_dropped(to_target):
            writer.close()

    def close(self) -> None:
        for writer in self.writers:
            writer.transport.abort()


class FaultProxy:
    """All routes of a test network, controlled over HTTP.

    Args:
        port: Port of the control interface; 0 selects a free one.
    """

    def __init__(self, port: int = 0) -> None:
        self._routes: dict[str, _Route] = {}
        routes = [
            Route("/routes", self._post_routes, methods=["POST"]),
            Route("/routes", self._get_routes, methods=["GET"]),
            Route("/rules", self._post_rule, methods=["POST"]),
        ]
        self._server = HttpServer(Starlette(routes=routes), "127.0.0.1", port)

    @property
    def port(self) -> int:
        """Return the port of the control interface."""
        return self._server.port

    async def start(self) -> None:
        """Start the control interface."""
        await self._server.start()

    async def stop(self) -> None:
        """Close all routes and the control interface."""
        for route in self._routes.values():
            if route.server is not None:
                route.server.close()
            for conn in list(route.conns):
                conn.close()
        await self._server.stop(grace_s=0.05)

    async def add_route(self, spec: RouteSpec) -> str:
        """Open a route and return the address to connect to."""
        route = _Route(spec)
        self._routes[spec.name] = route
        route.server = await asyncio.start_server(
            self._handler(route), "127.0.0.1", 0, backlog=256
        )
        port = route.server.sockets[0].getsockname()[1]
        return f"127.0.0.1:{port}"

    def remove_route(self, name: str) -> None:
        """Close a route, so that connections to its address are refused."""
        route = self._routes.pop(name)
        if route.server is not None:
            route.server.close()
        for conn in list(route.conns):
            conn.close()

    def apply(self, rule: LinkRule) -> int:
        """Apply a rule and return the number of routes that it affects."""
        matching = [
            route
            for route in self._routes.values()
            if rule.group in ("*", route.spec.group)
        ]
        for route in matching:
            route.rule = rule
            if rule.mode == "refuse":
                for conn in list(route.conns):
                    conn.close()
            if rule.mode == "silent":
                for conn in route.conns:
                    conn.silenced = True
        return len(matching)

    def _handler(
        self, route: _Route
    ) -> Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]:
        async def handle(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            conn = _Connection(route)
            conn.writers.append(writer)
            if route.rule.mode == "refuse":
                conn.close()
                return
            route.conns.add(conn)
            try:
                await self._relay(conn, reader, writer)
            except OSError:
                pass
            finally:
                route.conns.discard(conn)
                conn.close()

        return handle

    async def _relay(
        self,
        conn: _Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        host, _, port = conn.route.spec.target.rpartition(":")
        out_reader, out_writer = await asyncio.open_connection(host, int(port))
        conn.writers.append(out_writer)
        await asyncio.gather(
            conn.copy(reader, out_writer, to_target=True),
            conn.copy(out_reader, writer, to_target=False),
        )

    async def _post_routes(self, request: Request) -> Response:
        specs = msgspec.json.decode(await request.body(), type=list[RouteSpec])
        opened = {spec.name: await self.add_route(spec) for spec in specs}
        return Response(msgspec.json.encode(opened))

    async def _get_routes(self, request: Request) -> Response:
        body = {
            name: {"group": route.spec.group, "n_bytes": route.n_bytes}
            for name, route in self._routes.items()
        }
        return Response(msgspec.json.encode(body))

    async def _post_rule(self, request: Request) -> Response:
        rule = msgspec.json.decode(await request.body(), type=LinkRule)
        return Response(msgspec.json.encode({"n_routes": self.apply(rule)}))
