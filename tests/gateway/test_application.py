"""Tasks and records that meet an exception which nobody expected."""

import asyncio

from chicorylead.application import RESTART_MAX_S, RESTART_MIN_S, Application
from chicorylead.logs import EventLog
from chicorylead.traffic.stream import Stream, StreamPage, StreamRecord
from tests.gateway.fakes import make_follower


class _FailingTask:
    """Fails some times, then runs until it is cancelled.

    Attributes:
        started_at: Event-loop time of each start, seconds.
        is_cancelled: Whether it was cancelled while it ran.
    """

    def __init__(self, n_failures: int) -> None:
        self._n_failures = n_failures
        self.started_at: list[float] = []
        self.is_cancelled = False

    async def run(self) -> None:
        self.started_at.append(asyncio.get_running_loop().time())
        await asyncio.sleep(0)
        if len(self.started_at) <= self._n_failures:
            raise RecursionError("deep")
        try:
            await asyncio.Event().wait()
        finally:
            self.is_cancelled = True


# Guards against a task that ends for good while its process counts as ready.
def test_a_task_that_fails_is_started_again_and_reported(log_capture):
    failed: list[str] = []

    async def main() -> _FailingTask:
        log_capture.open()
        app = Application(EventLog(), failed.append)
        task = _FailingTask(n_failures=2)
        app.spawn(task.run, "reader")
        await asyncio.sleep(3 * RESTART_MIN_S + 0.1)
        await app.stop()
        return task

    task = asyncio.run(main())
    assert (len(task.started_at), task.is_cancelled) == (3, True)
    assert failed == ["reader", "reader"]
    first, second = log_capture.lines("task_failed")
    assert first["task"] == "reader"
    assert "RecursionError" in first["error"]
    assert first["at"].startswith("test_application.py:")
    assert float(second["restart_s"]) == 2 * float(first["restart_s"])


def test_a_task_that_always_fails_is_started_ever_less_often():
    async def main() -> list[float]:
        app = Application(EventLog())
        task = _FailingTask(n_failures=1000)
        app.spawn(task.run, "reader")
        await asyncio.sleep(5.5)
        await app.stop()
        return task.started_at

    started_at = asyncio.run(main())
    pauses = [b - a for a, b in zip(started_at, started_at[1:], strict=False)]
    assert all(pause <= RESTART_MAX_S + 0.2 for pause in pauses)
    # 0.1, 0.2, 0.4, 0.8, 1.6 and 2 s.
    assert 5 <= len(started_at) <= 7


def test_a_task_that_returns_is_not_started_again():
    async def main() -> int:
        app = Application(EventLog())
        n_runs = 0

        async def run() -> None:
            nonlocal n_runs
            n_runs += 1

        app.spawn(run, "once")
        await asyncio.sleep(3 * RESTART_MIN_S)
        await app.stop()
        return n_runs

    assert asyncio.run(main()) == 1


def test_a_record_that_cannot_be_applied_does_not_hold_up_those_after_it():
    applied: list[str] = []

    def apply(record: StreamRecord) -> None:
        if record.key == "odd":
            raise RuntimeError("unforeseen")
        applied.append(record.key)

    async def main() -> None:
        follower = make_follower(None, Stream.UPSTREAMS, on_record=apply)
        keys = ("a", "odd", "b")
        records = [StreamRecord(key, b"{}", n) for n, key in enumerate(keys)]
        assert follower.apply_page(StreamPage(records, 3)) == 3

    asyncio.run(main())
    assert applied == ["a", "b"]
