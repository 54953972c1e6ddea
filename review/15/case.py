"""A request that crashes runners comes again at routers that stand by."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "shared-3"))

from standins import (  # noqa: E402
    BOUNDS,
    HEARTBEAT_S,
    Deployment,
    Request,
    Runner,
    answer,
    call,
    configuration,
    main,
    route,
)

SERVICE = "acervo-app"
# As many in one zone as the grown site has in each of its three.
ZONES = ["recife-a"]
N_ROUTERS = 8
N_RUNNERS = 3
# Bounds of the grown site that differ.
GROWN = {"stableMs": 4000, "drainMs": 3000, "configApplyMs": 3000, "retrySlack": 170}
STABLE_S = GROWN["stableMs"] / 1000
POISON = b'{"edition": 7}'
WORK_S = 0.05
DOWN_S = 2.0  # a runner is back after some seconds
AGAIN_S = 4.0  # between two attempts of the client
N_ATTEMPTS = 16
# The rule is broken by more retries than these.
ALLOWED = 3


class Runs:
    """When the request reached runners, and when they crashed under it."""

    def __init__(self) -> None:
        self.reached: list[float] = []
        self.crashed: list[float] = []
        self.restarts: set[asyncio.Task] = set()
        self.n_ids = N_RUNNERS

    async def handle(self, runner: Runner, request: Request, writer) -> None:
        is_poison = request.body == POISON
        at = runner._record.write(
            "run", runner=runner.id, id=request.id, poison=is_poison
        )
        if not is_poison:
            await asyncio.sleep(WORK_S)
            writer.write(answer(request, b"published"))
            return
        self.reached.append(at)
        await asyncio.sleep(WORK_S)
        self.crashed.append(runner._record.now())
        task = asyncio.create_task(self._crash(runner))
        self.restarts.add(task)

    async def _crash(self, runner: Runner) -> None:
        old_id = runner.id
        runner.crash()
        await asyncio.sleep(DOWN_S)
        # The new incarnation has a new id.
        runner.id = f"i-{self.n_ids}"
        self.n_ids += 1
        await runner.start()
        # The entry of the old one is removed after three heartbeat intervals.
        await asyncio.sleep(3 * HEARTBEAT_S - DOWN_S)
        runner._store.put("keyed.servers", old_id, None)


async def ordinary(deployment: Deployment) -> None:
    """Send a little of the usual work to all routers."""
    for router in deployment.routers:
        id = deployment.new_id()
        deployment.record.write("sent", id=id, router=router.number)
        reply = await call(router, "/publish/a", id, "POST", id.encode())
        deployment.record.write("answered", id=id, status=reply.status)


async def case(folder: Path, has_trouble: bool) -> list[str]:
    deployment = Deployment(folder, n_routers=N_ROUTERS)
    record = deployment.record
    runs = Runs()
    try:
        routes = [route("publish", "unsafe", SERVICE, timeoutMs=800)]
        await deployment.start_store(configuration(routes, [SERVICE]))
        for number in range(N_RUNNERS):
            await deployment.add_runner(f"i-{number}", SERVICE, runs.handle)
        await deployment.start_routers(ZONES, bounds={**BOUNDS, **GROWN})
        await asyncio.sleep(STABLE_S)
        for attempt in range(N_ATTEMPTS):
            router = deployment.routers[attempt % N_ROUTERS]
            id = deployment.new_id()
            body = POISON if has_trouble else b'{"edition": 8}'
            record.write("sent", id=id, router=router.number, poison=has_trouble)
            reply = await call(router, "/publish/a", id, "POST", body)
            record.write("answered", id=id, status=reply.status, whole=reply.whole)
            await asyncio.sleep(AGAIN_S / 2)
            await ordinary(deployment)
            await asyncio.sleep(AGAIN_S / 2)
        return judge(record, runs)
    finally:
        for task in runs.restarts:
            task.cancel()
        await deployment.stop()


def judge(record, runs: Runs) -> list[str]:
    """Return how the rule BUDGET is broken, if it is."""
    if len(runs.crashed) < 3:
        return []
    since = runs.crashed[2] + STABLE_S
    n_late = sum(at > since for at in runs.reached)
    record.write("judged", crashes=len(runs.crashed), late=n_late, allowed=ALLOWED)
    print(f"{len(runs.crashed)} crashes; {n_late} retries reached runners too late")
    if n_late > ALLOWED:
        return [f"BUDGET: {n_late} retries reached runners after the third crash"]
    return []


if __name__ == "__main__":
    main(case, FOLDER)
