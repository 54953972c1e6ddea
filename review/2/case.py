"""An entry that cannot be read ends for good the reading of all later entries."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))
import standins  # noqa: E402

DRAIN_S = 2.0  # drainMs
STABLE_S = 3.0  # stableMs
SERVES_ON_S = 12.0  # "at times many seconds" after `draining`
SEND_EVERY_S = 0.05


async def case(record, folder, has_trouble):
    """Return whether a leaving runner gets requests after the bound."""
    store = standins.Store()
    await store.start()
    store.put(
        "keyed.op",
        "config",
        standins.configuration([standins.route("look", "safe", maxAttempts=2)]),
    )
    runners = [standins.Runner(store, record, f"r{n}") for n in (1, 2, 3)]
    gateways = standins.make_gateways(folder, [store.port] * 2)
    try:
        for runner in runners:
            await runner.start()
        for gateway in gateways:
            await gateway.start()
        for gateway in gateways:
            await gateway.wait_ready()
        served = await send_for(gateways, record, STABLE_S + 1.0, "before")
        if has_trouble:
            # Another writer's entry: JSON nested deeper than the reader can follow.
            store.put(
                "keyed.servers", "x9", b'{"note":' + b"[" * 1200 + b"]" * 1200 + b"}"
            )
            record.line("odd_entry", n_bytes=2410)
        await send_for(gateways, record, 2.0, "between")
        leaving = runners[0]
        leaving.state = "draining"
        leaving.register()
        acknowledged_at = record.now()
        record.line("draining", runner=leaving.id)
        # New runners start meanwhile, as in a release.
        fresh = standins.Runner(store, record, "r4")
        runners.append(fresh)
        await fresh.start()
        await send_for(gateways, record, SERVES_ON_S, "after")
        for gateway in gateways:
            for line in gateway.log_lines("task_failed"):
                record.line("gateway_log", gateway=gateway.number, line=line)
    finally:
        for gateway in gateways:
            await gateway.stop()
        for runner in runners:
            await runner.stop()
        await store.stop()
    late = [a for at, a in leaving.arrivals if at > acknowledged_at + DRAIN_S]
    for attempt in late[:5]:
        record.line("reached_leaving_runner", attempt=attempt)
    record.line("total", served_before=served, late=len(late), fresh=len(fresh.runs))
    if not served:
        raise standins.CannotRun("no request was served")
    return bool(late)


async def send_for(gateways, record, seconds, name):
    """Send to both gateways in turn; return the number of requests that were served."""
    ends_at = record.now() + seconds
    tasks = []
    number = 0
    while record.now() < ends_at:
        number += 1
        gateway = gateways[number % len(gateways)]
        attempt = f"{name}-{number}"
        tasks.append(
            asyncio.create_task(
                standins.ask(gateway, record, "GET", "/look/a", attempt, 2500)
            )
        )
        await asyncio.sleep(SEND_EVERY_S)
    answers = await asyncio.gather(*tasks)
    return sum(answer.status == 200 for answer in answers)


standins.run_case(case)
