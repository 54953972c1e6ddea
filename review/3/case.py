"""A wrong byte in one event of a stream makes the router lose the events before it."""

import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))
import standins  # noqa: E402

N_EVENTS = 12
EVENTS_PER_WRITE = 3
WRITE_S = 0.06
SPOILT_RATIO = 0.02  # of the answers of one of three runners in that time
LOAD_S = 14.0
SPELL = (4.0, 9.0)  # 5 s
SEND_EVERY_S = 0.007


class StreamRunner(standins.Runner):
    """A runner that hands out a wrong byte in some answers."""

    is_faulty = False
    n_answers = 0
    n_spoilt = 0
    rng = random.Random(6)

    async def work(self, first, headers, body, writer):
        """Write the events after `Last-Event-Id`, some at a time."""
        head = self.head(headers, Content_Type="text/event-stream")
        writer.write(head + b"Transfer-Encoding: chunked\r\n\r\n")
        attempt = headers["chicorylead-attempt-id"]
        numbers = list(range(int(headers.get("last-event-id", 0)) + 1, N_EVENTS + 1))
        self.n_answers += self.is_faulty
        most = SPOILT_RATIO * self.n_answers
        is_spoilt = self.is_faulty and self.n_spoilt + 1 <= most
        self.n_spoilt += is_spoilt
        wrong = self.rng.randint(2, 8) if is_spoilt else 0
        for start in range(0, len(numbers), EVENTS_PER_WRITE):
            data = b""
            for number in numbers[start : start + EVENTS_PER_WRITE]:
                one = standins.event(number, f"{attempt} {number}")
                if number == wrong:
                    # One byte: the digit of the id.
                    one = one.replace(b"id: %d" % number, b"id: 9", 1)
                    self.record.line("spoilt", attempt=attempt, number=number)
                data += one
            writer.write(b"%x\r\n" % len(data) + data + b"\r\n")
            await writer.drain()
            if writer.transport.is_closing():
                return
            await asyncio.sleep(WRITE_S)
        writer.write(b"0\r\n\r\n")


async def case(record, folder, has_trouble):
    """Return whether a stream that ends as complete lacks an event."""
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
    lacking = []
    n_good = 0
    for attempt, answer in answers.items():
        if answer.status != 200 or not answer.is_whole:
            continue
        events = answer.body.split(b"\n\n")[:-1]
        numbers = [int(event.split(b"\n")[1].split(b" ")[-1]) for event in events]
        if numbers == list(range(1, N_EVENTS + 1)):
            n_good += 1
            continue
        lacking.append(attempt)
        record.line("events", attempt=attempt, numbers=numbers)
    n_spoilt = runners[0].n_spoilt
    record.line("total", good=n_good, spoilt=n_spoilt, lacking=len(lacking))
    if not n_good:
        raise standins.CannotRun("no stream was complete")
    return bool(lacking)


async def send(gateway, record, attempt, answers):
    """Send one stream."""
    answers[attempt] = await standins.ask(
        gateway, record, "POST", "/revise/a", attempt, 3000, body=b"x"
    )


standins.run_case(case)
