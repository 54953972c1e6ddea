"""A second copy of a "not run" answer is taken for the answer to the next try."""

import asyncio
import random
import sys
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))
import standins  # noqa: E402

LOAD_S = 48.0
SPELL_S = 5.0  # of "extra late" on the site
SPELLS_AT = (4.0, 13.0, 22.0, 31.0, 40.0)
EXTRA_RATIO = 0.03  # of the answers in such a time; "extra late" on the site
RATE_PER_S = 180.0  # a part for the other service; more than six slots can do
ORDERS_EVERY = 11
WORK_S = (0.02, 0.07)  # 45 ms in the mean


class ExtraRunner(standins.Runner):
    """A runner that sometimes sends a second copy of an answer, late."""

    is_faulty = False
    n_answers = 0
    n_extras = 0

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.rng = random.Random(2)
        self._pending = {}

    async def handle(self, request, reader, writer):
        """Send a late copy where the answer to this request is expected."""
        extra = self._pending.pop(writer, None)
        if extra is not None and self.is_faulty:
            self.record.line("extra", runner=self.id, of=extra[0])
            writer.write(extra[1])
        self.n_answers += self.is_faulty
        await super().handle(request, reader, writer)

    async def turn_away(self, headers, writer):
        """Answer that there is no room, sometimes once more later."""
        data = self.not_run(headers)
        writer.write(data)
        may_add = self.n_extras + 1 <= EXTRA_RATIO * self.n_answers
        if self.is_faulty and may_add:
            self.n_extras += 1
            self._pending[writer] = (headers["chicorylead-attempt-id"], data)

    async def work(self, first, headers, body, writer):
        """Answer a request that runs."""
        await asyncio.sleep(self.rng.uniform(*WORK_S))
        data = b"answer"
        length = b"Content-Length: %d\r\n\r\n" % len(data)
        writer.write(self.head(headers) + length + data)


async def case(record, folder, has_trouble):
    """Return whether an unsafe request ran twice, or ran and was answered 503."""
    rng = random.Random(1)
    store = standins.Store()
    await store.start()
    routes = [
        standins.route("publish", "unsafe"),
        standins.route("order", "unsafe", service="other"),
    ]
    services = ("app", "other")
    store.put("keyed.op", "config", standins.configuration(routes, services=services))
    # One of two runners, the only one of its service, hands out wrong bytes.
    runners = [ExtraRunner(store, record, f"r{n}", slots=6, queue=2) for n in (1, 2)]
    runners[1].service = "other"
    gateways = standins.make_gateways(folder, [store.port] * 2)
    statuses = {}
    sends = set()
    try:
        for runner in runners:
            await runner.start()
        for gateway in gateways:
            await gateway.start()
        for gateway in gateways:
            await gateway.wait_ready()
        began = record.now()
        number = 0
        due_at = began
        while (elapsed := record.now() - began) < LOAD_S:
            in_spell = any(at <= elapsed < at + SPELL_S for at in SPELLS_AT)
            runners[0].is_faulty = has_trouble and in_spell
            number += 1
            gateway = gateways[number % len(gateways)]
            name = "order" if number % ORDERS_EVERY == 0 else "publish"
            task = send(gateway, record, name, f"p{number}", statuses)
            task = asyncio.create_task(task)
            sends.add(task)
            task.add_done_callback(sends.discard)
            due_at += rng.expovariate(RATE_PER_S)
            await asyncio.sleep(max(0.0, due_at - record.now()))
        await asyncio.gather(*sends)
        await asyncio.sleep(1.0)
    finally:
        for gateway in gateways:
            await gateway.stop()
        for runner in runners:
            await runner.stop()
        await store.stop()
    n_runs = Counter(attempt for r in runners for _, attempt in r.runs)
    twice = [a for a, n in n_runs.items() if n > 1]
    refused = [
        a for a, s in statuses.items() if s in (408, 421, 429, 503) and n_runs[a]
    ]
    for attempt in twice:
        record.line("ran_twice", attempt=attempt, status=statuses.get(attempt))
    for attempt in refused:
        record.line("refused_and_run", attempt=attempt, status=statuses[attempt])
    record.line(
        "total",
        sent=number,
        statuses=dict(Counter(statuses.values())),
        turned_away=sum(len(r.arrivals) - len(r.runs) for r in runners),
        extras=runners[0].n_extras,
        answers=runners[0].n_answers,
    )
    if not any(s == 200 for s in statuses.values()):
        raise standins.CannotRun("no request was served")
    return bool(twice or refused)


async def send(gateway, record, name, attempt, statuses):
    """Send one unsafe request."""
    answer = await standins.ask(
        gateway, record, "POST", f"/{name}/a", attempt, 2500, body=attempt.encode()
    )
    statuses[attempt] = answer.status


standins.run_case(case)
