"""The processes of upstreams that were noted last."""

MAX_PROCESSES = 1024


class RecentProcesses:
    """Names of processes; the oldest beyond ``MAX_PROCESSES`` are forgotten."""

    def __init__(self) -> None:
        self._names: dict[str, None] = {}

    def __contains__(self, process: str) -> bool:
        return process in self._names

    def add(self, process: str) -> None:
        """Note a process."""
        self._names[process] = None
        while len(self._names) > MAX_PROCESSES:
            del self._names[next(iter(self._names))]
