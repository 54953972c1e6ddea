"""A request that crashes runners is let through again after a minute."""

import asyncio
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2] / "lib"))
import standins  # noqa: E402

N_RUNNERS = 6
N_GATEWAYS = 4
STABLE_S = 3.0  # stableMs
WARM_S = 4.0
LOAD_S = 76.0
DEADLY_EVERY_S = 2.0
BACK_S = 2.0  # a runner that has crashed
SOUND_EVERY_S = 0.02
MAX_RETRIES = 3  # of the rule
DEADLY = b"deadly"


class CrashingRunner(standins.Runner):
    """A runner that a request crashes as it begins to run."""

    n_starts = 0

    def __init__(self, store, record, name, crashes):
        super().__init__(store, record, name, slots=6)
        self._name = name
        self._crashes = crashes

    async def work(self, first, headers, body, writer):
        """Crash on the deadly request, and come back as a new incarnation."""
        if body != DEADLY:
            await super().work(first, headers, body, writer)
            return
        self._crashes.append(self.record.now())
        await self.crash()
        asyncio.get_running_loop().call_later(BACK_S, self._come_back)
        raise ConnectionResetError

    def _come_back(self):
        self.n_starts += 1
        self.id = f"{self._name}-{self.n_starts}"
        self.seq = 0
        self.born = round(time.time() * 1000)
        self.port = 0
        self.restart = asyncio.ensure_future(self.start())


async def case(record, folder, has_trouble):
    """Return whether the deadly request reaches runners too often."""
    store = standins.Store()
    await store.start()
    routes = [
        standins.route("look", "safe", maxAttempts=2),
        standins.route("publish", "unsafe"),
    ]
    store.put("keyed.op", "config", standins.configuration(routes))
    crashes = []
    runners = [
        CrashingRunner(store, record, f"r{n}", crashes) for n in range(N_RUNNERS)
    ]
    gateways = standins.make_gateways(folder, [store.port] * N_GATEWAYS)
    rng = random.Random(7)
    deadly, sound = [], {}
    try:
        for runner in runners:
            await runner.start()
        for gateway in gateways:
            await gateway.start()
        for gateway in gateways:
            await gateway.wait_ready()
        began = record.now()
        tasks = []
        deadly_at = WARM_S
        while (elapsed := record.now() - began) < LOAD_S:
            if has_trouble and elapsed >= deadly_at:
                deadly_at += DEADLY_EVERY_S
                # The same request again, at any machine.
                for gateway in gateways:
                    name = f"deadly{len(deadly)}"
                    deadly.append(name)
                    task = ask_deadly(gateway, record, name)
                    tasks.append(asyncio.create_task(task))
            task = ask_sound(rng.choice(gateways), record, f"p{len(tasks)}", sound)
            tasks.append(asyncio.create_task(task))
            await asyncio.sleep(SOUND_EVERY_S)
        await asyncio.gather(*tasks)
    finally:
        for gateway in gateways:
            await gateway.stop()
        for runner in runners:
            await runner.stop()
        await store.stop()
    names = set(deadly)
    reached = sorted(at for r in runners for at, a in r.arrivals if a in names)
    late = []
    if len(crashes) > 2:
        late = [at for at in reached if at > sorted(crashes)[2] + STABLE_S]
    record.line("crashes", at=[round(at, 2) for at in crashes])
    record.line("reached", at=[round(at, 2) for at in reached])
    lost = sum(status not in (200, 429, 503) for status in sound.values())
    record.line("total", sent=len(deadly), late=len(late), sound=len(sound), lost=lost)
    if 200 not in sound.values():
        raise standins.CannotRun("no request was served")
    return len(late) > MAX_RETRIES


async def ask_deadly(gateway, record, name):
    """Send the deadly request."""
    await standins.ask(gateway, record, "GET", "/look/a", name, 2500, DEADLY)


async def ask_sound(gateway, record, name, statuses):
    """Send a sound request that may run once."""
    answer = await standins.ask(
        gateway, record, "POST", "/publish/a", name, 2500, name.encode()
    )
    statuses[name] = answer.status


standins.run_case(case)
