"""The protocol between cassiawalk's own processes."""

from cassiawalk.peer.links import PeerFailure as PeerFailure
from cassiawalk.peer.links import PeerLinks as PeerLinks
from cassiawalk.peer.messages import AttachCall as AttachCall
from cassiawalk.peer.messages import CancelCall as CancelCall
from cassiawalk.peer.messages import LocateCall as LocateCall
from cassiawalk.peer.messages import LocateReply as LocateReply
from cassiawalk.peer.messages import NodeStatusCall as NodeStatusCall
from cassiawalk.peer.messages import NodeStatusReply as NodeStatusReply
from cassiawalk.peer.messages import OnceCall as OnceCall
from cassiawalk.peer.messages import OnceReply as OnceReply
from cassiawalk.peer.messages import PeerFault as PeerFault
from cassiawalk.peer.messages import StreamPart as StreamPart
from cassiawalk.peer.messages import messages as messages
from cassiawalk.peer.server import PeerServer as PeerServer
