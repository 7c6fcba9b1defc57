"""Interface of the runners that execute requests; the request's mode and pool select one."""

import abc

from cassiawalk.requests import RequestRecord
from cassiawalk.results import Refusal


class Runner(abc.ABC):
    """Executes a request and adds text and results to its record as they arrive."""

    @abc.abstractmethod
    async def run(self, record: RequestRecord) -> Refusal | None:
        """Execute the request to its end; return a refusal, or None if the answer is complete."""
