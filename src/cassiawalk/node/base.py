"""Builds a host's platform clients, membership, configuration and sequencers."""

from cassiawalk.clients.hosts_http import HttpCloudApi
from cassiawalk.clients.hosts_http import HttpHostList
from cassiawalk.clients.log_http import HttpLogService
from cassiawalk.control import CommandPublisher
from cassiawalk.control import ControlFollower
from cassiawalk.control import Housekeeper
from cassiawalk.control import RelayNode
from cassiawalk.membership import Membership
from cassiawalk.metrics import Metrics
from cassiawalk.node.context import NodeContext
from cassiawalk.once import ClaimClient
from cassiawalk.once import Placement
from cassiawalk.once import SequencerPool
from cassiawalk.peer import MembershipFeed
from cassiawalk.peer import NoteStore
from cassiawalk.peer import PeerLinks


class BaseComponents:
    """The components that a host's request handling depends on."""

    def __init__(self, *, ctx: NodeContext) -> None:
        self._ctx = ctx
        self._build_platform()
        self._build_control()
        self._build_relay()
        self._build_sequencers()

    def _build_platform(self) -> None:
        cfg, clock = self._ctx.cfg, self._ctx.clock
        self.metrics = Metrics(clock=clock)
        traffic = self.metrics.control_meter
        self.log = HttpLogService(url=cfg.log_url, traffic=traffic)
        self.cloud = HttpCloudApi(url=cfg.cloud_url, traffic=traffic)
        host_list = HttpHostList(url=cfg.host_list_url, traffic=traffic)
        self.membership = Membership(host=cfg.host_id, host_list=host_list, clock=clock)
        self.links = PeerLinks(membership=self.membership, secret=self._ctx.secret, traffic=traffic)
        self.note_store = NoteStore(clock=clock)
        self.feed = MembershipFeed(
            note_store=self.note_store,
            host=cfg.host_id,
            membership=self.membership,
            links=self.links,
            cloud=self.cloud,
            clock=clock,
        )

    def _build_control(self) -> None:
        cfg, clock = self._ctx.cfg, self._ctx.clock
        self.control = ControlFollower(
            log=self.log,
            clock=clock,
            staleness_bound_s=cfg.control_staleness_bound_s,
            outage_bound_s=cfg.control_outage_bound_s,
        )
        self.publisher = CommandPublisher(log=self.log, follower=self.control, clock=clock)

    def _build_relay(self) -> None:
        cfg = self._ctx.cfg
        self.relay = RelayNode(
            host=cfg.host_id,
            region=cfg.region,
            follower=self.control,
            membership=self.membership,
            links=self.links,
            clock=self._ctx.clock,
            rng=self._ctx.rng,
        )
        self.housekeeper = Housekeeper(
            host=cfg.host_id,
            log=self.log,
            follower=self.control,
            publisher=self.publisher,
            membership=self.membership,
            clock=self._ctx.clock,
            retention_s=cfg.control_retention_s,
            every_records=cfg.control_snapshot_every,
        )

    def _build_sequencers(self) -> None:
        cfg, clock = self._ctx.cfg, self._ctx.clock
        placement = Placement(
            host=cfg.host_id, membership=self.membership, partitions=cfg.once_partitions
        )
        self.sequencers = SequencerPool(
            log=self.log, clock=clock, placement=placement, window_s=cfg.once_window_s
        )
        self.claims = ClaimClient(
            host=cfg.host_id, placement=placement, links=self.links, pool=self.sequencers
        )
