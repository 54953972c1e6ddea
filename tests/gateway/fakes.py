"""Fake store, upstream and caller for tests of a gateway."""

import asyncio
import base64
import math
import os
import socket
import struct
from collections.abc import Awaitable, Callable, Collection
from dataclasses import dataclass, field, replace
from random import Random, SystemRandom

import msgspec
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route, Router

from chicorylead.gateway.app import Gateway
from chicorylead.gateway.follower import StreamFollower
from chicorylead.gateway.settings import Bounds, GatewaySettings
from chicorylead.http_server import HttpServer
from chicorylead.ids import RouterId, ZoneName
from chicorylead.logs import EventLog
from chicorylead.metrics import Metrics
from chicorylead.outcome.crash_news import CrashNews, CrashReport
from chicorylead.outcome.poison_notice import PoisonNotice
from chicorylead.peer.datagram import (
    Beacon,
    ColdReport,
    Heartbeat,
    NoticeReport,
    Presence,
    StateDelta,
    UsageReport,
)
from chicorylead.peer.membership import Peer
from chicorylead.platform.configuration import revision_of_configuration
from chicorylead.traffic.stream import KnownRecords, RecordStream, Stream

__all__ = [
    "INCARNATION",
    "FakeRouter",
    "FakeStore",
    "FakeUpstream",
    "ReceivedRequest",
    "call",
    "configuration",
    "registry_entry",
    "free_ports",
    "make_follower",
    "make_gateway",
    "presence_of",
    "encode_request",
    "sealed_response",
]

# Nanoseconds: the routers start long after the upstreams, which are born at 1 s.
INCARNATION = 10**15
HOST = "phrases.example"
KEY = "key-of-north"


# Below the ephemeral range, from which the system serves connections and port 0.
PORTS = range(15_000, 30_000)
N_PORT_SETS = 16  # more than the test processes of one run
HOSTS = ("127.0.0.1", "127.0.0.2", "127.0.0.3", "127.0.0.4")


def free_ports(n: int, taken: Collection[int] = ()) -> list[int]:
    """Return random ports that are free on all hosts, for TCP and UDP.

    Other test runs on the machine pick ports as well, so the choice is random, and
    test processes choose among different ones.

    Args:
        n: Number of ports.
        taken: Ports that were chosen before and on which nothing listens yet.
    """
    rng = SystemRandom()
    candidates = PORTS[os.getpid() % N_PORT_SETS :: N_PORT_SETS]
    ports: list[int] = []
    while len(ports) < n:
        port = rng.choice(candidates)
        if port not in ports and port not in taken and _is_free(port):
            ports.append(port)
    return ports


def _is_free(port: int) -> bool:
    for host in HOSTS:
        for socket_type in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
            with socket.socket(socket.AF_INET, socket_type) as sock:
                try:
                    sock.bind((host, port))
                except OSError:
                    return False
    return True


class FakeStore:
    """The platform's store in memory: keyed records by topic.

    Attributes:
        logs: Keys and values by topic; offsets are positions in the list.
        plain_logs: Records of the topics without keys.
        n_appends: Number of appends so far.
        era: Number of its histories; it rises with each return from a copy.
        is_silent: Whether calls that arrive, and those that wait, get no answer, also
            later.
    """

    def __init__(self) -> None:
        self.logs: dict[str, list[tuple[str, bytes]]] = {}
        self.plain_logs: dict[str, list[bytes]] = {}
        self._first: dict[str, int] = {}  # offset below which history is removed
        self.n_appends = 0
        self.era = 1
        self.is_down = False
        self.is_silent = False
        self.n_calls = 0
        self._changed = asyncio.Event()
        self._server = HttpServer(
            Router(
                [
                    Route("/api/log-newest", self._newest),
                    Route("/api/log-read", self._read),
                    Route("/api/log-append", self._append, methods=["POST"]),
                ]
            )
        )
        self.port = self._server.port

    async def start(self) -> None:
        await self._server.start()

    async def stop(self) -> None:
        await self._server.stop(0.1)

    def put(self, topic: str, key: str, value: object) -> None:
        """Append a record: bytes as they are, None to remove its key."""
        if value is None:
            value = b""
        data = value if isinstance(value, bytes) else msgspec.json.encode(value)
        self.logs.setdefault(topic, []).append((key, data))
        self._wake()

    def copy(self) -> dict[str, list[tuple[str, bytes]]]:
        """Return a copy of all records, from which the store may come back."""
        return {topic: list(log) for topic, log in self.logs.items()}

    def restore(self, copy: dict[str, list[tuple[str, bytes]]]) -> None:
        """Come back from a copy: later records are lost, offsets are given again."""
        self.logs.clear()
        self.logs.update({topic: list(log) for topic, log in copy.items()})
        self.plain_logs.clear()
        self._first.clear()
        self.era += 1
        self._wake()

    def compact(self) -> None:
        """Remove the history of all keyed topics; the newest records stay."""
        self._first = {topic: len(log) for topic, log in self.logs.items()}

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _hang(self) -> None:
        await asyncio.Event().wait()

    def _respond(self, body: bytes = b"", status: int = 200) -> Response:
        return Response(body, status, {"Store-Era": str(self.era)})

    async def _newest(self, req: Request) -> Response:
        self.n_calls += 1
        if self.is_silent:
            await self._hang()
        if self.is_down:
            return self._respond(status=503)
        log = self.logs.get(req.query_params["topic"], [])
        newest = {key: (n, value) for n, (key, value) in enumerate(log)}
        items = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": n}
            for key, (n, value) in newest.items()
            if value
        ]
        body = {"items": items, "hasMore": False, "endOffset": len(log)}
        return self._respond(msgspec.json.encode(body))

    async def _read(self, req: Request) -> Response:
        self.n_calls += 1
        if self.is_silent:
            await self._hang()
        if self.is_down:
            return self._respond(status=503)
        start, era = int(req.query_params["from"]), self.era
        topic = req.query_params["topic"]
        if not topic.startswith("keyed."):
            records = self.plain_logs.get(topic, [])
            if start > len(records):
                return self._respond(status=410)
            body = struct.pack(">QQ", len(records), 0)
            for data in records[start:]:
                body += struct.pack(">I", len(data)) + data
            return self._respond(body)
        if start < self._first.get(topic, 0):
            return self._respond(status=410)
        if len(self.logs.get(topic, [])) == start:
            wait_s = int(req.query_params.get("waitMs", "0")) / 1000
            try:
                async with asyncio.timeout(wait_s):
                    await self._changed.wait()
            except TimeoutError:
                pass
            if self.is_silent:
                await self._hang()
        log = self.logs.get(topic, [])
        if self.era != era or start > len(log):
            return self._respond(status=410)
        body = struct.pack(">QQ", len(log), 0)
        for key, value in log[start:]:
            data = bytes([len(key)]) + key.encode() + value
            body += struct.pack(">I", len(data)) + data
        return self._respond(body)

    async def _append(self, req: Request) -> Response:
        self.n_calls += 1
        body = await req.body()
        if self.is_silent:
            await self._hang()
        if self.is_down:
            return self._respond(status=503)
        self.n_appends += 1
        log = self.plain_logs.setdefault(req.query_params["topic"], [])
        offset = len(log)
        while body:
            (length,) = struct.unpack_from(">I", body)
            log.append(body[4 : 4 + length])
            body = body[4 + length :]
        answer = {"offset": offset, "endOffset": len(log)}
        return self._respond(msgspec.json.encode(answer))


@dataclass
class ReceivedRequest:
    """A request as an upstream received it."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    number: int


ResponseScript = Callable[[ReceivedRequest, asyncio.StreamWriter], Awaitable[None]]


@dataclass
class FakeUpstream:
    """A raw HTTP server that runs a script for each request."""

    script: ResponseScript
    received: list[ReceivedRequest] = field(default_factory=list)
    n_closed_by_router: int = 0
    port: int = 0

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                start_line, *lines = head[:-4].split("\r\n")
                method, target, _ = start_line.split(" ")
                pairs = [line.split(": ", 1) for line in lines]
                headers = {name.lower(): value for name, value in pairs}
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                got = ReceivedRequest(method, target, headers, body, len(self.received))
                self.received.append(got)
                await self.script(got, writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            self.n_closed_by_router += 1
        finally:
            writer.close()


def sealed_response(
    got: ReceivedRequest, body: bytes, status: str = "200 OK", request_id: str = ""
) -> bytes:
    """Return a complete response to a request, with its attempt id and a seal."""
    request_id = request_id or got.headers["chicorylead-attempt-id"]
    return (
        f"HTTP/1.1 {status}\r\nChicorylead-Attempt-Id: {request_id}\r\n"
        f"Chicorylead-Response-Seal: 1.2.3\r\nContent-Length: {len(body)}\r\n\r\n"
    ).encode() + body


def _route(name: str, prefix: str, kind: str, **fields: object) -> dict[str, object]:
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": prefix,
        "routeKind": kind,
        "timeoutMs": 3000,
        "goalMs": 400,
        "priority": 1,
        "service": "app",
        "maxAttempts": 2,
        "public": False,
        **fields,
    }


def configuration(version: int = 1) -> dict[str, object]:
    """Return a configuration in the platform's format."""
    return {
        "version": version,
        "routeTable": [
            _route("look", "/look/", "safe"),
            _route("publish", "/publish/", "unsafe", maxAttempts=1),
            _route("revise", "/revise/", "streaming", resumable=True),
            _route("chat", "/chat/", "streaming"),
        ],
        "services": [{"name": "app", "maxConns": 100}],
        "limits": {"maxBodyBytes": 4096},
        "tenants": [{"name": "north", "apiKeys": [KEY]}],
    }


def registry_entry(upstream: FakeUpstream, **fields: object) -> dict[str, object]:
    """Return the registry's entry of an upstream."""
    return {
        "service": "app",
        "address": f"127.0.0.1:{upstream.port}",
        "zone": "a",
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "seq": 1,
        "born": 1000,
        **fields,
    }


def make_gateway(store: FakeStore, ports: list[int], **changes: object) -> Gateway:
    """Return a gateway that listens on six free ports.

    Args:
        store: The store.
        ports: The ports.
        changes: Settings that differ.
    """
    addresses = [("127.0.0.1", port) for port in ports]
    callers, readiness, control, directory, peers, metrics = addresses
    cfg = GatewaySettings(
        id=RouterId("router-1"),
        zone=ZoneName("a"),
        region="r",
        callers=callers,
        readiness=readiness,
        control=control,
        directory=directory,
        peers=peers,
        metrics=metrics,
        seeds=(),
        store=("127.0.0.1", store.port),
        bounds=Bounds(shutdown_s=4.0),
    )
    cfg = replace(cfg, **changes)
    return Gateway(cfg, incarnation=INCARNATION, read_settings=lambda: cfg)


def make_follower(
    store: RecordStream | None, stream: Stream, **changes: object
) -> StreamFollower:
    """Return a follower that reads the store itself and checks nothing.

    Args:
        store: The store, or None if nothing is read.
        stream: The stream.
        changes: Arguments of `StreamFollower` that differ.
    """
    arguments = {
        "on_record": lambda record: None,
        "on_snapshot": lambda records: None,
        "must_read": lambda: True,
        "on_news": lambda: None,
        "revision": revision_of_configuration,
        "replaces": lambda record, is_later: not is_later,
        "on_era": lambda era: None,
        "check_due_s": lambda: math.inf,
        "log": EventLog(),
        "metrics": Metrics(),
        "rng": Random(1),
    }
    return StreamFollower(store, stream, **{**arguments, **changes})


async def call(
    port: int,
    path: str,
    method: str = "GET",
    body: bytes = b"",
    host_ip: str = "127.0.0.1",
    **headers: str,
) -> tuple[int, dict[str, str], bytes, bool]:
    """Send a request; return status, headers, body and whether the body is complete."""
    reader, writer = await asyncio.open_connection(host_ip, port)
    writer.write(encode_request(path, method, body, **headers))
    try:
        return await _read_response(reader)
    finally:
        writer.close()


def encode_request(
    path: str, method: str = "GET", body: bytes = b"", **headers: str
) -> bytes:
    """Return the bytes of a caller's request."""
    lines = {
        "host": HOST,
        "chicorylead-attempt-id": "req-1",
        "chicorylead-deadline-ms": "2000",
        "authorization": f"Token {KEY}",
        **{name.replace("_", "-"): value for name, value in headers.items()},
    }
    if body:
        lines["content-length"] = str(len(body))
    head = "".join(f"{name}: {value}\r\n" for name, value in lines.items())
    return f"{method} {path} HTTP/1.1\r\n{head}\r\n".encode() + body


async def _read_response(
    reader: asyncio.StreamReader,
) -> tuple[int, dict[str, str], bytes, bool]:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    start_line, *lines = head[:-4].split("\r\n")
    headers = dict(line.lower().split(": ", 1) for line in lines)
    status = int(start_line.split(" ")[1])
    body = b""
    try:
        if headers.get("transfer-encoding") == "chunked":
            while size := int(await reader.readuntil(b"\r\n"), 16):
                body += (await reader.readexactly(size + 2))[:-2]
            await reader.readuntil(b"\r\n")
        else:
            body = await reader.readexactly(int(headers.get("content-length", 0)))
    except asyncio.IncompleteReadError:
        return status, headers, body, False
    return status, headers, body, True


class FakeRouter:
    """A `LocalRouter` that records what it is told of its peers.

    Attributes:
        beacons: Beacons of peers.
        deltas: Ids of peers, with their deltas.
        heartbeats: Heartbeats of peers.
        dropped: Ids of lost peers.
        serving: Ids of the routers that callers are told to use; None for all.
        has_reports: Whether this router has state to send.
        crashes: Crashes that this router knows of.
        suspects: Requests that it knows upstreams crashed under.
        crash_news: Ids of peers, with their news of crashes.
        notices: What upstreams stated in answers to this router.
        streams: Ids of peers, with the streams that they began.
        notice_reports: Ids of peers, with what upstreams stated in answers to them.
        presence: Its presence, but for the sequence number and the peers.
    """

    def __init__(self, presence: Presence) -> None:
        self.presence = presence
        self.beacons: list[Beacon] = []
        self.deltas: list[tuple[str, StateDelta]] = []
        self.heartbeats: list[Heartbeat] = []
        self.dropped: list[str] = []
        self.serving: set[str] | None = None
        self.has_reports = True
        self.crashes: list[CrashReport] = []
        self.suspects: list[PoisonNotice] = []
        self.crash_news: list[tuple[str, CrashNews]] = []
        self.notices: list[NoticeReport] = []
        self.streams: list[tuple[object, str]] = []
        self.notice_reports: list[tuple[str, list[NoticeReport]]] = []

    def make_presence(self, sequence: int, peers: list[str]) -> Presence:
        return msgspec.structs.replace(self.presence, sequence=sequence, peers=peers)

    def make_beacon(self, presence: Presence) -> Beacon:
        return Beacon(presence, [], [])

    def known_records(self) -> KnownRecords:
        return self.presence.known

    def records_age_s(self) -> float:
        return 0.0

    def pop_changed_usage(self) -> list[UsageReport]:
        return [UsageReport("engines", "o", 20, 10)]

    def pop_answered_parts(self) -> list[bytes]:
        return []

    def make_crash_news(self) -> CrashNews:
        return CrashNews(self.presence.incarnation, self.crashes, [], [], self.suspects)

    def known_crashes(self) -> CrashNews:
        return self.make_crash_news()

    def apply_crash_news(self, peer: str, news: CrashNews) -> None:
        self.crash_news.append((peer, news))

    def news_of_notices(self) -> list[NoticeReport]:
        return self.notices

    def current_notices(self) -> list[NoticeReport]:
        return self.notices

    def apply_notices(self, peer: str, reports: list[NoticeReport]) -> None:
        self.notice_reports.append((peer, reports))

    def refresh_claims(self) -> None:
        pass

    def make_claims(self, is_broadcast: bool) -> list[str]:
        return []

    def claimants(self) -> Collection[str]:
        return ()

    def has_new_claim(self) -> bool:
        return False

    def cold_reports(self) -> list[ColdReport]:
        return []

    def apply_claims(
        self, peer: str, claims: list[str], cold: list[ColdReport]
    ) -> None:
        pass

    def handle_streams(self, message: object, sender: str) -> None:
        self.streams.append((message, sender))

    def is_serving(self, peer: Peer) -> bool:
        return self.serving is None or peer.presence.id in self.serving

    def has_state(self) -> bool:
        return self.has_reports

    def apply_beacon(self, beacon: Beacon) -> None:
        self.beacons.append(beacon)

    def apply_delta(self, peer: str, delta: StateDelta) -> None:
        self.deltas.append((peer, delta))

    def apply_heartbeat(self, heartbeat: Heartbeat) -> None:
        self.heartbeats.append(heartbeat)

    def drop_peer(self, peer: str) -> None:
        self.dropped.append(peer)


def presence_of(
    host: str, zone: str = "a", incarnation: int = 1, sequence: int = 1, **fields
) -> Presence:
    """Return the presence of a router whose id is its IP address."""
    presence = Presence(
        id=host,
        host=host,
        incarnation=incarnation,
        sequence=sequence,
        zone=zone,
        callers=f"{host}:80",
        control=f"{host}:81",
        cores=1.0,
        is_ready=True,
        requests_per_s=0.0,
        known=KnownRecords(0, 0, 0),
        peers=[],
    )
    return msgspec.structs.replace(presence, **fields)
