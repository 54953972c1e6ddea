"""Messages between routers, sent as UDP datagrams.

A beacon holds the full state of its sender, so that lost, duplicate and late ones do no
harm: the newest of a sender's incarnation applies. Heartbeats between beacons only show
that the sender is alive, and deltas report fast-changing state at once.
"""

from msgspec import Struct

from chicorylead.outcome.poison_notice import PoisonNotice

__all__ = [
    "Beacon",
    "Heartbeat",
    "RelayedDatagram",
    "SendReport",
    "StateDelta",
    "UsageReport",
    "WorkReport",
]


class WorkReport(Struct, frozen=True, array_like=True):
    """Work of the sender at one upstream.

    Attributes:
        sent_tokens: Prompt tokens sent there in total.
        pending_tokens: Prompt tokens of requests that still wait for the first event.
        held_tokens: Tokens that its requests hold in memory there.
        n_requests: Its requests in flight there.
    """

    upstream: str
    sent_tokens: int
    pending_tokens: int
    held_tokens: int
    n_requests: int


class UsageReport(Struct, frozen=True, array_like=True):
    """Usage of an organisation at a pool, at the sender within the window."""

    pool: str
    organisation: str
    asked: int
    admitted: int


class SendReport(Struct, frozen=True, array_like=True):
    """Prompts that the sender sent to one upstream.

    Attributes:
        work: Its current work there.
        parts: Ids of the shared parts of the prompts since the last report, with their
            lengths in tokens.
    """

    work: WorkReport
    parts: list[tuple[bytes, int]]


class StateDelta(Struct, frozen=True, array_like=True, tag="s"):
    """Changes of a router's work and usage.

    Attributes:
        reports: Work at the upstreams that were sent prompts.
        usage: Usage that changed recently, per organisation and pool.
    """

    incarnation: int
    reports: list[SendReport]
    usage: list[UsageReport] = []


class Heartbeat(Struct, frozen=True, array_like=True, tag="p"):
    """Sent between beacons to show that the sender is alive.

    Attributes:
        end_offsets: End offset known to it of each stream, in the order of `Stream`.
    """

    incarnation: int
    sequence: int
    end_offsets: tuple[int, int]


class RelayedDatagram(Struct, frozen=True, array_like=True, tag="r"):
    """A datagram to all routers of a zone, forwarded by one of them.

    Attributes:
        origin: IP address of the router that created it.
        data: The datagram.
        is_final: Whether the receiver must not forward it.
    """

    origin: str
    data: bytes
    is_final: bool


class Beacon(Struct, frozen=True, array_like=True, tag="b"):
    """State of a router.

    Attributes:
        host: IP address at which the sender receives datagrams.
        incarnation: Differs at each start of the sender.
        sequence: Increases with each beacon or heartbeat.
        callers: Address for callers.
        control: Address at which peers fetch records.
        is_ready: Whether callers may use it.
        end_offsets: End offset known to it of each stream, in the order of `Stream`.
        peers: IP addresses of its live peers.
        suspects: Requests under which upstreams crashed.
    """

    id: str
    host: str
    incarnation: int
    sequence: int
    zone: str
    callers: str
    control: str
    is_ready: bool
    end_offsets: tuple[int, int]
    work: list[WorkReport]
    usage: list[UsageReport]
    peers: list[str]
    suspects: list[PoisonNotice] = []
