"""The platform as a source of persistent data: its streams, their decoders and its duties."""

import collections.abc as cabc
import dataclasses

from cassiawalk.clients import KeyedLog
from cassiawalk.clients import KeyedRecord
from cassiawalk.clients import LogService
from cassiawalk.duties import DutyApi
from cassiawalk.rollouts.types import RolloutOrder
from cassiawalk.rollouts.types import RolloutState
from cassiawalk.storeview.followers import ConfigDecoder
from cassiawalk.storeview.followers import RegistrationDecoder
from cassiawalk.storeview.inquiry import UpstreamInquiry


@dataclasses.dataclass(frozen=True, kw_only=True)
class RolloutSource:
    """Where rollouts are ordered, and where their states are kept.

    :param state_stream: a stream of our own, with the state of each service's last rollout.
    :param status_stream: the stream that the platform reads.
    :param decode_order: returns the order in a record of the configuration's stream, read at a
        corrected time; None if it holds none.
    :param encode_status: returns the key and the value of a status record.
    """

    state_stream: str
    status_stream: str
    decode_order: cabc.Callable[[KeyedRecord, float], RolloutOrder | None]
    encode_status: cabc.Callable[[RolloutState], tuple[str, bytes]]


@dataclasses.dataclass(frozen=True, kw_only=True)
class PlatformSource:
    """The platform's services, behind interfaces of this package.

    :param records: the log of keyed records, with configuration, upstreams, hosts and
        suspect requests.
    :param log: the log service, for the leases of duties and the usage records.
    :param duties: the interface of the duties, or None on a platform without duties.
    :param inquiry: asks upstreams for their state.
    :param config_key: the key of the configuration's record in ``config_stream``.
    :param rollouts: None on a platform without rollouts.
    """

    records: KeyedLog
    log: LogService
    duties: DutyApi | None
    config_stream: str
    config_key: str
    upstream_stream: str
    host_stream: str
    suspect_stream: str
    inquiry: UpstreamInquiry
    decode_config: ConfigDecoder
    decode_registration: RegistrationDecoder
    rollouts: RolloutSource | None = None
