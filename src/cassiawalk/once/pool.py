"""The sequencers of one host."""

import asyncio
import typing as t

from cassiawalk.app import Component
from cassiawalk.clients import LogService
from cassiawalk.clock import Clock
from cassiawalk.ids import Partition
from cassiawalk.once.sequencer import Sequencer

MAINTAIN_INTERVAL_S = 10.0
IDLE_LIMIT_S = 60.0
CLOCK_MARGIN_S = 300.0
APPENDS_PER_S = 300.0


class PartitionOwner(t.Protocol):
    """Determines which partitions this host owns; implemented by ``Placement``."""

    @property
    def partitions(self) -> int:
        """Return the number of partitions."""

    def owns(self, partition: Partition) -> bool:
        """Return whether this host owns a partition."""


class SequencerPool(Component):
    """Runs a sequencer for each partition that this host owns or received a call for.

    Owned partitions are checkpointed regularly even if they receive no calls, so that new
    sequencers always find a checkpoint to start from. The sequencer of a partition that this host
    doesn't own is stopped after ``IDLE_LIMIT_S`` without calls.

    :param window_s: the idempotency window in seconds; ledgers keep claims ``CLOCK_MARGIN_S``
        longer to allow for clock skew between hosts.
    """

    def __init__(
        self, *, log: LogService, clock: Clock, placement: PartitionOwner, window_s: float
    ) -> None:
        self._log = log
        self._clock = clock
        self._placement = placement
        self._keep_s = window_s + CLOCK_MARGIN_S
        self._sequencers: dict[Partition, Sequencer] = {}

    def __len__(self) -> int:
        return len(self._sequencers)

    async def start(self) -> None:
        """Start the periodic maintenance."""
        self.keep_running(self._maintain, name="sequencer-pool")

    async def sequencer(self, partition: Partition) -> Sequencer:
        """Return the partition's sequencer; it is started on first use."""
        sequencer = self._sequencers.get(partition)
        if sequencer is None:
            sequencer = Sequencer(
                log=self._log,
                partition=partition,
                clock=self._clock,
                keep_s=self._keep_s,
                append_interval_s=self._placement.partitions / APPENDS_PER_S,
            )
            self._sequencers[partition] = sequencer
            await sequencer.start()
        return sequencer

    async def maintain(self) -> None:
        """Maintain the sequencers of owned partitions and stop idle ones of other partitions."""
        for number in range(self._placement.partitions):
            partition = Partition(number)
            sequencer = self._sequencers.get(partition)
            if self._placement.owns(partition):
                await (await self.sequencer(partition)).maintain()
            elif sequencer is not None and self._is_idle(sequencer):
                del self._sequencers[partition]
                await sequencer.stop()
            # Ranking 1,000 hosts takes over 1 ms; yields so that streams aren't delayed longer.
            await asyncio.sleep(0)

    async def stop(self) -> None:
        """Stop all sequencers."""
        await super().stop()
        for sequencer in self._sequencers.values():
            await sequencer.stop()

    def _is_idle(self, sequencer: Sequencer) -> bool:
        unused_s = self._clock.monotonic() - sequencer.last_used_at
        return sequencer.is_idle and unused_s >= IDLE_LIMIT_S

    async def _maintain(self) -> None:
        while True:
            await self._clock.sleep(MAINTAIN_INTERVAL_S)
            await self.maintain()
