"""A runner falls silent for two seconds, and a router that drains cuts its streams.

TROUBLE=term keeps the SIGTERM alone; TROUBLE=0 leaves out both.
"""

import asyncio
import os
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2] / "lib"))
import standins  # noqa: E402

N_STREAMS = 120
N_EVENTS = 40
EVENT_S = 0.05
START_S = 0.8  # in which all streams begin
WARM_S = 4.0  # longer than stableMs
SILENT_AT = 0.2  # after the SIGTERM
SILENT_S = 2.0  # clients wait 3.2 s: four times the objective, eight times the pause
DEADLINE_MS = 12_000


class StreamRunner(standins.Runner):
    """A runner that may make no event for some time, and then goes on."""

    silent_until = 0.0

    async def work(self, first, headers, body, writer):
        """Write the events after `Last-Event-Id`."""
        head = self.head(headers, Content_Type="text/event-stream")
        writer.write(head + b"Transfer-Encoding: chunked\r\n\r\n")
        begun = int(headers.get("last-event-id", 0))
        for number in range(begun + 1, N_EVENTS + 1):
            await asyncio.sleep(max(0.0, self.silent_until - self.record.now()))
            if writer.transport.is_closing():
                return
            data = standins.event(number, str(number))
            writer.write(b"%x\r\n" % len(data) + data + b"\r\n")
            await writer.drain()
            await asyncio.sleep(EVENT_S)
        writer.write(b"0\r\n\r\n")


async def case(record, folder, has_trouble):
    """Return whether begun streams end without a complete answer."""
    has_silence = has_trouble and os.environ.get("TROUBLE") != "term"
    store = standins.Store()
    await store.start()
    stream = standins.route(
        "revise",
        "streaming",
        resumable=True,
        maxAttempts=2,
        timeoutMs=15000,
        goalMs=800,
        itlTargetMs=400,
    )
    store.put("keyed.op", "config", standins.configuration([stream]))
    runners = [StreamRunner(store, record, f"r{n}", slots=64) for n in (1, 2)]
    gateways = standins.make_gateways(folder, [store.port] * 2)
    try:
        for runner in runners:
            await runner.start()
        for gateway in gateways:
            await gateway.start()
        for gateway in gateways:
            await gateway.wait_ready()
        await asyncio.sleep(WARM_S)
        tasks = []
        for number in range(N_STREAMS):
            task = standins.ask(
                gateways[0],
                record,
                "POST",
                "/revise/a",
                f"s{number}",
                DEADLINE_MS,
                b"x",
            )
            tasks.append(asyncio.create_task(task))
            await asyncio.sleep(START_S / N_STREAMS)
        await asyncio.sleep(0.3)
        term_at = record.now()
        if has_trouble:
            gateways[0].signal(signal.SIGTERM)
            record.line("sigterm", gateway=0)
        await asyncio.sleep(SILENT_AT)
        if has_silence:
            runners[0].silent_until = record.now() + SILENT_S
            record.line("silent", runner=runners[0].id, n_running=runners[0].n_running)
        answers = await asyncio.gather(*tasks)
        record.line("all_ended", after_s=round(record.now() - term_at, 3))
    finally:
        for gateway in gateways:
            await gateway.stop()
        for runner in runners:
            await runner.stop()
        await store.stop()
    begun = [a for a in answers if a.status == 200]
    lost = [a for a in begun if not a.is_whole]
    statuses = {
        s: sum(a.status == s for a in answers) for s in {a.status for a in answers}
    }
    record.line("total", statuses=statuses, begun=len(begun), lost=len(lost))
    if len(begun) < N_STREAMS / 2:
        raise standins.CannotRun("the streams did not begin")
    return bool(lost)


standins.run_case(case)
