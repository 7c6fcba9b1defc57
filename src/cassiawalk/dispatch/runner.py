"""Ways to run a request, chosen by its kind and pool."""

import abc

from cassiawalk.requests import RequestRecord
from cassiawalk.results import Refusal


class Runner(abc.ABC):
    """Runs one request; text and results are added to the record as they come."""

    @abc.abstractmethod
    async def run(self, record: RequestRecord) -> Refusal | None:
        """Run to the end and return why it was given up, or None if the answer is whole."""
