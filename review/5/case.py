"""A router that is cut off goes on with streams at another software version.

TROUBLE=crash leaves out the cut; TROUBLE=0 leaves out the crash of the runner as well.
"""

import asyncio
import os
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))
import standins  # noqa: E402

N_EVENTS = 60
EVENT_S = 0.03
DEADLINE_MS = 12_000
SEND_EVERY_S = 0.015
WARM_S = 4.0  # longer than stableMs
CUT_S = 5.5  # as on the site's days
NEW_VERSION_AT = 0.5  # after the start of the cut
CRASH_AT = 3.5
CUT = 0  # number of the gateway that is cut off, of three


class StreamRunner(standins.Runner):
    """A runner whose events name its software version."""

    async def work(self, first, headers, body, writer):
        """Write the events after `Last-Event-Id`."""
        head = self.head(headers, Content_Type="text/event-stream")
        writer.write(head + b"Transfer-Encoding: chunked\r\n\r\n")
        begun = int(headers.get("last-event-id", 0))
        for number in range(begun + 1, N_EVENTS + 1):
            data = standins.event(number, f"{self.version} {number}")
            writer.write(b"%x\r\n" % len(data) + data + b"\r\n")
            await writer.drain()
            if writer.transport.is_closing():
                return
            await asyncio.sleep(EVENT_S)
        writer.write(b"0\r\n\r\n")


async def case(record, folder, has_trouble):
    """Return whether more than two streams hold events of two versions."""
    has_cut = has_trouble and os.environ.get("TROUBLE") != "crash"
    store = standins.Store()
    await store.start()
    stream = standins.route("revise", "streaming", resumable=True, timeoutMs=12000)
    store.put("keyed.op", "config", standins.configuration([stream]))
    old = [StreamRunner(store, record, f"r{n}", "1.0", slots=200) for n in (1, 2, 3)]
    for runner in old:
        runner.born -= 60_000  # they have been serving for a minute
    new = StreamRunner(store, record, "r4", "1.1", slots=200)
    proxy = standins.TcpProxy("127.0.0.1", store.port)
    await proxy.start()
    own_port, port = (standins.free_port("127.0.0.1") for _ in range(2))
    stores = [proxy.port, store.port, store.port]
    gateways = standins.make_gateways(folder, stores, [own_port, port, port])
    links = standins.UdpLinks(gateways[CUT], gateways[1:])
    await links.start()
    streams, tasks = [], []
    rng = random.Random(3)

    async def send_for(seconds):
        ends_at = record.now() + seconds
        while record.now() < ends_at:
            name = f"s{len(tasks)}"
            task = follow(gateways, record, name, rng, streams)
            tasks.append(asyncio.create_task(task))
            await asyncio.sleep(SEND_EVERY_S)

    try:
        for runner in old:
            await runner.start()
        for gateway in gateways:
            await gateway.start()
        for gateway in gateways:
            await gateway.wait_ready()
        await send_for(WARM_S)
        proxy.is_cut = links.is_cut = has_cut
        record.line("cut", gateway=CUT, is_cut=has_cut)
        await send_for(NEW_VERSION_AT)
        new.born = round(time.time() * 1000)
        await new.start()
        record.line("listed", runner=new.id, version=new.version)
        await send_for(CRASH_AT - NEW_VERSION_AT)
        if has_trouble:
            await new.crash()
        await send_for(CUT_S - CRASH_AT)
        proxy.is_cut = links.is_cut = False
        record.line("healed")
        await asyncio.gather(*tasks)
        for gateway in gateways:
            for line in gateway.log_lines("take_up", "take_up_unknown"):
                record.line("gateway_log", gateway=gateway.number, line=line)
    finally:
        for gateway in gateways:
            await gateway.stop()
        for runner in (*old, new):
            await runner.stop()
        links.stop()
        await proxy.stop()
        await store.stop()
    mixed = [(n, e) for n, e in streams if len({v for _, v in e}) > 1]
    for name, events in mixed:
        versions = "".join("a" if v == "1.0" else "b" for _, v in events)
        record.line("mixed", stream=name, versions=versions)
    n_whole = sum(len(events) == N_EVENTS for _, events in streams)
    n_new = sum(any(v == "1.1" for _, v in events) for _, events in streams)
    record.line(
        "total", streams=len(streams), whole=n_whole, new=n_new, mixed=len(mixed)
    )
    if not n_whole or not n_new:
        raise standins.CannotRun("the versions did not both serve")
    return len(mixed) > 2


async def follow(gateways, record, name, rng, streams):
    """Send a stream, and take it up once elsewhere if it breaks off."""
    first = rng.randrange(len(gateways))
    events = []
    ends_at = record.now() + DEADLINE_MS / 1000
    answer = await standins.ask(
        gateways[first], record, "POST", "/revise/a", name, DEADLINE_MS, body=b"x"
    )
    add_events(events, answer)
    if events and not answer.is_whole:
        # Another attempt, at an address that has not failed this caller.
        await asyncio.sleep(rng.uniform(0.0, 0.3))
        left_ms = int(1000 * (ends_at - record.now()))
        others = [n for n in range(len(gateways)) if n != first]
        again = await standins.ask(
            gateways[rng.choice(others)],
            record,
            "POST",
            "/revise/a",
            f"{name}-again",
            left_ms,
            body=b"x",
            Last_Event_Id=events[-1][0],
            Resumes=name,
        )
        add_events(events, again)
    streams.append((name, events))


def add_events(events, answer):
    """Add the whole events of an answer, as number and version."""
    if answer.status != 200:
        return
    for text in answer.body.decode("latin-1").split("\n\n")[:-1]:
        number, data = text.split("\n")
        events.append((int(number[4:]), data.split(" ")[1]))


standins.run_case(case)
