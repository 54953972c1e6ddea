"""Prompts of many small parts make the routers exceed the memory of their machines."""

import asyncio
import random
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "shared-3"))

from standins import (  # noqa: E402
    STABLE_S,
    Deployment,
    Request,
    RouterProcess,
    Runner,
    call,
    configuration,
    main,
    route,
)

SERVICE = "chicory-pool"
ZONES = ["tartu-a", "tartu-a", "tartu-b", "tallinn-a", "parnu-a"]
MEMORY_MB = [205, 205, 260, 260, 260]
ENGINE = {"slots": 64, "kvCapacity": 409704, "stride": 7}
N_ENGINES = 5
# Heads of 15 KB, where the configuration allows 16,384 bytes.
N_PARTS = 1300
FEW_PARTS = 3
N_SHARED = 2
REQUESTS_PER_S = 60.0
RUN_S = 70.0
N_EVENTS = 3
# Processes that end by themselves so often, on two machines at least, break the rule.
MAX_ENDS, MACHINES = 3, 2


async def stream(runner: Runner, request: Request, writer) -> None:
    runner._record.write("run", runner=runner.id, id=request.id)
    writer.write(
        (
            f"HTTP/1.1 200 OK\r\nChicorylead-Attempt-Id: {request.id}\r\n"
            "Chicorylead-Response-Seal: 3e1b.07.5a2\r\n"
            "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        ).encode()
    )
    for number in range(1, N_EVENTS + 1):
        event = f"id: {number}\ndata: text\n\n".encode()
        writer.write(b"%x\r\n%s\r\n" % (len(event), event))
        await writer.drain()
        await asyncio.sleep(0.02)
    writer.write(b"0\r\n\r\n")


def prompt(n_parts: int) -> dict[str, str]:
    """Return the headers of a prompt whose parts are one token each."""
    own = [f"{random.getrandbits(32):08x}:1" for _ in range(n_parts - N_SHARED)]
    parts = ["5c1e07a2:1", "91bd3f06:1", *own]
    return {
        "Chicorylead_Model": "m",
        "Chicorylead_Token_Counts": f"{n_parts},21",
        "Chicorylead_Prefix_Hash": ",".join(parts),
    }


async def one_call(deployment: Deployment, router, n_parts: int, statuses: list):
    id = deployment.new_id()
    deployment.record.write("sent", id=id, router=router.number)
    reply = await call(
        router,
        "/proof/a",
        id,
        "POST",
        b"{}",
        timeout_s=3.0,
        Chicorylead_Deadline_Ms="3000",
        **prompt(n_parts),
    )
    deployment.record.write("answered", id=id, status=reply.status, whole=reply.whole)
    statuses.append(reply.status)


async def guard(deployment: Deployment, router: RouterProcess, ends: list[int]) -> None:
    """End the process when it holds more than its machine has, as the platform does."""
    while True:
        await asyncio.sleep(0.25)
        memory_mb = router.memory_mb()
        if memory_mb > MEMORY_MB[router.number]:
            ends[router.number] += 1
            deployment.record.write(
                "over_memory", router=router.number, mb=round(memory_mb)
            )
            router.signal(9)
            await router.wait(5.0)
            await router.start()
            await router.wait_until_ready()


async def case(folder: Path, has_trouble: bool) -> list[str]:
    deployment = Deployment(folder, n_routers=len(ZONES))
    record = deployment.record
    try:
        routes = [route("proof", "streaming", SERVICE, resumable=True, sticky=True)]
        routes[0] |= {"maxAttempts": 2, "goalMs": 500}
        cfg = configuration(routes, [SERVICE])
        cfg["services"][0] |= {"engine": ENGINE, "maxConns": 370}
        cfg["limits"]["tokensPerS"] = 400000
        await deployment.start_store(cfg)
        for number in range(N_ENGINES):
            await deployment.add_runner(f"i-{number}", SERVICE, stream, slots=64)
        await deployment.start_routers(ZONES, memory_mb=MEMORY_MB)
        await asyncio.sleep(STABLE_S)
        ends = [0] * len(ZONES)
        statuses: list[int] = []
        guards = [
            asyncio.create_task(guard(deployment, r, ends)) for r in deployment.routers
        ]
        n_parts = N_PARTS if has_trouble else FEW_PARTS
        ends_at, number, calls = record.now() + RUN_S, 0, []
        while record.now() < ends_at:
            number += 1
            router = deployment.routers[number % len(deployment.routers)]
            call_ = one_call(deployment, router, n_parts, statuses)
            calls.append(asyncio.create_task(call_))
            await asyncio.sleep(1 / REQUESTS_PER_S)
        await asyncio.gather(*calls)
        for task in guards:
            task.cancel()
        peaks = [round(r.memory_mb()) for r in deployment.routers]
        n_ok = statuses.count(200)
        record.write("judged", ends=ends, memory_mb=peaks, sent=number, served=n_ok)
        print(f"ends {ends}; memory at the end {peaks} MB; {n_ok} of {number} served")
        if sum(n >= MAX_ENDS for n in ends) >= MACHINES:
            return [f"Fault: processes exceeded their memory {ends} times"]
        return []
    finally:
        await deployment.stop()


if __name__ == "__main__":
    main(case, FOLDER)
