"""The application and its components, with their life-cycle hooks."""

import asyncio
import collections.abc as cabc
import typing as t

import eliot

from cassiawalk.metering import Meter
from cassiawalk.metering import MeteredCoroutine

RESTART_PAUSE_S = 1.0  # between the end of a task by an exception and its next start


class Component:
    """A unit with tasks of its own that the application starts, drains and stops.

    If ``meter`` is set, the CPU time of the component's tasks is added to it.
    """

    meter: Meter | None = None
    _tasks: set[asyncio.Task[t.Any]]

    async def start(self) -> None:
        """Start the component's tasks and sockets."""

    async def begin_drain(self) -> None:
        """Refuse new work from now on; called on all components before ``drain`` on any."""

    async def drain(self) -> None:
        """Wait until all accepted work is finished; ``begin_drain`` has stopped new work."""

    async def stop(self) -> None:
        """Cancel the component's tasks and close its sockets."""
        await self.cancel_tasks()

    def spawn(self, coro: cabc.Coroutine[t.Any, t.Any, t.Any], *, name: str) -> asyncio.Task[t.Any]:
        """Run a coroutine as a task that is cancelled when the component stops."""
        tasks = self.__dict__.setdefault("_tasks", set())
        running = coro if self.meter is None else MeteredCoroutine(coro, self.meter)
        task = asyncio.get_running_loop().create_task(running, name=name)
        tasks.add(task)
        task.add_done_callback(lambda done: _on_task_done(tasks, done))
        return task

    def keep_running(
        self, run: cabc.Callable[[], cabc.Coroutine[t.Any, t.Any, None]], *, name: str
    ) -> asyncio.Task[None]:
        """Run a task for the component's life, and begin it again if an exception ends it.

        The exception is logged. ``run`` must be able to go on from the component's state.
        """
        return self.spawn(_restart_on_error(run, name), name=name)

    async def cancel_tasks(self) -> None:
        """Cancel the component's tasks and wait for them."""
        tasks = list(self.__dict__.get("_tasks", ()))
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def _restart_on_error(
    run: cabc.Callable[[], cabc.Coroutine[t.Any, t.Any, None]], name: str
) -> None:
    while True:
        try:
            return await run()
        except Exception as exc:
            eliot.log_message(message_type="task:restarted", task=name, error=repr(exc))
        await asyncio.sleep(RESTART_PAUSE_S)


def _on_task_done(tasks: set[asyncio.Task[t.Any]], done: asyncio.Task[t.Any]) -> None:
    """Remove a finished task from ``tasks``, and log its exception if it failed."""
    tasks.discard(done)
    if done.cancelled() or done.exception() is None:
        return
    eliot.log_message(
        message_type="task:failed", task=done.get_name(), error=repr(done.exception())
    )


class Application:
    """Starts components in order and stops them in reverse order."""

    def __init__(self, *, components: cabc.Sequence[Component]) -> None:
        self._components = list(components)
        self._started: list[Component] = []

    async def start(self) -> None:
        """Start all components in order; if one fails, stop those already started."""
        try:
            for component in self._components:
                await component.start()
                self._started.append(component)
        except BaseException:
            await self.stop()
            raise

    async def drain(self) -> None:
        """Drain all started components, the last started first."""
        for component in reversed(self._started):
            await component.begin_drain()
        for component in reversed(self._started):
            await component.drain()

    async def stop(self) -> None:
        """Stop all started components, the last started first."""
        while self._started:
            await self._started.pop().stop()
