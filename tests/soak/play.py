"""One seed: faults in series that overlap, then calm, then the promises."""

import asyncio
from dataclasses import dataclass
from pathlib import Path
from random import Random

from tests.soak.fleet import SoakFleet

__all__ = ["Result", "play"]

N_CALLERS = 12
READY_S = 10.0  # the start of some processes on a busy machine
# Callers give up after 2.5 s, and the users' recovery takes 12 s.
CALM_S = 6.0


@dataclass(frozen=True)
class Result:
    """What came of a seed."""

    faults: tuple[str, ...]
    struck: tuple[str, ...]
    statuses: dict[int, int]

    def __str__(self) -> str:
        told = "; ".join(self.faults[:5]) or "all promises held"
        return f"{told}; {len(self.struck)} faults, statuses {self.statuses}"


async def play(seed: int, seconds: float, folder: Path) -> Result:
    """Play a seed.

    Args:
        seed: Start of all random numbers; the processes' timing is their own.
        seconds: Time with faults, seconds.
        folder: Where settings and logs are written.
    """
    rng = Random(seed)
    fleet = SoakFleet(rng, folder)
    clock = asyncio.get_running_loop().time
    await fleet.start()
    callers = fleet.callers(N_CALLERS)
    tasks = [asyncio.ensure_future(caller.run()) for caller in callers]
    try:
        await _until_served(callers, clock() + READY_S)
        ends_at = clock() + seconds
        while clock() < ends_at:
            fleet.strike()
            await asyncio.sleep(rng.uniform(0.1, 1.0))
        await fleet.settle()
        fleet.calm()
        calm_at = clock()
        await asyncio.sleep(CALM_S)
        for caller in callers:
            if caller.last_ok_at < calm_at + CALM_S / 2:
                fleet.ledger.faults.append("a caller is not served after the faults")
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await fleet.stop()
    fleet.ledger.check_end()
    ledger = fleet.ledger
    return Result(tuple(ledger.faults), tuple(fleet.done), dict(ledger.statuses))


async def _until_served(callers: list, limit: float) -> None:
    loop = asyncio.get_running_loop()
    while not all(caller.last_ok_at for caller in callers):
        if loop.time() > limit:
            raise TimeoutError(f"callers are not served within {READY_S} s")
        await asyncio.sleep(0.05)
