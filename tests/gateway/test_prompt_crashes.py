"""Two gateways and engines that crash when they begin to answer one part of prompts."""

import asyncio
from itertools import count

from tests.gateway.fakes import (
    FakeUpstream,
    ReceivedRequest,
    call,
    configuration,
    registry_entry,
)
from tests.gateway.test_gateway import STREAM_HEAD
from tests.gateway.test_peers import GatewayPair, _wait_until

DEADLY = "dead"
POISON = b"poison"
FIRST, RARE = "aa", "bb"
N_ENGINES = 8
PREFILL_S = 0.03
DOWN_S = 0.3


class CrashingEngine(FakeUpstream):
    """An engine that crashes under a part of prompts, and comes back some time later.

    Attributes:
        prefill_s: Time before it begins an answer, seconds.
        n_crashes: Crashes so far.
        n_deadly: Requests with the part, or without parts, that reached it.
    """

    def __init__(self, pair: GatewayPair, name: str) -> None:
        super().__init__(self._answer)
        self._pair = pair
        self._name = name
        self._writers: set[asyncio.StreamWriter] = set()
        self._born = count(1000)
        self.prefill_s = PREFILL_S
        self.n_crashes = 0
        self.n_deadly = 0

    async def start(self) -> None:
        await super().start()
        entry = registry_entry(self, born=next(self._born))
        self._pair.store.put("keyed.servers", self._name, entry)

    async def _answer(self, got: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        parts = got.headers.get("chicorylead-prefix-hash", "")
        is_deadly = f"{DEADLY}:" in parts or got.body == POISON
        self.n_deadly += is_deadly
        await asyncio.sleep(self.prefill_s)
        if writer not in self._writers or await _is_closed(writer):
            return
        if is_deadly:
            await self.crash()
            return
        request_id = got.headers["chicorylead-attempt-id"]
        writer.write(STREAM_HEAD.format(id=request_id).encode())
        event = b"id: 1\ndata: x\n\n"
        writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n0\r\n\r\n")
        self._writers.discard(writer)

    @property
    def is_busy(self) -> bool:
        """Return whether a request runs."""
        return bool(self._writers)

    async def crash(self) -> None:
        self.n_crashes += 1
        await self.stop()
        for writer in self._writers:
            writer.transport.abort()
        self._writers.clear()
        asyncio.get_running_loop().call_later(
            DOWN_S, lambda: asyncio.ensure_future(self.start())
        )


async def _is_closed(writer: asyncio.StreamWriter) -> bool:
    """Return whether the router has closed the connection; an engine notices it."""
    await asyncio.sleep(0)
    return writer.transport.is_closing()


class EngineFleet:
    """Two routers, and the engines of one service."""

    def __init__(self, n_routers: int = 2, n_engines: int = N_ENGINES) -> None:
        self._n_routers, self._n_engines = n_routers, n_engines

    async def __aenter__(self) -> "EngineFleet":
        self.pair = GatewayPair(n_routers=self._n_routers)
        await self.pair.__aenter__()
        self.pair.store.put("keyed.servers", "u0", None)
        self._numbers = count(1)
        self.engines = [
            CrashingEngine(self.pair, f"e{n}") for n in range(self._n_engines)
        ]
        for engine in self.engines:
            await engine.start()
        await _wait_until(self._is_listed)
        return self

    async def _is_listed(self) -> bool:
        for gateway in self.pair.gateways:
            if gateway.n_upstreams != self._n_engines:
                return False
        routers = range(self._n_routers)
        return all([(await self.send(n, FIRST))[0] == 200 for n in routers])

    async def __aexit__(self, *exc: object) -> None:
        await asyncio.sleep(DOWN_S)
        for engine in self.engines:
            await engine.stop()
        await self.pair.__aexit__(*exc)

    @property
    def n_crashes(self) -> int:
        return sum(engine.n_crashes for engine in self.engines)

    @property
    def n_deadly(self) -> int:
        return sum(engine.n_deadly for engine in self.engines)

    async def send(self, router: int, *shared: str) -> tuple[int, dict[str, str]]:
        """Send a prompt with shared parts and a part of its own."""
        number = next(self._numbers)
        parts = [*(f"{part}:100" for part in shared), f"{number:08x}:50"]
        return await self._call(
            router,
            f"/revise/{number}",
            f"prompt {number}".encode(),
            chicorylead_token_counts=f"{100 * len(shared) + 50},20",
            chicorylead_prefix_hash=",".join(parts),
        )

    async def send_poison(self, router: int) -> int:
        """Send the request that crashes engines, without parts; return the status."""
        return (await self._call(router, "/publish/a", POISON))[0]

    async def _call(
        self, router: int, path: str, body: bytes, **headers: str
    ) -> tuple[int, dict[str, str]]:
        host, port = self.pair.cfgs[router].callers
        attempt = f"req-{next(self._numbers)}"
        try:
            status, received, _, _ = await call(
                port,
                path,
                "POST",
                body,
                host_ip=host,
                chicorylead_attempt_id=attempt,
                **headers,
            )
        except (asyncio.IncompleteReadError, ConnectionError):
            return 0, {}
        return status, received


def _run(check) -> None:
    async def main() -> None:
        async with EngineFleet() as fleet:
            await check(fleet)

    asyncio.run(main())


def test_a_part_that_crashes_engines_stops_after_a_few_of_them():
    """Without it, each of the requests crashes one engine after the other."""

    async def check(fleet: EngineFleet) -> None:
        for number in range(20):
            await fleet.send(number % 2, FIRST, RARE, DEADLY)
            await asyncio.sleep(0.02)
        assert fleet.n_crashes <= 3
        n_deadly = fleet.n_deadly
        for router in (0, 1):
            status, headers = await fleet.send(router, FIRST, RARE, DEADLY)
            assert status == 503 and float(headers["retry-after"]) > 1.0
        assert fleet.n_deadly == n_deadly

    _run(check)


def test_sound_prompts_with_the_other_parts_are_served_beside_one_that_crashes():
    async def check(fleet: EngineFleet) -> None:
        async def send_deadly() -> None:
            for number in range(20):
                await fleet.send(number % 2, FIRST, RARE, DEADLY)
                await asyncio.sleep(0.05)

        deadly = asyncio.ensure_future(send_deadly())
        await asyncio.sleep(0.3)
        statuses = []
        for number in range(40):
            statuses.append((await fleet.send(number % 2, FIRST, RARE))[0])
            statuses.append((await fleet.send(number % 2, FIRST))[0])
        await deadly
        assert statuses.count(200) >= 0.9 * len(statuses), statuses

    _run(check)


def test_requests_in_flight_with_the_part_are_withdrawn_from_other_engines():
    """Otherwise all that were sent before the first crash crash an engine each."""

    async def check(fleet: EngineFleet) -> None:
        for engine in fleet.engines:
            engine.prefill_s = 0.5
        first = asyncio.ensure_future(fleet.send(0, FIRST, DEADLY))
        await asyncio.sleep(0.25)
        others = [
            asyncio.ensure_future(fleet.send(number % 2, FIRST, DEADLY))
            for number in range(6)
        ]
        await asyncio.gather(first, *others)
        assert fleet.n_crashes <= 3

    _run(check)


def test_an_engine_lost_for_another_reason_blocks_no_part():
    async def check(fleet: EngineFleet) -> None:
        sends = [
            asyncio.ensure_future(fleet.send(number % 2, FIRST, RARE))
            for number in range(12)
        ]
        await asyncio.sleep(PREFILL_S / 2)
        for engine in fleet.engines[:3]:
            await engine.crash()
        await asyncio.gather(*sends)
        statuses = [(await fleet.send(number % 2, FIRST, RARE))[0] for number in (0, 1)]
        assert statuses == [200, 200]

    _run(check)


def test_a_request_that_cannot_run_again_is_not_withdrawn():
    """It would fail, though another request with the part runs as the trial."""

    async def check(fleet: EngineFleet) -> None:
        cfg = configuration(version=2)
        for route in cfg["routeTable"]:
            route["maxAttempts"] = 1
        fleet.pair.store.put("keyed.op", "config", cfg)
        await asyncio.sleep(0.5)
        for engine in fleet.engines:
            engine.prefill_s = 0.5
        sends = []
        for _ in range(2):
            sends.append(asyncio.ensure_future(fleet.send(0, FIRST, RARE)))
            await asyncio.sleep(0.1)
        busy = [engine for engine in fleet.engines if engine.is_busy]
        assert len(busy) == 2
        await busy[0].crash()
        statuses = sorted([(await send)[0] for send in sends])
        assert statuses == [200, 502]

    _run(check)


def test_a_restarted_router_learns_of_the_part_from_its_peer():
    async def check(fleet: EngineFleet) -> None:
        for _ in range(8):
            await fleet.send(0, FIRST, DEADLY)
        n_deadly = fleet.n_deadly
        await fleet.pair.restart(1)
        await _wait_until(lambda: fleet.pair.serves(1))
        await asyncio.sleep(0.6)  # a beacon
        assert (await fleet.send(1, FIRST, DEADLY))[0] == 503
        assert fleet.n_deadly == n_deadly

    _run(check)
