"""Many users send large requests at once, and those that run are cut off."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "shared-3"))

from standins import (  # noqa: E402
    STABLE_S,
    Deployment,
    Request,
    Runner,
    answer,
    configuration,
    encode_call,
    main,
    read_head,
    route,
)

SERVICE = "tellimused"
N_ROUTERS = 2
N_RUNNERS = 4
MEMORY_MB = 205  # of the smallest machine of the small sites
BODY_BYTES = 4_000_000  # the configuration allows 4,194,304
N_CLIENTS = 24
# The longest work of the site is 220 ms, and runners share their machines (x 2.5).
WORK_S = 0.45
# A burst that the link of the machine carries, as 4 MB take 21 ms.
GAP_S = 0.03
CALM_GAP_S = 0.5
DEADLINE_MS = 2500
# The rule is broken by more requests than these.
ALLOWED = 3


async def handle(runner: Runner, request: Request, writer) -> None:
    record = runner._record
    record.write("run", runner=runner.id, id=request.id, bytes=len(request.body))
    if len(request.body) > 1000:
        await asyncio.sleep(WORK_S)
    record.write("done", runner=runner.id, id=request.id)
    writer.write(answer(request, b"confirmed"))


class Client:
    """A client with one connection that it keeps.

    Attributes:
        large: Id of its large request.
        status: Status of the answer to it; 0 if the connection was closed without one.
    """

    def __init__(self, deployment: Deployment, router) -> None:
        self._deployment = deployment
        self._router = router
        self.large = deployment.new_id()
        self.status = -1

    async def connect(self) -> None:
        """Connect, and have one small request answered."""
        self._streams = await asyncio.open_connection(
            self._router.address, self._router.port
        )
        status = await self._send(self._deployment.new_id(), b"order")
        self._deployment.record.write("first_answer", status=status)

    async def send_large(self) -> None:
        self.status = await self._send(self.large, b"x" * BODY_BYTES)

    async def _send(self, id: str, body: bytes) -> int:
        record = self._deployment.record
        record.write("sent", id=id, bytes=len(body))
        reader, writer = self._streams
        status = 0
        try:
            async with asyncio.timeout(DEADLINE_MS / 1000 + 1):
                deadline = {"Chicorylead_Deadline_Ms": str(DEADLINE_MS)}
                writer.write(encode_call("/confirm/a", id, "POST", body, **deadline))
                first, headers = await read_head(reader)
                status = int(first.split(" ")[1])
                await reader.readexactly(int(headers.get("content-length", 0)))
        except (OSError, EOFError) as exc:
            record.write("closed", id=id, by=repr(exc))
            status = 0
        except TimeoutError:
            status = -1
        record.write("answered", id=id, status=status)
        return status

    def close(self) -> None:
        self._streams[1].transport.abort()


async def case(folder: Path, has_trouble: bool) -> list[str]:
    deployment = Deployment(folder, n_routers=N_ROUTERS)
    record = deployment.record
    try:
        routes = [route("confirm", "unsafe", SERVICE, timeoutMs=DEADLINE_MS)]
        await deployment.start_store(configuration(routes, [SERVICE]))
        for number in range(N_RUNNERS):
            await deployment.add_runner(f"i-{number}", SERVICE, handle)
        await deployment.start_routers(memory_mb=[MEMORY_MB])
        await asyncio.sleep(STABLE_S)
        clients = [Client(deployment, deployment.routers[0]) for _ in range(N_CLIENTS)]
        for client in clients:
            await client.connect()
        # Without trouble the clients come so that few are there at a time.
        if not has_trouble:
            clients = clients[:20]
        gap_s = GAP_S if has_trouble else CALM_GAP_S
        calls = []
        for client in clients:
            calls.append(asyncio.create_task(client.send_large()))
            await asyncio.sleep(gap_s)
        await asyncio.gather(*calls)
        await asyncio.sleep(WORK_S)
        for client in clients:
            client.close()
        return judge(deployment, clients)
    finally:
        await deployment.stop()


def judge(deployment: Deployment, clients: list[Client]) -> list[str]:
    """Return how the rule LOST is broken, if it is."""
    lines = (FOLDER / "record.txt").read_text().splitlines()
    run = {line.split("id=")[-1].split()[0] for line in lines if " run " in line}
    lost = [c.large for c in clients if c.status == 0 and c.large in run]
    statuses = sorted(c.status for c in clients)
    peak_mb = deployment.routers[0].peak_memory_mb()
    deployment.record.write(
        "judged", statuses=statuses, run_and_lost=len(lost), peak_mb=round(peak_mb)
    )
    print(
        f"statuses {statuses}; {len(lost)} were run and not answered; "
        f"the router held {peak_mb:.0f} MB of {MEMORY_MB} at most"
    )
    if len(lost) > ALLOWED:
        return [f"LOST: {len(lost)} requests were passed on and cut off"]
    return []


if __name__ == "__main__":
    main(case, FOLDER)
