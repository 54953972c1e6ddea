"""Two gateways that exchange datagrams, with and without the store."""

import asyncio
from collections.abc import Sequence
from types import SimpleNamespace

import msgspec
from starlette.responses import Response
from starlette.routing import Route, Router

from chicorylead.gateway.app import Gateway
from chicorylead.gateway.peer_records import PeerRecords
from chicorylead.gateway.settings import GatewaySettings
from chicorylead.http_server import HttpServer
from chicorylead.ids import RouterId, ZoneName
from chicorylead.logs import EventLog
from chicorylead.metrics import Metrics
from chicorylead.traffic.stream import KnownRecords, PeerPage, Position, Stream
from tests.gateway import fakes
from tests.gateway.fakes import (
    INCARNATION,
    FakeStore,
    FakeUpstream,
    call,
    configuration,
    free_ports,
    presence_of,
    registry_entry,
    sealed_response,
)
from tests.gateway.test_gateway import _serve


def _settings(number: int, store_port: int, peer_port: int) -> GatewaySettings:
    host = f"127.0.0.{number}"
    ports = free_ports(4, taken=[peer_port])
    callers, readiness, control, directory = ((host, port) for port in ports)
    return GatewaySettings(
        id=RouterId(f"router-{number}"),
        zone=ZoneName("a"),
        region="r",
        callers=callers,
        readiness=readiness,
        control=control,
        directory=directory,
        peers=(host, peer_port),
        metrics=(host, peer_port),
        seeds=("127.0.0.2",),
        store=("127.0.0.1", store_port),
    )


def test_a_routers_ports_differ_from_the_one_for_peers(monkeypatch):
    """Otherwise its start fails now and then, as the port is in use."""
    peer_port, *others = free_ports(5)
    monkeypatch.setattr(fakes, "PORTS", [peer_port, *others] * fakes.N_PORT_SETS)
    for _ in range(20):
        cfg = _settings(2, 1, peer_port)
        used = {cfg.callers, cfg.readiness, cfg.control, cfg.directory, cfg.metrics}
        assert len(used) == 5


async def _wait_until(check, limit_s: float = 5.0) -> None:
    async with asyncio.timeout(limit_s):
        while not await check():
            await asyncio.sleep(0.02)


async def _resolve(cfg: GatewaySettings) -> bytes:
    host, port = cfg.directory
    return (await call(port, "/api/resolve?name=x", host_ip=host))[2]


class GatewayPair:
    """Two routers or more, one upstream; the store of the second may be unavailable."""

    def __init__(self, second_store_is_down: bool = False, n_routers: int = 2) -> None:
        self._second_store_is_down = second_store_is_down
        self._n_routers = n_routers

    async def __aenter__(self) -> "GatewayPair":
        self._entered_at = asyncio.get_running_loop().time()
        self.store, self.other_store = FakeStore(), FakeStore()
        self.other_store.logs = self.store.logs
        self.other_store.plain_logs = self.store.plain_logs
        self.other_store.is_down = self._second_store_is_down
        self.upstream = FakeUpstream(_serve)
        await self.upstream.start()
        await self.store.start()
        await self.other_store.start()
        self.store.put("keyed.op", "config", configuration())
        self.store.put("keyed.servers", "u0", registry_entry(self.upstream))
        (peer_port,) = free_ports(1)
        stores = [self.store, self.other_store]
        self.cfgs = [
            _settings(2 + n, stores[n % 2].port, peer_port)
            for n in range(self._n_routers)
        ]
        self.gateways = [
            Gateway(cfg, self._incarnation(), read_settings=lambda: None)
            for cfg in self.cfgs
        ]
        for gateway in self.gateways:
            await gateway.app.start()
        return self

    async def __aexit__(self, *exc: object) -> None:
        for gateway in self.gateways:
            await gateway.app.stop()
        await self.upstream.stop()
        await self.store.stop()
        await self.other_store.stop()

    def _incarnation(self) -> int:
        """Return the wall-clock time of a start, nanoseconds."""
        up_s = asyncio.get_running_loop().time() - self._entered_at
        return INCARNATION + round(up_s * 1e9)

    async def restart(self, number: int) -> None:
        """Replace a router by one that knows nothing."""
        await self.restart_all([number])

    async def restart_all(self, numbers: Sequence[int] = (0, 1)) -> None:
        """Replace routers, all at once, by ones that know nothing."""
        for number in numbers:
            await self.gateways[number].app.stop()
        await asyncio.sleep(0.05)  # datagram sockets are closed in a later iteration
        for number in numbers:
            self.gateways[number] = Gateway(
                self.cfgs[number], self._incarnation(), read_settings=lambda: None
            )
            await self.gateways[number].app.start()

    async def serves(self, number: int) -> bool:
        return self.gateways[number].n_upstreams > 0

    async def look_up_status(self, number: int, **headers: str) -> int:
        host, port = self.cfgs[number].callers
        return (await call(port, "/look/a", host_ip=host, **headers))[0]


def test_records_come_from_the_peer_while_the_store_is_unavailable():
    async def main() -> None:
        async with GatewayPair(second_store_is_down=True) as pair:

            async def serves() -> bool:
                return await pair.look_up_status(1) == 200

            await _wait_until(serves)
            newer = configuration(version=2)
            newer["tenants"] = [{"name": "north", "apiKeys": ["another"]}]
            pair.store.put("keyed.op", "config", newer)

            async def refuses() -> bool:
                return await pair.look_up_status(1) == 401

            await _wait_until(refuses, limit_s=2.0)

    asyncio.run(main())


def test_a_router_without_the_store_learns_that_an_upstream_drains():
    async def main() -> None:
        async with GatewayPair(second_store_is_down=True) as pair:

            async def serves() -> bool:
                return await pair.look_up_status(1) == 200

            await _wait_until(serves)
            draining = registry_entry(pair.upstream, state="draining", seq=2)
            pair.store.put("keyed.servers", "u0", draining)

            async def refuses() -> bool:
                return await pair.look_up_status(1) == 503

            await _wait_until(refuses, limit_s=2.0)

    asyncio.run(main())


def test_addresses_list_both_routers_and_omit_one_that_stopped():
    async def main() -> None:
        async with GatewayPair() as pair:
            first, second = ("{}:{}".format(*cfg.callers) for cfg in pair.cfgs)

            async def lists_both() -> bool:
                body = await _resolve(pair.cfgs[0])
                return first.encode() in body and second.encode() in body

            await _wait_until(lists_both)
            await pair.gateways[1].app.stop()

            async def lists_first_only() -> bool:
                body = await _resolve(pair.cfgs[0])
                return first.encode() in body and second.encode() not in body

            await _wait_until(lists_first_only, limit_s=2.0)

    asyncio.run(main())


def test_a_request_that_crashes_upstreams_is_refused_by_both_routers():
    async def main() -> None:
        async with GatewayPair() as pair:

            async def serves() -> bool:
                return (
                    await pair.look_up_status(0) == 200
                    and await pair.look_up_status(1) == 200
                )

            await _wait_until(serves)
            crashing = []
            for number in (1, 2):
                crashing_upstream = FakeUpstream(None)

                async def crash(
                    got, writer, crashing_upstream=crashing_upstream
                ) -> None:
                    if got.target == "/publish/bad":
                        await crashing_upstream.stop()
                        writer.transport.abort()
                    else:
                        writer.write(sealed_response(got, b"hello"))

                crashing_upstream.script = crash
                await crashing_upstream.start()
                crashing.append(crashing_upstream)
                pair.store.put(
                    "keyed.servers", f"v{number}", registry_entry(crashing_upstream)
                )
            pair.store.put("keyed.servers", "u0", None)
            await asyncio.sleep(0.5)
            host, port = pair.cfgs[0].callers
            for _ in range(2):
                await call(port, "/publish/bad", "POST", b"x", host_ip=host)
                await asyncio.sleep(0.3)
            host, port = pair.cfgs[1].callers

            async def refuses() -> bool:
                status, headers, body, _ = await call(
                    port, "/publish/bad", "POST", b"x", host_ip=host
                )
                is_told_when = float(headers.get("retry-after", 0)) > 1.0
                return status == 503 and b"poison" in body and is_told_when

            await _wait_until(refuses, limit_s=2.0)

    asyncio.run(main())


class _LaggingFollower:
    """Follower of a stream that has fewer records than the peers' followers."""

    end = Position(1, 3)
    is_connected = False

    def __init__(self) -> None:
        self.applied_from: list[str] = []

    def apply_peer_page(self, page: PeerPage, peer: str) -> None:
        self.end = page.end
        self.applied_from.append(peer)


def test_missing_records_are_fetched_from_the_peer_in_the_first_check():
    """The check runs every 0.2 s; users allow 2 s for a change to take effect."""

    async def main() -> list[str]:
        page = msgspec.msgpack.encode(PeerPage([], Position(1, 9), False, 1.0))
        server = HttpServer(
            Router([Route("/v1/streams/{name}", lambda req: Response(page))])
        )
        await server.start()
        presence = presence_of("r2", control=f"127.0.0.1:{server.port}")
        known = KnownRecords(version=9, era=1, offset=3)
        peer = SimpleNamespace(presence=presence, known=known, last_heard_at=0.0)
        followers = {stream: _LaggingFollower() for stream in Stream}
        records = PeerRecords(
            followers,
            lambda: KnownRecords(version=3, era=1, offset=3),
            lambda: [peer],
            ZoneName("a"),
            EventLog(),
            Metrics(),
        )
        await records.fetch_missing()
        await records.close()
        await server.stop(0.1)
        assert followers[Stream.UPSTREAMS].applied_from == []
        return followers[Stream.CONFIGURATION].applied_from

    assert asyncio.run(main()) == ["r2"]
