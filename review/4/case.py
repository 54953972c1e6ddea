"""A runner goes over to bytes without end, and they reach the caller as events."""

import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))
import standins  # noqa: E402

N_EVENTS = 12
EVENT_S = 0.02
GOOD_EVENTS = 6  # before the bytes without end
SPOILT_RATIO = 0.02  # of the answers of one of three runners in that time
LOAD_S = 14.0
SPELL = (4.0, 9.0)  # 5 s
SEND_EVERY_S = 0.007
PIECE_BYTES = 4096
MAX_BYTES = 16_000_000  # if the router never closes


class StreamRunner(standins.Runner):
    """A runner that goes over to bytes that are no events in some answers."""

    is_faulty = False
    n_answers = 0
    n_spoilt = 0
    rng = random.Random(4)

    async def work(self, first, headers, body, writer):
        """Write the events after `Last-Event-Id`; the connection ends the answer."""
        head = self.head(headers, Content_Type="text/event-stream", Connection="close")
        writer.write(head + b"\r\n")
        attempt = headers["chicorylead-attempt-id"]
        begun = int(headers.get("last-event-id", 0))
        self.n_answers += self.is_faulty
        most = SPOILT_RATIO * self.n_answers
        is_spoilt = self.is_faulty and self.n_spoilt + 1 <= most
        self.n_spoilt += is_spoilt
        for number in range(begun + 1, N_EVENTS + 1):
            if is_spoilt and number > GOOD_EVENTS:
                await self._write_without_end(attempt, writer)
                return
            writer.write(standins.event(number, f"{attempt} {number}"))
            await writer.drain()
            await asyncio.sleep(EVENT_S)
        writer.close()

    async def _write_without_end(self, attempt, writer):
        n_bytes = 0
        self.record.line("without_end", runner=self.id, attempt=attempt)
        while n_bytes < MAX_BYTES and not writer.transport.is_closing():
            writer.write(self.rng.randbytes(PIECE_BYTES))
            n_bytes += PIECE_BYTES
            await writer.drain()
            await asyncio.sleep(0.001)
        self.record.line("closed_by_router", attempt=attempt, n_bytes=n_bytes)
        writer.transport.abort()


async def case(record, folder, has_trouble):
    """Return whether a complete answer holds bytes that are not its events."""
    store = standins.Store()
    await store.start()
    stream = standins.route("revise", "streaming", resumable=True, maxAttempts=2)
    store.put("keyed.op", "config", standins.configuration([stream]))
    runners = [StreamRunner(store, record, f"r{n}", slots=64) for n in (1, 2, 3)]
    (gateway,) = standins.make_gateways(folder, [store.port])
    answers = {}
    try:
        for runner in runners:
            await runner.start()
        await gateway.start()
        await gateway.wait_ready()
        began = record.now()
        tasks = []
        while (elapsed := record.now() - began) < LOAD_S:
            is_spell = SPELL[0] <= elapsed < SPELL[1]
            runners[0].is_faulty = has_trouble and is_spell
            task = send(gateway, record, f"s{len(tasks)}", answers)
            tasks.append(asyncio.create_task(task))
            await asyncio.sleep(SEND_EVERY_S)
        await asyncio.gather(*tasks)
    finally:
        await gateway.stop()
        for runner in runners:
            await runner.stop()
        await store.stop()
    wrong = []
    n_good = 0
    for attempt, answer in answers.items():
        events = [standins.event(n, f"{attempt} {n}") for n in range(1, N_EVENTS + 1)]
        if answer.status != 200 or not answer.is_whole:
            continue
        if answer.body == b"".join(events):
            n_good += 1
            continue
        wrong.append(attempt)
        n_foreign = len(answer.body) - sum(map(len, events))
        record.line("wrong_body", attempt=attempt, n_foreign_bytes=n_foreign)
    n_spoilt = runners[0].n_spoilt
    record.line("total", good=n_good, spoilt=n_spoilt, wrong=len(wrong))
    if not n_good:
        raise standins.CannotRun("no stream was complete")
    return bool(wrong)


async def send(gateway, record, attempt, answers):
    """Send one stream."""
    answers[attempt] = await standins.ask(
        gateway, record, "POST", "/revise/a", attempt, 3000, body=b"x"
    )


standins.run_case(case)
