"""Decodes the entries by which upstreams register in the platform's store.

Other writers may put entries there as well. Whatever an entry names is checked here,
before it gets into connections, headers or messages.
"""

import re
from typing import Literal

from msgspec import Struct

from chicorylead.decoding import (
    Count,
    PositiveCount,
    decode_json,
    non_negative_number,
)
from chicorylead.ids import ServiceName, SoftwareVersion, UpstreamId, ZoneName
from chicorylead.traffic.stream import StreamRecord
from chicorylead.upstream.registered import ListedState, RegisteredUpstream

__all__ = ["decode_upstream", "revision_of_upstream"]

MAX_COLD_MS = 86_400_000.0  # a day; a longer time is an error of its writer
MAX_SHOWN = 80  # characters of a wrong value
MAX_NAME = 255  # characters
_HEADER_VALUE = re.compile(r"[!-~]+")
_OCTET = r"(0|[1-9][0-9]{0,2})"
_ADDRESS = re.compile(rf"{_OCTET}\.{_OCTET}\.{_OCTET}\.{_OCTET}:([0-9]{{1,5}})")
MAX_UNICAST = 223  # first octet of the last addresses that are of a single machine


class _Entry(Struct, rename="camel", frozen=True):
    """Fields of an entry; unknown ones are ignored."""

    service: str
    address: str
    zone: str
    version: str
    slots: PositiveCount
    state: Literal["ready", "draining"]
    seq: Count
    # Wall-clock time at which this incarnation started, milliseconds.
    born: Count = 0
    # Time for which it stays cold. An invalid one does not make the entry useless.
    cold_left_ms: object = None


def revision_of_upstream(record: StreamRecord) -> tuple[int, ...] | None:
    """Return start and sequence of an entry; None if it names no upstream.

    Otherwise what another writer puts under the id of an upstream could outrank all
    that this writes afterwards.
    """
    try:
        entry = decode_upstream(record.key, record.value or b"")
    except ValueError:
        return None
    return entry.born_ms, entry.sequence


def decode_upstream(key: str, data: bytes) -> RegisteredUpstream:
    """Decode an entry.

    Args:
        key: Id of the upstream, which the entry itself does not contain.
        data: Value of the record.

    Raises:
        ValueError: The entry does not describe a usable upstream.
    """
    entry = decode_json(data, _Entry)
    _check_name("id", key)
    _check_name("service", entry.service)
    _check_name("zone", entry.zone)
    _check_name("version", entry.version)
    if not _HEADER_VALUE.fullmatch(key):
        raise ValueError(f"id {_shown(key)} cannot be sent in a header")
    host, port = _decode_address(entry.address)
    cold_ms = non_negative_number(entry.cold_left_ms, MAX_COLD_MS)
    is_invalid = cold_ms is None and entry.cold_left_ms is not None
    return RegisteredUpstream(
        id=UpstreamId(key),
        service=ServiceName(entry.service),
        host=host,
        port=port,
        zone=ZoneName(entry.zone),
        version=SoftwareVersion(entry.version),
        n_slots=entry.slots,
        state=ListedState.READY if entry.state == "ready" else ListedState.LEAVING,
        born_ms=entry.born,
        sequence=entry.seq,
        cold_left_s=None if cold_ms is None else cold_ms / 1000,
        fault=f"coldLeftMs {_shown(entry.cold_left_ms)}" if is_invalid else "",
    )


def _check_name(field: str, name: str) -> None:
    if not name.isprintable() or not 0 < len(name) <= MAX_NAME:
        raise ValueError(f"{field} {_shown(name)} is no name")


def _decode_address(address: str) -> tuple[str, int]:
    """Return host and port of an address to which connections can be made.

    Raises:
        ValueError: It is none.
    """
    # A name would need a look-up, which the network does not have.
    match = _ADDRESS.fullmatch(address)
    if match is None:
        raise ValueError(f"address {_shown(address)} is no IPv4 address and port")
    first, *octets, port = map(int, match.groups())
    # Connecting to the unspecified address reaches this machine.
    if not 0 < first <= MAX_UNICAST or max(octets) > 255:
        raise ValueError(f"address {_shown(address)} is of no single machine")
    if not 0 < port < 65536:
        raise ValueError(f"address {_shown(address)} has no valid port")
    return address[: address.rindex(":")], port


def _shown(value: object) -> str:
    return repr(value)[:MAX_SHOWN]
