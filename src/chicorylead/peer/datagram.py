"""Messages between routers, sent as UDP datagrams.

A beacon holds the full state of its sender, so that lost, duplicate and late ones do no
harm: the newest of a sender's incarnation applies. Presences tell which routers exist,
heartbeats that their sender is alive, and deltas report fast-changing state at once.
"""

from msgspec import Struct

from chicorylead.outcome.crash_news import CrashReport
from chicorylead.outcome.poison_notice import PoisonNotice
from chicorylead.traffic.stream import KnownOperatorRecords, KnownRecords

__all__ = [
    "Beacon",
    "BegunStreams",
    "ColdReport",
    "Heartbeat",
    "NoticeReport",
    "NoticeReports",
    "Presence",
    "RelayedDatagram",
    "SendReport",
    "StateDelta",
    "StreamAnswer",
    "StreamQuestion",
    "Suspicion",
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
        n_sent: Requests sent to this incarnation in total.
    """

    upstream: str
    sent_tokens: int
    pending_tokens: int
    held_tokens: int
    n_requests: int
    n_sent: int = 0


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
        parts: Ids of the parts of the prompts since the last report, with their lengths
            in tokens. Parts that no other prompt shares count as well: they displace
            others from the prefix cache.
    """

    work: WorkReport
    parts: list[tuple[bytes, int]]


class NoticeReport(Struct, frozen=True, array_like=True):
    """What an upstream stated in an answer about the work that it takes.

    Attributes:
        born_ms: Wall-clock time of its start, milliseconds.
        limit_per_s: Requests a second that it takes from all routers together; None if
            it names no limit.
        has_limit_statement: Whether the answer told if there is a limit.
        is_leaving: Whether it will stop soon.
        pause_ms: Time for which it wanted no more requests from the sender,
            milliseconds.
        sent_age_ms: Time since the request was sent, milliseconds.
        age_ms: Time since the answer began, milliseconds.
    """

    upstream: str
    born_ms: int
    limit_per_s: float | None
    has_limit_statement: bool
    is_leaving: bool
    pause_ms: int
    sent_age_ms: int
    age_ms: int


class ColdReport(Struct, frozen=True, array_like=True):
    """What the sender has observed of an upstream that may be cold.

    Attributes:
        born_ms: Wall-clock time of its start by its entry, milliseconds.
        left_ms: Time for which it stays cold, at the time of sending, milliseconds; 0
            if it is not cold.
        age_ms: Time since that was observed, milliseconds.
    """

    upstream: str
    born_ms: int
    left_ms: int
    age_ms: int


class NoticeReports(Struct, frozen=True, array_like=True, tag="n"):
    """What upstreams stated in answers to one router, and which ones it may use.

    Attributes:
        claims: Services whose cold upstreams the sender has requests for.
        cold: What it has observed of upstreams that started again.
    """

    incarnation: int
    notices: list[NoticeReport]
    claims: list[str] = []
    cold: list[ColdReport] = []


class BegunStreams(Struct, frozen=True, array_like=True, tag="w"):
    """Tells a witness where streams began.

    It has neither an incarnation nor a sequence, as where a stream began does not
    change.

    Attributes:
        streams: Of each, its key and the mark of its origin
            (`chicorylead.outcome.stream_origins`), one after the other.
    """

    streams: list[bytes]


class StreamQuestion(Struct, frozen=True, array_like=True, tag="k"):
    """Asks where streams began.

    Attributes:
        keys: Keys of the streams.
    """

    keys: list[bytes]


class StreamAnswer(Struct, frozen=True, array_like=True, tag="a"):
    """Answers a question.

    Attributes:
        streams: Those that the sender knows, as in `BegunStreams`.
        unknown: Keys of those that it does not know for sure.
    """

    streams: list[bytes]
    unknown: list[bytes]


class StateDelta(Struct, frozen=True, array_like=True, tag="s"):
    """Changes of a router's work and usage.

    Attributes:
        reports: Work at the upstreams that were sent prompts.
        usage: Usage that changed recently, per organisation and pool.
        answered: Ids of shared prompt parts that engines answer, new to the sender.
    """

    incarnation: int
    reports: list[SendReport]
    usage: list[UsageReport] = []
    answered: list[bytes] = []


class Heartbeat(Struct, frozen=True, array_like=True, tag="p"):
    """Shows that its sender is alive.

    Attributes:
        known: How far it knows the streams, in three numbers, as an earlier release
            decodes no more.
        records_age_ms: Time since its records were known to be current, milliseconds.
        wants_reply: Whether the receiver is to answer with a heartbeat at once.
        operator: How far it knows the operator's records; None if that has not changed
            lately, and from an earlier release.
    """

    incarnation: int
    sequence: int
    known: KnownRecords
    records_age_ms: int
    wants_reply: bool = False
    operator: KnownOperatorRecords | None = None

    @property
    def records(self) -> KnownRecords:
        """Return how far the sender knows all streams."""
        return _join(self.known, self.operator)


class Suspicion(Struct, frozen=True, array_like=True, tag="q"):
    """Asks all routers to check whether one of them is lost.

    Attributes:
        host: IP address of the router that fell silent.
        incarnation: Its last known incarnation.
    """

    host: str
    incarnation: int


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


class Presence(Struct, frozen=True, array_like=True, tag="h"):
    """Tells that a router exists, and what it is.

    Attributes:
        host: IP address at which the sender receives datagrams.
        incarnation: Differs at each start of the sender.
        sequence: Increases with each datagram of the sender that carries one.
        callers: Address for callers.
        control: Address at which peers fetch records.
        cores: Processor capacity of its VM, cores.
        is_ready: Whether callers may use it.
        requests_per_s: Rate of requests that arrive at it.
        known: How far it knows the streams, in three numbers, as an earlier release
            decodes no more.
        peers: IP addresses of live peers; all of them in a reply, else a few.
        wants_reply: Whether the receiver is to answer with its own presence.
        operator: How far it knows the operator's records; None if it is left out, and
            from an earlier release.
        region: Region of its VM; empty if it is left out, and from an earlier release.
    """

    id: str
    host: str
    incarnation: int
    sequence: int
    zone: str
    callers: str
    control: str
    cores: float
    is_ready: bool
    requests_per_s: float
    known: KnownRecords
    peers: list[str]
    wants_reply: bool = False
    operator: KnownOperatorRecords | None = None
    region: str = ""

    @property
    def records(self) -> KnownRecords:
        """Return how far the sender knows all streams."""
        return _join(self.known, self.operator)


class Beacon(Struct, frozen=True, array_like=True, tag="b"):
    """State of a router.

    Attributes:
        work: Work at the upstreams to which it has sent requests.
        usage: Usage of organisations, per pool.
        suspects: Requests under which upstreams crashed.
        crashes: Crashes, with the prompt parts that may have caused them.
    """

    presence: Presence
    work: list[WorkReport]
    usage: list[UsageReport]
    suspects: list[PoisonNotice] = []
    crashes: list[CrashReport] = []


def _join(known: KnownRecords, operator: KnownOperatorRecords | None) -> KnownRecords:
    return known if operator is None else known._replace(operator=operator)
