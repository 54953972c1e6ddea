"""Faults that can be injected into a running stand-in."""

import asyncio
from random import Random

import msgspec
from msgspec import Struct
from starlette.requests import Request
from starlette.responses import Response

__all__ = ["FaultInjector", "Faults"]

FOREVER_S = 3600.0


class Faults(Struct, kw_only=True, forbid_unknown_fields=True):
    """Active faults.

    Attributes:
        slow_factor: Multiplies every duration.
        delay_s: Delay of each response, after the action took effect, seconds.
        down: Perform no action and send no response.
        lost_answer: Probability that an action takes effect but its response is lost.
        crossed: Probability that a response is replaced by another request's.
        silent: Accept requests but neither execute nor answer them.
        crash_on: Exit the process on a request whose body contains this text.
        leaving: Report itself as leaving.
        report_lag_s: Age of load reports, seconds.
        truncate: Probability that a response ends early.
    """

    slow_factor: float = 1.0
    delay_s: float = 0.0
    down: bool = False
    lost_answer: float = 0.0
    crossed: float = 0.0
    silent: bool = False
    crash_on: str = ""
    leaving: bool = False
    report_lag_s: float = 1.0
    truncate: float = 0.0


class FaultInjector:
    """Hold the active faults and apply those common to all stand-ins.

    Args:
        seed: Seed of the random draws.
    """

    def __init__(self, seed: int = 0) -> None:
        self.faults = Faults()
        self.rng = Random(seed)

    def draw(self, probability: float) -> bool:
        """Return True with the given probability."""
        return probability > 0 and self.rng.random() < probability

    async def before_action(self) -> None:
        """Hang while the stand-in is down or silent."""
        if self.faults.down or self.faults.silent:
            await asyncio.sleep(FOREVER_S)

    async def after_action(self) -> None:
        """Delay the response, or hang so that it is lost."""
        if self.faults.delay_s:
            await asyncio.sleep(self.faults.delay_s)
        if self.draw(self.faults.lost_answer):
            await asyncio.sleep(FOREVER_S)

    async def handle(self, request: Request) -> Response:
        """Set the faults named in the JSON body and keep the others."""
        current = msgspec.to_builtins(self.faults)
        changes = msgspec.json.decode(await request.body())
        self.faults = msgspec.convert({**current, **changes}, Faults)
        return Response(msgspec.json.encode(self.faults))
