"""Streams that clients take up again when a machine freezes as a release begins."""

import asyncio
import itertools
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "shared-2"))

from standins import (  # noqa: E402
    Answer,
    CannotRun,
    Router,
    Runner,
    Store,
    configuration,
    free_ports,
    head_of,
    main,
    read_answer,
)

N_RUNNERS = 3  # of the first software version; all go on serving
N_NEW = 1  # of the second one
LEAD_S = 22.0  # so that no upstream and no router is younger than 20 s
FREEZE_S = 4.0  # the largest dose of the site
RELEASE_AFTER_S = 0.5  # after the machine froze
GAP_S = 2.0  # "Clients abandon a stream [...] after a gap of two seconds"
N_STREAMS = 20
N_EVENTS, EVENT_S = 80, 0.1
DEADLINE_S = 15.0
N_TRIES, PAUSE_S = 4, 0.4  # "a few times"; the sheet names one retry
AT_LEAST = 12


class Client:
    """One stream, over several attempts."""

    numbers = itertools.count(1)

    def __init__(self, record):
        self.record = record
        self.first_attempt = ""
        self.last_id = 0
        self.events = []
        self.is_whole = False
        self.statuses = []
        self._writer = None
        self._heard_at = 0.0

    async def attempt(self, router, is_take_up=False):
        """Make one attempt; return whether an event came with it."""
        attempt = f"c{next(self.numbers):015x}"
        more = {}
        if is_take_up:
            more = {"Resumes": self.first_attempt, "Last_Event_Id": self.last_id}
        n_before = len(self.events)
        answer = Answer()
        try:
            reader, self._writer = await asyncio.open_connection(
                router.host, router.port
            )
            head = head_of(
                "POST",
                "/talk/2f",
                attempt,
                2,
                deadline_ms=round(1000 * DEADLINE_S),
                Chicorylead_Model="m",
                Chicorylead_Token_Counts="1200,500",
                Chicorylead_Prefix_Hash=f"5c1e07a2:800,{attempt[1:]}:400",
                **more,
            )
            self._writer.write(head + b"{}")
            self._heard_at = time.monotonic()
            reading = asyncio.ensure_future(
                read_answer(reader, answer, lambda part: self._take(part, attempt))
            )
            while not reading.done():
                await asyncio.wait([reading], timeout=0.05)
                if time.monotonic() - self._heard_at > GAP_S:
                    reading.cancel()
                    break
            await asyncio.gather(reading, return_exceptions=True)
        except (OSError, asyncio.TimeoutError):
            pass
        finally:
            self.leave()
        self.is_whole = answer.is_whole and answer.status == 200
        self.statuses.append(answer.status)
        self.record.write(
            "attempt_ends",
            attempt=attempt,
            router=router.name,
            resumes=more.get("Resumes"),
            after=more.get("Last_Event_Id"),
            status=answer.status,
            n_events=len(self.events) - n_before,
            is_whole=self.is_whole,
        )
        return len(self.events) > n_before

    def leave(self):
        """Close the connection."""
        if self._writer is not None:
            self._writer.transport.abort()

    def _take(self, part, attempt):
        self._heard_at = time.monotonic()
        for event in part.split(b"\n\n"):
            if event.startswith(b"id: "):
                self.last_id = int(event.split(b"\n")[0][4:])
                self.events.append(event)
                self.first_attempt = self.first_attempt or attempt


async def play(is_troubled, temporary, record):
    store = Store()
    await store.listen()
    store.put("keyed.op", "config", configuration())
    runners = [
        Runner(store, record, f"i-{n}", "pool", n_events=N_EVENTS, event_s=EVENT_S)
        for n in range(N_RUNNERS)
    ]
    new_runners = [
        Runner(
            store,
            record,
            f"n-{n}",
            "pool",
            version="v2",
            n_events=N_EVENTS,
            event_s=EVENT_S,
        )
        for n in range(N_NEW)
    ]
    began = time.monotonic()
    for runner in runners:
        await runner.start()
    ports = free_ports(5)
    routers = [Router(n, store, ports, temporary, record) for n in (1, 2)]
    first, second = routers
    tasks = []
    try:
        for router in routers:
            await router.start()
        for router in routers:
            await router.wait_ready()
        await asyncio.sleep(began + LEAD_S - time.monotonic())
        clients = [Client(record) for _ in range(N_STREAMS)]
        tasks = [asyncio.ensure_future(c.attempt(second)) for c in clients]
        await asyncio.sleep(1.0)
        if is_troubled:
            second.signal(signal.SIGSTOP)
            asyncio.get_running_loop().call_later(
                FREEZE_S, second.signal, signal.SIGCONT
            )
        await asyncio.sleep(RELEASE_AFTER_S)
        for runner in new_runners:
            await runner.start()
        if not is_troubled:
            # The clients lose their connections, and nothing else happens.
            await asyncio.sleep(GAP_S)
            for client in clients:
                client.leave()
        await asyncio.gather(*tasks)
        broken = [c for c in clients if c.events and not c.is_whole]
        record.write("broken", n=len(broken), after_s=time.monotonic() - began)
        new = [Client(record) for _ in range(N_STREAMS)]

        async def take_up(client):
            for _ in range(N_TRIES):
                if await client.attempt(first, is_take_up=True):
                    return True
                await asyncio.sleep(PAUSE_S)
            return False

        results = await asyncio.gather(
            *(take_up(client) for client in broken),
            *(client.attempt(first) for client in new),
        )
        went_on, began_new = results[: len(broken)], results[len(broken) :]
        n_serving = sum(runner.is_up for runner in runners)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for router in routers:
            await router.kill()
        for runner in (*runners, *new_runners):
            runner.crash()
        store.reset_all()
    if n_serving < 2 or not any(began_new):
        raise CannotRun(f"{n_serving} runners, {began_new}")
    if len(broken) < AT_LEAST:
        raise CannotRun(f"only {len(broken)} streams were taken up")
    share = sum(went_on) / len(went_on)
    share_new = sum(began_new) / len(began_new)
    statuses = {}
    for client in broken:
        for status in client.statuses[1:]:
            statuses[status] = statuses.get(status, 0) + 1
    return (
        share < share_new / 2,
        f"{sum(went_on)} of {len(went_on)} streams that were taken up went on "
        f"(answers: {statuses}), and {sum(began_new)} of {len(began_new)} new ones began",
    )


main(play, FOLDER)
