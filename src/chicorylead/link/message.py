"""Messages between routers, their encoding and their authentication.

A message is a keyed digest followed by MessagePack. All quantities are integers:
demand in slots, service in cost units, water levels in hundredths of a slot.
"""

import hmac
from hashlib import blake2b

import msgspec
from msgspec import Struct

from chicorylead.ids import Incarnation, Offset, RouterId, UpstreamId
from chicorylead.outcome.poison_notice import PoisonNotice
from chicorylead.records.store import VersionedRecord
from chicorylead.vm.view import MemberNotice

__all__ = [
    "BadMessage",
    "Codec",
    "OrganisationSums",
    "FleetReport",
    "Envelope",
    "Notice",
    "FleetPoolReport",
    "SubtreePoolReport",
    "Probe",
    "OrganisationTotals",
    "RecordsAnswer",
    "RecordsQuery",
    "RouterNotice",
    "SubtreeReport",
    "UpstreamNotice",
]

MAC_BYTES = 12
MAX_MESSAGE_BYTES = 1_000_000
OrganisationSums = tuple[int, int, int]
OrganisationTotals = tuple[int, int, int, int]


class BadMessage(Exception):
    """Message that is not signed with the key or cannot be decoded."""


class UpstreamNotice(Struct, frozen=True, array_like=True, tag="u"):
    """Notice that an upstream is leaving."""

    upstream: UpstreamId


class RouterNotice(Struct, frozen=True, array_like=True, tag="r"):
    """Notice of the state of a router."""

    member: MemberNotice


Notice = UpstreamNotice | PoisonNotice | RouterNotice


class SubtreePoolReport(Struct, frozen=True, array_like=True):
    """Section of a report to the parent about one pool.

    Attributes:
        n_routers: Routers that the sums cover.
        organisations: Demand, service and outstanding cost of requests in flight, by
            organisation number; sums over the sender and all routers below it.
    """

    n_routers: int
    organisations: dict[int, OrganisationSums]


class FleetPoolReport(Struct, frozen=True, array_like=True):
    """Section of a report to a child about one pool.

    Attributes:
        level: Water level of the pool, in hundredths of a slot per unit of share;
            -1 when all demand fits.
        n_slots: Slots of the pool, in hundredths.
        demand: Demand over the whole fleet, in slots.
        n_routers: Routers that the sums cover.
        organisations: Demand, service, outstanding cost and share factor in percent,
            over the whole fleet, of the organisations that the child reported.
    """

    level: int
    n_slots: int
    demand: int
    n_routers: int
    organisations: dict[int, OrganisationTotals]


class SubtreeReport(Struct, frozen=True, array_like=True, tag="up"):
    """Report of a subtree to its parent; also serves as a heartbeat.

    Attributes:
        link: Address on which the sender receives messages; empty when the platform's
            list contains it.
        acked_sequence: Sequence number of the last message from the parent, so that
            the parent detects that its own connection no longer delivers.
        config: Highest offset of configuration in force at the sender.
        pools: Sums by service.
        notices: Notices passed on.
    """

    link: str
    acked_sequence: int
    config: Offset
    pools: dict[str, SubtreePoolReport]
    notices: list[Notice]


class FleetReport(Struct, frozen=True, array_like=True, tag="down"):
    """Report of the whole fleet to a child; also serves as a heartbeat.

    Attributes:
        root: Router that computed the totals.
        root_incarnation: Incarnation of that router.
        depth: Links between the sender and the root.
        period_ms: Time between reports on this path, milliseconds.
        config: Highest offset of configuration in force at the sender.
        pools: Totals by service.
        notices: Notices passed on.
    """

    root: RouterId
    root_incarnation: Incarnation
    depth: int
    period_ms: int
    config: Offset
    pools: dict[str, FleetPoolReport]
    notices: list[Notice]


class Probe(Struct, frozen=True, array_like=True, tag="probe"):
    """Message to a router that is listed but considered gone."""

    link: str
    notices: list[Notice]


class RecordsQuery(Struct, frozen=True, array_like=True, tag="rq"):
    """Query for configuration above an offset."""

    link: str
    after: Offset


class RecordsAnswer(Struct, frozen=True, array_like=True, tag="ra"):
    """Configuration above an offset.

    Attributes:
        covered: Log offset up to which the records are complete.
        complete: Whether the sender holds a complete state.
    """

    covered: Offset
    complete: bool
    records: list[VersionedRecord]


Payload = SubtreeReport | FleetReport | Probe | RecordsQuery | RecordsAnswer


class Envelope(Struct, frozen=True, array_like=True):
    """Header and payload of a message.

    Attributes:
        sequence: Sequence number, increasing within one incarnation.
    """

    sender: RouterId
    incarnation: Incarnation
    sequence: int
    payload: Payload


class Codec:
    """Encodes and signs messages, and verifies and decodes them.

    Args:
        key: Secret shared by all routers.
    """

    def __init__(self, key: str) -> None:
        self._key = blake2b(key.encode(), digest_size=32).digest()
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(Envelope)

    def encode(self, envelope: Envelope) -> bytes:
        """Return the signed encoding of a message."""
        body = self._encoder.encode(envelope)
        return self._mac(body) + body

    def decode(self, data: bytes) -> Envelope:
        """Verify and decode a signed message.

        Raises:
            BadMessage: The length, the signature or the encoding is invalid.
        """
        if not MAC_BYTES < len(data) <= MAX_MESSAGE_BYTES:
            raise BadMessage(f"invalid length: {len(data)} bytes")
        mac, body = data[:MAC_BYTES], data[MAC_BYTES:]
        if not hmac.compare_digest(mac, self._mac(body)):
            raise BadMessage("invalid signature")
        try:
            return self._decoder.decode(body)
        except (msgspec.DecodeError, RecursionError) as exc:
            raise BadMessage(str(exc)) from exc

    def _mac(self, body: bytes) -> bytes:
        return blake2b(body, digest_size=MAC_BYTES, key=self._key).digest()
