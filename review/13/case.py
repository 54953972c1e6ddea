"""A few answers with line ends without end hold up the routers for seconds."""

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
    call,
    configuration,
    main,
    route,
)

ENGINES, APP = "modelo-frasear", "acervo-app"
ZONES = ["recife-a", "recife-a", "fortaleza-b", "salvador-c"]
RUN_S = 16.0
TROUBLE_AT_S = 4.0
TROUBLE_S = 5.0
WORK_S = 0.06
N_EVENTS = 10
EVENT_S = 0.02
STREAMS_PER_S = 80.0
PUBLISHES_PER_S = 12.0
# As `garble` of the site: a share of up to 0.5 of the runners, 0.05 of their answers.
FAULTY = ("i-llm-0", "i-llm-1")
SPOILT_ONE_IN = 20
TIMEOUT_S = 0.8  # of the route
DEADLINE_S = 1.5  # of the clients
LATE_S = 0.5
# Fewer unanswered requests than these prove nothing.
MIN_UNANSWERED = 8


class Engines:
    """Answers streams; some answers are line ends until the caller closes."""

    def __init__(self) -> None:
        self.is_faulty = False
        self.n_answers = 0
        self.n_spoilt = 0

    async def handle(self, runner: Runner, request: Request, writer) -> None:
        may_spoil = self.is_faulty and runner.id in FAULTY
        self.n_answers += may_spoil
        is_spoilt = may_spoil and self.n_answers % SPOILT_ONE_IN == 0
        runner._record.write(
            "run", runner=runner.id, id=request.id, spoilt=is_spoilt
        )
        writer.write(
            (
                f"HTTP/1.1 200 OK\r\nChicorylead-Attempt-Id: {request.id}\r\n"
                "Chicorylead-Response-Seal: 3e1b.07.5a2\r\n"
                "Content-Type: text/event-stream\r\n"
                "Transfer-Encoding: chunked\r\n\r\n"
            ).encode()
        )
        if is_spoilt:
            self.n_spoilt += 1
            lines = b"\n" * 8192
            while True:
                writer.write(b"%x\r\n%s\r\n" % (len(lines), lines))
                await writer.drain()
        for number in range(1, N_EVENTS + 1):
            event = f"id: {number}\ndata: text\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(EVENT_S)
        writer.write(b"0\r\n\r\n")


async def serve_app(runner: Runner, request: Request, writer) -> None:
    runner._record.write("run", runner=runner.id, id=request.id)
    await asyncio.sleep(WORK_S)
    writer.write(answer(request, b"published"))


async def one_call(
    deployment: Deployment, number: int, kind: str, deadline_s: float, times: list
) -> None:
    router = deployment.routers[number % len(deployment.routers)]
    id = deployment.new_id()
    deadline = {"Chicorylead_Deadline_Ms": str(int(1000 * deadline_s))}
    sent_at = deployment.record.write("sent", id=id, kind=kind, router=router.number)
    reply = await call(
        router, f"/{kind}/a", id, "POST", id.encode(), timeout_s=deadline_s, **deadline
    )
    took_s = deployment.record.now() - sent_at
    deployment.record.write(
        "answered", id=id, status=reply.status, whole=reply.whole, took_s=f"{took_s:.3f}"
    )
    times.append(took_s if reply.status else deadline_s)


async def client(
    deployment: Deployment, kind: str, per_s: float, deadline_s: float, times: list
) -> None:
    ends_at = deployment.record.now() + RUN_S
    calls, number = [], 0
    while deployment.record.now() < ends_at:
        number += 1
        call_ = one_call(deployment, number, kind, deadline_s, times)
        calls.append(asyncio.create_task(call_))
        await asyncio.sleep(1 / per_s)
    await asyncio.gather(*calls)


async def watch(deployment: Deployment, silences: list[float]) -> None:
    """Ask a router again and again whether it is ready; record how long it takes."""
    record = deployment.record

    async def watch_one(router) -> None:
        while True:
            asked_at = record.now()
            while not await router.is_ready():
                pass
            silences.append(record.now() - asked_at)
            if silences[-1] > 1.0:
                record.write(
                    "silent", router=router.number, seconds=f"{silences[-1]:.1f}"
                )
            await asyncio.sleep(0.5)

    await asyncio.gather(*(watch_one(router) for router in deployment.routers))


async def case(folder: Path, has_trouble: bool) -> list[str]:
    deployment = Deployment(folder, n_routers=len(ZONES))
    record = deployment.record
    engines = Engines()
    try:
        routes = [
            route("revise", "streaming", ENGINES, resumable=True, maxAttempts=2),
            route("publish", "unsafe", APP, timeoutMs=1000 * TIMEOUT_S),
        ]
        routes[0]["timeoutMs"] = 15000
        await deployment.start_store(configuration(routes, [ENGINES, APP]))
        for number in range(5):
            await deployment.add_runner(
                f"i-llm-{number}", ENGINES, engines.handle, slots=64
            )
        for number in range(3):
            await deployment.add_runner(f"i-app-{number}", APP, serve_app)
        await deployment.start_routers(ZONES)
        await asyncio.sleep(STABLE_S)
        streams: list[float] = []
        publishes: list[float] = []
        silences: list[float] = []
        watcher = asyncio.create_task(watch(deployment, silences))
        clients = [
            asyncio.create_task(
                client(deployment, "revise", STREAMS_PER_S, 12.0, streams)
            ),
            asyncio.create_task(
                client(deployment, "publish", PUBLISHES_PER_S, DEADLINE_S, publishes)
            ),
        ]
        await asyncio.sleep(TROUBLE_AT_S)
        engines.is_faulty = has_trouble
        await asyncio.sleep(TROUBLE_S)
        engines.is_faulty = False
        await asyncio.gather(*clients)
        watcher.cancel()
        print(f"a router did not answer for {max(silences):.1f} s at most")
        return judge(record, engines, publishes)
    finally:
        await deployment.stop()


def judge(record, engines: Engines, publishes: list[float]) -> list[str]:
    """Return how the rule CONFIG is broken, if it is."""
    unanswered = sum(took_s > TIMEOUT_S for took_s in publishes)
    late = sum(took_s > TIMEOUT_S + LATE_S for took_s in publishes)
    record.write(
        "judged",
        spoilt=engines.n_spoilt,
        publishes=len(publishes),
        unanswered=unanswered,
        late=late,
    )
    print(
        f"{engines.n_spoilt} spoilt answers; of {len(publishes)} requests {unanswered} "
        f"had no answer at the timeout, {late} none half a second later"
    )
    if unanswered >= MIN_UNANSWERED and late > unanswered / 2:
        return [f"CONFIG: {late} of {unanswered} requests have no answer in time"]
    return []


if __name__ == "__main__":
    main(case, FOLDER)
