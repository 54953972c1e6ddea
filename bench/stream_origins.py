"""Measure what it costs a router to remember streams for others, at several sizes.

`python -m bench.stream_origins` prints the bytes and the processor time of a stream
that begins, and of a change of the routers, with datagrams over loopback sockets.
"""

import asyncio
import sys
from collections.abc import Collection
from time import process_time

import msgspec
import uvloop

from chicorylead.gateway.stream_witnesses import (
    MAX_RING_AGE_S,
    StreamMessage,
    StreamWitnesses,
)
from chicorylead.ids import ZoneName
from chicorylead.metrics import Metrics
from chicorylead.outcome.stream_origins import StreamOrigins, origin_mark, stream_key
from chicorylead.peer.datagram import (
    BegunStreams,
    Presence,
    StreamAnswer,
    StreamQuestion,
)
from chicorylead.peer.membership import Peer
from chicorylead.traffic.stream import KnownRecords
from chicorylead.vm.heard_routers import HeardRouters
from chicorylead.vm.witnesses import Witness, WitnessRing

__all__ = ["main"]

FLEET_SIZES = (4, 30, 100, 300, 520)
N_ZONES = 17
N_STREAMS = 5_000
BATCH = 50  # fewer than the buffer of a socket holds
HOST = "127.0.0.1"
MARK = origin_mark("engines", "v1")
# At the target: streams that begin a second, and those that a router has under way.
STREAMS_PER_S = 19_000
OPEN_STREAMS = 400


class _Receiver(asyncio.DatagramProtocol):
    """Decodes messages and hands them to a router."""

    def __init__(self, witnesses: StreamWitnesses) -> None:
        self._witnesses = witnesses
        self._decoder = msgspec.msgpack.Decoder(
            BegunStreams | StreamQuestion | StreamAnswer
        )
        self.n_received = 0

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Handle a message."""
        self.n_received += 1
        self._witnesses.handle(self._decoder.decode(data), addr[0])


def _peers(n: int) -> list[Peer]:
    return [
        Peer(
            Presence(
                id=f"r{i}",
                host=f"10.{i % N_ZONES}.{i // 250}.{i % 250}",
                incarnation=1,
                sequence=1,
                zone=ZoneName(f"z{i % N_ZONES}"),
                callers="",
                control="",
                cores=1.0,
                is_ready=True,
                requests_per_s=0.0,
                known=KnownRecords(0, 0, 0),
                peers=[],
            ),
            0.0,
        )
        for i in range(n)
    ]


async def _measure(n_routers: int) -> dict[str, float]:
    loop = asyncio.get_running_loop()
    receiving = StreamWitnesses(
        StreamOrigins(loop.time),
        list,
        lambda: HeardRouters(0, 0),
        lambda hosts, message: None,
        loop.time,
        Metrics(),
    )
    receiver = _Receiver(receiving)
    transport, _ = await loop.create_datagram_endpoint(
        lambda: receiver, local_addr=(HOST, 0)
    )
    address = transport.get_extra_info("sockname")
    sender, _ = await loop.create_datagram_endpoint(
        asyncio.DatagramProtocol, remote_addr=address
    )
    encoder = msgspec.msgpack.Encoder()
    n_bytes = 0

    def send(hosts: Collection[str], message: StreamMessage) -> None:
        nonlocal n_bytes
        data = encoder.encode(message)
        n_bytes += len(data) * len(hosts)
        for _ in hosts:
            sender.sendto(data)

    peers = _peers(n_routers - 1)
    origins = StreamOrigins(loop.time)
    witnesses = StreamWitnesses(
        origins, lambda: peers, lambda: HeardRouters(0, 0), send, loop.time, Metrics()
    )
    tell_s = learn_s = 0.0
    for first in range(0, N_STREAMS, BATCH):
        began = process_time()
        for number in range(first, first + BATCH):
            key = stream_key("north", f"{number:016x}")
            origins.record(key, MARK, "own")
            witnesses.tell(key, MARK)
        told = process_time()
        await asyncio.sleep(0.002)
        tell_s += told - began
        learn_s += process_time() - told
    bytes_per_stream = n_bytes / N_STREAMS
    streams = {stream_key("north", f"{n:016x}"): MARK for n in range(OPEN_STREAMS)}
    witnesses.tell_new_witnesses(streams)
    began = process_time()
    WitnessRing(Witness(p.presence.host, 1, p.presence.zone) for p in peers)
    ring_ms = 1000 * (process_time() - began)
    peers = peers[:-1]
    await asyncio.sleep(1.5 * MAX_RING_AGE_S)
    began = process_time()
    witnesses.tell_new_witnesses(streams)
    change_ms = 1000 * (process_time() - began)
    await asyncio.sleep(0.01)
    transport.close()
    sender.close()
    per_router = STREAMS_PER_S / 520
    return {
        "bytes_per_stream": bytes_per_stream,
        "bytes_per_s_at_target": bytes_per_stream * per_router,
        "tell_us": 1e6 * tell_s / N_STREAMS,
        "learn_us": 1e6 * learn_s / max(1, receiver.n_received),
        "ring_ms": ring_ms,
        "change_ms": change_ms,
    }


def main() -> int:
    """Measure each size and print a line for it."""
    for n_routers in FLEET_SIZES:
        figures = asyncio.run(_measure(n_routers))
        line = " ".join(f"{name}={value:.3g}" for name, value in figures.items())
        sys.stdout.write(f"n_routers={n_routers} {line}\n")
    return 0


if __name__ == "__main__":
    uvloop.install()
    sys.exit(main())
