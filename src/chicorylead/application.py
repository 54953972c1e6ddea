"""Starts the components of an application, keeps its tasks running, and stops them."""

import asyncio
import signal
from collections.abc import Awaitable, Callable
from pathlib import Path

from chicorylead.logs import EventLog

__all__ = ["Application"]

Hook = Callable[[], Awaitable[object]]

# A task that fails is missed within a heartbeat. One that fails again and again, on the
# same input, must neither fill the log nor take the processor.
RESTART_MIN_S = 0.1
RESTART_MAX_S = 2.0
# A task that has run for so long has got over what made it fail.
SOUND_S = 10.0


class Application:
    """Runs start hooks in order and stop hooks in reverse.

    Args:
        log: Receives failures of tasks and stop hooks.
        on_task_failed: Called with the name of a task that failed.
    """

    def __init__(
        self, log: EventLog, on_task_failed: Callable[[str], None] = lambda name: None
    ) -> None:
        self._log = log
        self._on_task_failed = on_task_failed
        self._hooks: list[tuple[Hook | None, Hook | None]] = []
        self._started: list[Hook] = []
        self._tasks: list[asyncio.Task[object]] = []
        self._stop_requested = asyncio.Event()

    def add(self, start: Hook | None = None, stop: Hook | None = None) -> None:
        """Register the hooks of a component."""
        self._hooks.append((start, stop))

    def spawn(self, run: Hook, name: str) -> None:
        """Run a task until it returns, or the application stops.

        A task that fails is started again, however often: the process would count as
        ready without it, and if all processes met the same input, ending would leave
        none.
        """
        self._tasks.append(asyncio.ensure_future(self._supervise(run, name)))

    async def _supervise(self, run: Hook, name: str) -> None:
        clock = asyncio.get_running_loop().time
        restart_s = RESTART_MIN_S
        while True:
            started_at = clock()
            try:
                await run()
                return
            except Exception as exc:
                ran_s = clock() - started_at
                if ran_s >= SOUND_S:
                    restart_s = RESTART_MIN_S
                self._log.error(
                    "task_failed",
                    task=name,
                    ran_s=ran_s,
                    restart_s=restart_s,
                    error=repr(exc),
                    at=_origin(exc),
                )
                self._on_task_failed(name)
            await asyncio.sleep(restart_s)
            restart_s = min(RESTART_MAX_S, 2 * restart_s)

    async def start(self) -> None:
        """Run the start hooks; if one fails, stop what was started."""
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
        """Cancel all tasks and stop the components that were started."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        while self._started:
            hook = self._started.pop()
            try:
                await hook()
            except Exception as exc:
                self._log.error("stop_failed", error=repr(exc))

    def request_stop(self) -> None:
        """Make `run` drain, stop and return; further calls have no effect."""
        self._stop_requested.set()

    async def run(self, drain: Hook | None = None) -> None:
        """Start, wait for SIGTERM, SIGINT or `request_stop`, drain, and stop.

        Args:
            drain: Awaited before the stop hooks run.
        """
        loop = asyncio.get_running_loop()
        for signum in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signum, self.request_stop)
        await self.start()
        try:
            await self._stop_requested.wait()
            if drain is not None:
                await drain()
        finally:
            await self.stop()


def _origin(exc: Exception) -> str:
    """Return file and line at which an exception was raised."""
    frame = exc.__traceback__
    while frame is not None and frame.tb_next is not None:
        frame = frame.tb_next
    if frame is None:
        return ""
    return f"{Path(frame.tb_frame.f_code.co_filename).name}:{frame.tb_lineno}"
