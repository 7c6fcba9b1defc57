"""The application object and its life-cycle hooks."""

import asyncio
import collections.abc as cabc
import typing as t

import eliot

from cassiawalk.metering import Meter
from cassiawalk.metering import MeteredCoroutine


class Component:
    """A part with its own tasks, started and stopped by the application.

    The processor time of its tasks is added to ``meter``, if it has one.
    """

    meter: Meter | None = None
    _tasks: set[asyncio.Task[t.Any]]

    async def start(self) -> None:
        """Start the component's tasks and sockets."""

    async def begin_drain(self) -> None:
        """Refuse new work from now on; called on all components before any is drained."""

    async def drain(self) -> None:
        """Finish accepted work; no new work arrives any more."""

    async def stop(self) -> None:
        """Cancel the component's tasks and close its sockets."""
        await self.cancel_tasks()

    def spawn(self, coro: cabc.Coroutine[t.Any, t.Any, t.Any], *, name: str) -> asyncio.Task[t.Any]:
        """Run a coroutine as a task that ends with the component."""
        tasks = self.__dict__.setdefault("_tasks", set())
        running = coro if self.meter is None else MeteredCoroutine(coro, self.meter)
        task = asyncio.get_running_loop().create_task(running, name=name)
        tasks.add(task)
        task.add_done_callback(lambda done: _retire(tasks, done))
        return task

    async def cancel_tasks(self) -> None:
        """Cancel the component's tasks and wait for them."""
        tasks = list(self.__dict__.get("_tasks", ()))
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


def _retire(tasks: set[asyncio.Task[t.Any]], done: asyncio.Task[t.Any]) -> None:
    """Forget a finished task, and log the exception of one that failed."""
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
        """Start all components; those already started are stopped again if one fails."""
        try:
            for component in self._components:
                await component.start()
                self._started.append(component)
        except BaseException:
            await self.stop()
            raise

    async def drain(self) -> None:
        """Drain all components, the last started first."""
        for component in reversed(self._started):
            await component.begin_drain()
        for component in reversed(self._started):
            await component.drain()

    async def stop(self) -> None:
        """Stop all started components, the last started first."""
        while self._started:
            await self._started.pop().stop()
