"""An application object that owns parts and cleans them up in reverse order."""

import asyncio
import signal
from collections.abc import Awaitable, Callable

from chicorylead.logs import EventLog

__all__ = ["Application"]

Hook = Callable[[], Awaitable[object]]


class Application:
    """Run start hooks in order and stop hooks in reverse.

    Args:
        log: Where failures of stop hooks go.
    """

    def __init__(self, log: EventLog) -> None:
        self._log = log
        self._hooks: list[tuple[Hook | None, Hook | None]] = []
        self._started: list[Hook] = []
        self._tasks: list[asyncio.Task[object]] = []
        self._stop_asked = asyncio.Event()

    def add(self, start: Hook | None = None, stop: Hook | None = None) -> None:
        """Add a part with its hooks."""
        self._hooks.append((start, stop))

    def spawn(self, coro: Awaitable[object], name: str) -> None:
        """Run a task until the application stops; its end by error is logged."""
        task = asyncio.ensure_future(coro)
        task.add_done_callback(lambda done: self._note_task(done, name))
        self._tasks.append(task)

    def _note_task(self, task: "asyncio.Task[object]", name: str) -> None:
        if not task.cancelled() and task.exception() is not None:
            self._log.error("task_failed", task=name, error=repr(task.exception()))

    async def start(self) -> None:
        """Run the start hooks; undo them if one fails."""
        try:
            for start, stop in self._hooks:
                if start is not None:
                    await start()
                if stop is not None:
                    self._started.append(stop)
        except BaseException:
            await self.stop()
            raise

    async def stop(self) -> None:
        """Cancel tasks and run the stop hooks of what was started."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        while self._started:
            hook = self._started.pop()
            try:
                await hook()
            except Exception as exc:
                self._log.error("stop_failed", error=repr(exc))

    def ask_to_stop(self) -> None:
        """Let `run` return; further calls change nothing."""
        self._stop_asked.set()

    async def run(self, drain: Hook | None = None) -> None:
        """Start, wait for a signal to end, drain, and stop.

        Args:
            drain: Awaited between the signal and the stop hooks.
        """
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.ask_to_stop)
        await self.start()
        try:
            await self._stop_asked.wait()
            if drain is not None:
                await drain()
        finally:
            await self.stop()
