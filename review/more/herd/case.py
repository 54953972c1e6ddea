"""Half of the gateways are killed; the others keep a runner that has left too long."""

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2] / "lib"))
import standins  # noqa: E402

N_GATEWAYS = 4
N_RUNNERS = 3
DRAIN_S = 2.0  # drainMs
LITTLE_LONGER_S = 1.0  # for which the runner serves on after that
WARM_S = 8.0
LEAVES_AT = 0.1  # after the kill
SEND_EVERY_S = 0.03  # at each gateway


async def case(record, folder, has_trouble):
    """Return whether a runner that has left gets requests after the bound."""
    store = standins.Store()
    await store.start()
    store.put(
        "keyed.op",
        "config",
        standins.configuration([standins.route("publish", "unsafe")]),
    )
    runners = [standins.Runner(store, record, f"r{n}") for n in range(N_RUNNERS)]
    gateways = standins.make_gateways(folder, [store.port] * N_GATEWAYS)
    statuses = {}
    is_over = asyncio.Event()

    async def load(gateway):
        tasks = []
        while not is_over.is_set():
            attempt = f"g{gateway.number}-{len(tasks)}"
            task = send(gateway, record, attempt, statuses)
            tasks.append(asyncio.create_task(task))
            await asyncio.sleep(SEND_EVERY_S)
        await asyncio.gather(*tasks)

    try:
        for runner in runners:
            await runner.start()
        for gateway in gateways:
            await gateway.start()
        for gateway in gateways:
            await gateway.wait_ready()
        loads = [asyncio.create_task(load(gateway)) for gateway in gateways]
        await asyncio.sleep(WARM_S)
        # Half of the gateways: those that read the store.
        killed = [g for g in gateways if not g.log_lines("store_standby")]
        if len(killed) != N_GATEWAYS // 2:
            raise standins.CannotRun(f"{len(killed)} gateways read the store")
        if has_trouble:
            for gateway in killed:
                gateway.signal(signal.SIGKILL)
                record.line("killed", gateway=gateway.number)
        await asyncio.sleep(LEAVES_AT)
        leaving = runners[0]
        await leaving.leave()
        left_at = record.now()
        await asyncio.sleep(DRAIN_S + LITTLE_LONGER_S)
        await leaving.stop()
        record.line("exited", runner=leaving.id)
        is_over.set()
        await asyncio.gather(*loads)
    finally:
        for gateway in gateways:
            await gateway.stop()
        for runner in runners:
            await runner.stop()
        await store.stop()
    names = {f"g{g.number}-" for g in gateways if g not in killed or not has_trouble}
    late = [
        (round(at - left_at, 3), attempt)
        for at, attempt in leaving.arrivals
        if at > left_at + DRAIN_S and attempt.partition("-")[0] + "-" in names
    ]
    for after_s, attempt in late:
        record.line("reached", attempt=attempt, after_s=after_s)
    record.line("total", sent=len(statuses), late=len(late))
    if 200 not in statuses.values():
        raise standins.CannotRun("no request was served")
    return bool(late)


async def send(gateway, record, attempt, statuses):
    """Send one request that may run once."""
    answer = await standins.ask(
        gateway, record, "POST", "/publish/a", attempt, 1500, attempt.encode()
    )
    statuses[attempt] = answer.status


standins.run_case(case)
