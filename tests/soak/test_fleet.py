"""The soak ends every process that it has started."""

import asyncio
from pathlib import Path
from random import Random

import psutil

from tests.soak.fleet import SoakFleet


def _gateways(folder: Path) -> list[psutil.Process]:
    """Return the processes that run with settings in a folder."""
    found = []
    for process in psutil.Process().children(recursive=True):
        try:
            if any(str(folder) in word for word in process.cmdline()):
                found.append(process)
        except psutil.NoSuchProcess:
            continue
    return found


def test_overlapping_restarts_leave_no_process(tmp_path):
    """Two faults of a router that each start it again; the end cancels a third."""

    async def main() -> None:
        fleet = SoakFleet(Random(1), tmp_path, n_routers=1)
        await fleet.start()
        router = fleet.routers[0]
        await asyncio.gather(fleet._kill(router, 0.0), fleet._kill(router, 0.0))
        assert len(_gateways(tmp_path)) == 1
        restart = asyncio.ensure_future(fleet._kill(router, 0.0))
        fleet._faults.add(restart)
        await asyncio.sleep(0.02)
        await fleet.stop()

    asyncio.run(main())
    assert _gateways(tmp_path) == []
