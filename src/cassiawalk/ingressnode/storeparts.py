"""Assembles the parts of a host that learn configuration and upstreams from the store."""

import collections.abc as cabc
import dataclasses
import random

from cassiawalk.app import Component
from cassiawalk.clock import Clock
from cassiawalk.fleet.heartbeats import HeartbeatExchange
from cassiawalk.ids import HostId
from cassiawalk.peer import PeerLinks
from cassiawalk.peer import PeerServer
from cassiawalk.storeview.config import ConfigView
from cassiawalk.storeview.copying import CopyCall
from cassiawalk.storeview.copying import PeerCopier
from cassiawalk.storeview.departurecopy import DepartureInquiry
from cassiawalk.storeview.departurecopy import DeparturesCall
from cassiawalk.storeview.directory import Directory
from cassiawalk.storeview.follow import ReadOptions
from cassiawalk.storeview.followers import ConfigFollower
from cassiawalk.storeview.followers import DirectoryFollower
from cassiawalk.storeview.freshness import Freshness
from cassiawalk.storeview.lapses import LapseChecker
from cassiawalk.storeview.listing import ProcessListing
from cassiawalk.storeview.source import PlatformSource

# With a heartbeat interval it stays under the age at which other hosts read the store themselves.
CONFIG_WAIT_S = 0.5
CONFIG_PAUSE_S = 0.0
DIRECTORY_WAIT_S = 0.2
DIRECTORY_PAUSE_S = 0.3
SUSPECT_WAIT_S = 3.0  # hosts tell each other at once; the store is for those that none can tell


class StoreParts:
    """The followers of the store's streams, and what replaces them while other hosts read.

    :param on_read: called after each read that the store answered.
    :param now_s: returns the corrected time in seconds since the epoch.
    :param boot_clock: its monotonic time includes time for which the host was suspended.
    """

    def __init__(
        self,
        *,
        host: HostId,
        source: PlatformSource,
        config: ConfigView,
        directory: Directory,
        heartbeats: HeartbeatExchange,
        links: PeerLinks,
        on_read: cabc.Callable[[], None],
        now_s: cabc.Callable[[], float],
        clock: Clock,
        boot_clock: Clock,
        rng: random.Random,
    ) -> None:
        self._source = source
        self._heartbeats = heartbeats
        self._on_read = on_read
        self._clock = clock
        self._rng = rng
        self.config_freshness = Freshness(clock=boot_clock)
        self.directory_freshness = Freshness(clock=boot_clock)
        self.copier = PeerCopier(
            host=host,
            view=config,
            directory=directory,
            heartbeats=heartbeats,
            links=links,
            clock=clock,
            rng=rng,
            config_freshness=self.config_freshness,
            directory_freshness=self.directory_freshness,
            now_s=now_s,
        )
        heartbeats.add_listener(self.copier.note_heartbeat)
        self.copier.config_follower = self._follow_config(config)
        self.copier.directory_follower = self._follow_directory(directory)
        self.copier.add_check(self.copier.config_follower.check_turn)
        self.copier.add_check(self.copier.directory_follower.check_turn)
        self.listing = ProcessListing(
            directory=directory, age_s=lambda: self.directory_freshness.age_s, clock=boot_clock
        )
        self.departures = DepartureInquiry(
            directory=directory, heartbeats=heartbeats, links=links, clock=clock
        )
        self.lapses = LapseChecker(
            directory=directory,
            config=config,
            inquiry=source.inquiry,
            clock=clock,
            age_s=lambda: self.directory_freshness.age_s,
        )

    def serve(self, server: PeerServer) -> None:
        """Answer other hosts' calls for copies."""
        server.handle(CopyCall, self.copier.handle)
        server.handle(DeparturesCall, self.departures.handle)

    def followers(self) -> list[Component]:
        """Return the followers, which have to start before the heartbeats."""
        return [self.copier.config_follower, self.copier.directory_follower]

    def components(self) -> list[Component]:
        """Return the other components."""
        return [self.copier, self.departures, self.lapses]

    def suspect_options(self) -> ReadOptions:
        """Return the options for following the suspect requests."""
        return ReadOptions(
            stream=self._source.suspect_stream,
            wait_s=SUSPECT_WAIT_S,
            pause_s=0.0,
            should_read=lambda: self.copier.store_ok and self.copier.reads_store,
            is_woken=True,
            max_retry_pause_s=self.copier.max_retry_pause_s,
        )

    def rollout_options(self, stream: str) -> ReadOptions:
        """Return the options for following the states of rollouts."""
        return dataclasses.replace(self.suspect_options(), stream=stream)

    def _follow_config(self, view: ConfigView) -> ConfigFollower:
        source = self._source
        return ConfigFollower(
            log=source.records,
            options=self._read_options(
                source.config_stream, CONFIG_WAIT_S, CONFIG_PAUSE_S, self.config_freshness
            ),
            key=source.config_key,
            decode=source.decode_config,
            view=view,
            clock=self._clock,
            rng=self._rng,
        )

    def _follow_directory(self, directory: Directory) -> DirectoryFollower:
        source = self._source
        return DirectoryFollower(
            log=source.records,
            options=self._read_options(
                source.upstream_stream,
                DIRECTORY_WAIT_S,
                DIRECTORY_PAUSE_S,
                self.directory_freshness,
            ),
            decode=source.decode_registration,
            directory=directory,
            clock=self._clock,
            rng=self._rng,
        )

    def _read_options(
        self, stream: str, wait_s: float, pause_s: float, freshness: Freshness
    ) -> ReadOptions:
        return ReadOptions(
            stream=stream,
            wait_s=wait_s,
            pause_s=pause_s,
            should_read=lambda: self.copier.reads_store,
            must_know=lambda: self.copier.must_know(freshness),
            is_woken=True,
            freshness=freshness,
            max_retry_pause_s=self.copier.max_retry_pause_s,
            on_change=self._heartbeats.send_now,
            on_read=self._on_read,
        )
