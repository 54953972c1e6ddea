"""An entry of another writer, with fields missing, takes all requests of a service."""

import asyncio
import sys
from collections import Counter
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
RUN_S = 20.0
WORK_S = 0.06
N_EVENTS = 5
# Requests a second, as on the smallest site at a quarter of its traffic.
RATES = {"revise": 20.0, "publish": 2.1, "lookup": 0.9}
METHODS = {"revise": "POST", "publish": "POST", "lookup": "GET"}
# Neither `coldLeftMs` nor `born`, and a loopback address with an empty part.
ODD_ENTRY = {
    "service": APP,
    "address": "127..0.1:8080",
    "zone": "recife-a",
    "version": "1.0",
    "slots": 6,
    "state": "ready",
    "seq": 1,
}


async def serve_app(runner: Runner, request: Request, writer) -> None:
    runner._record.write("run", runner=runner.id, id=request.id)
    await asyncio.sleep(WORK_S)
    writer.write(answer(request, b"entry"))


async def serve_stream(runner: Runner, request: Request, writer) -> None:
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


async def one_call(
    deployment: Deployment, number: int, kind: str, results: Counter
) -> None:
    router = deployment.routers[number % len(deployment.routers)]
    id = deployment.new_id()
    body = b"" if METHODS[kind] == "GET" else id.encode()
    deployment.record.write("sent", id=id, kind=kind, router=router.number)
    reply = await call(router, f"/{kind}/a", id, METHODS[kind], body)
    deployment.record.write("answered", id=id, status=reply.status, whole=reply.whole)
    results[kind, reply.status if reply.whole else 0] += 1


async def client(deployment: Deployment, kind: str, results: Counter) -> None:
    ends_at = deployment.record.now() + RUN_S
    calls, number = [], 0
    while deployment.record.now() < ends_at:
        number += 1
        call_ = one_call(deployment, number, kind, results)
        calls.append(asyncio.create_task(call_))
        await asyncio.sleep(1 / RATES[kind])
    await asyncio.gather(*calls)


async def case(folder: Path, has_trouble: bool) -> list[str]:
    deployment = Deployment(folder, n_routers=len(ZONES))
    record = deployment.record
    try:
        routes = [
            route("revise", "streaming", ENGINES, resumable=True, maxAttempts=2),
            route("publish", "unsafe", APP),
            route("lookup", "safe", APP, maxAttempts=2),
        ]
        await deployment.start_store(configuration(routes, [ENGINES, APP]))
        if has_trouble:
            # It was there before the runners that serve now.
            deployment.store.put("keyed.servers", "acervo-app", ODD_ENTRY)
            record.write("odd_entry", entry=ODD_ENTRY)
        for number in range(5):
            await deployment.add_runner(
                f"i-llm-{number}", ENGINES, serve_stream, slots=64
            )
        for number in range(3):
            await deployment.add_runner(f"i-app-{number}", APP, serve_app)
        await deployment.start_routers(ZONES)
        await asyncio.sleep(STABLE_S)
        results: Counter = Counter()
        await asyncio.gather(*(client(deployment, k, results) for k in RATES))
        return judge(record, results)
    finally:
        await deployment.stop()


def judge(record, results: Counter) -> list[str]:
    """Return how the rule Starved is broken, if it is."""
    sent = Counter()
    for (kind, _), n in results.items():
        sent[kind] += n
    served = {kind: results[kind, 200] / sent[kind] for kind in sent}
    share = sum(results[kind, 200] for kind in sent) / sum(sent.values())
    text = ", ".join(f"{k} {served[k]:.2f} of {sent[k]}" for k in sorted(sent))
    record.write("judged", served=text, all=round(share, 3), results=dict(results))
    print(f"served: {text}; all {share:.2f}; answers {dict(results)}")
    return [
        f"Starved: {kind} is served {served[kind]:.2f} of the time, all {share:.2f}"
        for kind in sorted(sent)
        if served[kind] < share / 4
    ]


if __name__ == "__main__":
    main(case, FOLDER)
