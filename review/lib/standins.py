"""Stand-ins of the platform, runners and callers for the review's scripts.

They use the standard library only. Each case starts the project's own gateway with the
command of the deploy file and talks to it over loopback addresses.
"""

import asyncio
import base64
import contextlib
import json
import os
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from pathlib import Path

REPO = Path(__file__).resolve().parents[2]
HOST = "orders.example"
KEY = "key-of-north"
HEARTBEAT_S = 1.2
BOUNDS = {
    "stableMs": 3000,
    "drainMs": 2000,
    "graceS": 8,
    "configApplyMs": 2000,
    "retryRatio": 0.2,
    "retryWindowS": 10,
    "retrySlack": 56,
    "quotaWindowS": 4,
    "ttl_max_s": 5,
}


class CannotRun(Exception):
    """The case could not be set up."""


class Record:
    """What was sent, answered and run, with the time since the start."""

    def __init__(self, path):
        self._file = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o644)
        self._began = time.monotonic()

    def now(self):
        """Return the time since the start, seconds."""
        return time.monotonic() - self._began

    def line(self, event, **fields):
        """Write one line."""
        text = " ".join(f"{key}={value}" for key, value in fields.items())
        os.write(self._file, f"{self.now():8.3f} {event} {text}\n".encode())


# -- HTTP


async def read_message(reader):
    """Return the first line, headers (names in lower case) and body of a message."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head[:-4].split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            body += (await reader.readexactly(size + 2))[:-2]
        await reader.readuntil(b"\r\n")
    else:
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    return first, headers, body


class HttpStandin:
    """A server that calls `handle` for each request of each connection."""

    def __init__(self, host="127.0.0.1", port=0):
        self.host, self.port = host, port
        self._server = None
        self._writers = set()

    async def start(self):
        """Listen."""
        self._server = await asyncio.start_server(self._serve, self.host, self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self):
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                request = await read_message(reader)
                await self.handle(request, reader, writer)
                await writer.drain()
        except (OSError, EOFError, asyncio.LimitOverrunError, ValueError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def handle(self, request, reader, writer):
        """Answer one request."""
        raise NotImplementedError


def keyed(key, value):
    """Return the bytes of a record of a topic with keys."""
    data = bytes([len(key)]) + key.encode() + value
    return struct.pack(">I", len(data)) + data


class Store(HttpStandin):
    """The platform's store, as a log."""

    def __init__(self):
        super().__init__()
        self.logs = {}
        self._changed = asyncio.Event()

    def put(self, topic, key, value):
        """Append a record, as the operator or a runner does; None removes the key."""
        if value is None:
            value = b""
        elif not isinstance(value, bytes):
            value = json.dumps(value).encode()
        self.logs.setdefault(topic, []).append((key, value))
        self._changed.set()
        self._changed = asyncio.Event()

    async def handle(self, request, reader, writer):
        """Serve `log-newest`, `log-read` and `log-append`."""
        first, _, body = request
        _, target, _ = first.split(" ")
        path, _, query = target.partition("?")
        args = dict(item.partition("=")[::2] for item in query.split("&") if item)
        topic = args.get("topic", "")
        if path == "/api/log-newest":
            self._send(writer, self._newest(topic))
        elif path == "/api/log-read":
            await self._read(writer, topic, args)
        elif path == "/api/log-append":
            log = self.logs.setdefault(topic, [])
            offset = len(log)
            while body:
                (length,) = struct.unpack_from(">I", body)
                log.append((None, body[4 : 4 + length]))
                body = body[4 + length :]
            answer = {"offset": offset, "endOffset": len(log)}
            self._send(writer, json.dumps(answer).encode())
        else:
            self._send(writer, b"{}", 404)

    def _newest(self, topic):
        log = self.logs.get(topic, [])
        newest = {key: (n, value) for n, (key, value) in enumerate(log)}
        items = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": n}
            for key, (n, value) in newest.items()
            if value
        ]
        page = {"items": items, "hasMore": False, "endOffset": len(log)}
        return json.dumps(page).encode()

    async def _read(self, writer, topic, args):
        start = int(args["from"])
        if len(self.logs.get(topic, [])) == start:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(int(args.get("waitMs", 0)) / 1000):
                    while len(self.logs.get(topic, [])) == start:
                        await self._changed.wait()
        log = self.logs.get(topic, [])
        if start > len(log):
            self._send(writer, b'{"firstOffset":0}', 410)
            return
        body = struct.pack(">QQ", len(log), 0)
        for key, value in log[start:]:
            if key is None:
                body += struct.pack(">I", len(value)) + value
            else:
                body += keyed(key, value)
        self._send(writer, body)

    def _send(self, writer, body, status=200):
        head = f"HTTP/1.1 {status} X\r\nStore-Era: 1\r\nContent-Length: {len(body)}\r\n"
        writer.write(head.encode() + b"\r\n" + body)


def route(name, kind, **fields):
    """Return a route of the configuration."""
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": f"/{name}/",
        "routeKind": kind,
        "timeoutMs": 3000,
        "goalMs": 400,
        "priority": 1,
        "service": "app",
        "maxAttempts": 1,
        "public": False,
        **fields,
    }


def configuration(routes, version=1, services=("app",)):
    """Return a configuration."""
    return {
        "version": version,
        "routeTable": routes,
        "services": [
            {"name": name, "healthPath": "/healthz", "maxConns": 100}
            for name in services
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": "north", "apiKeys": [KEY]}],
    }


# -- runners


class Runner(HttpStandin):
    """A runner; `work` answers the requests that it runs."""

    service = "app"

    def __init__(self, store, record, id, version="1.0", slots=6, queue=24):
        super().__init__()
        self.store, self.record = store, record
        self.id, self.version, self.slots, self.queue = id, version, slots, queue
        self.state = "ready"
        self.born = round(time.time() * 1000)
        self.seq = 0
        self.n_running = 0
        self.n_waiting = 0
        self.runs = []
        self.arrivals = []
        self._free = asyncio.Condition()
        self._beat = None

    async def start(self):
        """Listen and register."""
        await super().start()
        self._beat = asyncio.ensure_future(self._heartbeat())

    async def leave(self):
        """Remove the entry."""
        self._beat.cancel()
        self.store.put("keyed.servers", self.id, None)
        self.record.line("unlisted", runner=self.id)

    async def crash(self):
        """End at once; the entry is removed after three heartbeats of silence."""
        self._beat.cancel()
        await self.stop()
        self.record.line("crashed", runner=self.id)
        asyncio.get_running_loop().call_later(
            3 * HEARTBEAT_S, self.store.put, "keyed.servers", self.id, None
        )

    def register(self):
        """Write the entry."""
        self.seq += 1
        entry = {
            "service": self.service,
            "address": f"{self.host}:{self.port}",
            "zone": "a",
            "version": self.version,
            "slots": self.slots,
            "state": self.state,
            "coldLeftMs": 0,
            "seq": self.seq,
            "born": self.born,
        }
        self.store.put("keyed.servers", self.id, entry)

    async def _heartbeat(self):
        while True:
            self.register()
            await asyncio.sleep(HEARTBEAT_S)

    def head(self, headers, status="200 OK", seal=True, **more):
        """Return the first lines of an answer, without the empty line."""
        load = f"{self.n_running},{self.n_waiting},{self.slots},100"
        lines = [f"HTTP/1.1 {status}"]
        lines.append(f"Chicorylead-Attempt-Id: {headers.get('chicorylead-attempt-id')}")
        lines.append(f"Chicorylead-Instance-Load: {load}")
        lines.append("Keep-Alive: timeout=30")
        if seal:
            lines.append(f"Chicorylead-Response-Seal: {self.id}.1")
        lines += [f"{k.replace('_', '-')}: {v}" for k, v in more.items()]
        return "".join(line + "\r\n" for line in lines).encode()

    def not_run(self, headers, status="503 Busy"):
        """Return an answer that states that the request has not run."""
        return (
            self.head(headers, status, seal=False)
            + b"Chicorylead-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
        )

    async def handle(self, request, reader, writer):
        """Run one request, or turn it away."""
        first, headers, body = request
        if headers.get("chicorylead-expect-instance", self.id) != self.id:
            writer.write(b"HTTP/1.1 421 Other\r\nContent-Length: 0\r\n\r\n")
            return
        attempt = headers.get("chicorylead-attempt-id", "")
        self.arrivals.append((self.record.now(), attempt))
        if self.n_running >= self.slots and self.n_waiting >= self.queue:
            self.record.line("turned_away", runner=self.id, attempt=attempt)
            await self.turn_away(headers, writer)
            return
        self.n_waiting += 1
        try:
            async with self._free:
                await self._free.wait_for(lambda: self.n_running < self.slots)
                self.n_running += 1
        finally:
            self.n_waiting -= 1
        self.record.line("run", runner=self.id, version=self.version, attempt=attempt)
        self.runs.append((self.record.now(), attempt))
        try:
            await self.work(first, headers, body, writer)
        finally:
            self.n_running -= 1
            async with self._free:
                self._free.notify_all()

    async def turn_away(self, headers, writer):
        """Answer a request for which there is no room."""
        writer.write(self.not_run(headers))

    async def work(self, first, headers, body, writer):
        """Answer a request that runs."""
        await asyncio.sleep(0.03)
        data = f"answer to {headers.get('chicorylead-attempt-id')}".encode()
        length = b"Content-Length: %d\r\n\r\n" % len(data)
        writer.write(self.head(headers) + length + data)


def event(number, text):
    """Return one event of a stream."""
    return f"id: {number}\ndata: {text}\n\n".encode()


# -- proxies


class TcpProxy:
    """Carries connections to a target; while cut, nothing gets through."""

    def __init__(self, target_host, target_port):
        self._target = target_host, target_port
        self.is_cut = False
        self.port = 0
        self._server = None
        self._writers = set()

    async def start(self):
        """Listen."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self):
        """End all connections."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while self.is_cut:
                await asyncio.sleep(0.02)
            there, back = await asyncio.open_connection(*self._target)
            self._writers.add(back)
            await asyncio.gather(self._carry(reader, back), self._carry(there, writer))
        except OSError:
            pass
        finally:
            writer.close()

    async def _carry(self, reader, writer):
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                while self.is_cut:
                    await asyncio.sleep(0.02)
                writer.write(data)
                await writer.drain()
        writer.close()


class _Datagrams(asyncio.DatagramProtocol):
    def __init__(self, on_datagram):
        self._on_datagram = on_datagram

    def datagram_received(self, data, addr):
        self._on_datagram(data, addr)

    def error_received(self, exc):
        pass


class UdpLinks:
    """Carries the datagrams between one gateway and the others; while cut, none.

    That gateway uses a port of its own. At the port by which each one knows the other,
    a socket of the links receives, and sends from there to the other's own port.
    """

    def __init__(self, single, others):
        self._single = single
        self._others = others
        self.is_cut = False
        self._at_single = None
        self._at_others = {}

    async def start(self):
        """Open all sockets."""
        self._at_single = await self._open(
            self._single.host, self._others[0].peer_port, self._carry_in
        )
        for other in self._others:
            self._at_others[other.host] = await self._open(
                other.host, self._single.peer_port, self._make_carry_out(other)
            )

    async def _open(self, host, port, on_datagram):
        transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: _Datagrams(on_datagram), local_addr=(host, port)
        )
        return transport

    def _carry_in(self, data, addr):
        """Carry a datagram of one of the others, seen from its own host."""
        if not self.is_cut and addr[0] in self._at_others:
            target = self._single.host, self._single.peer_port
            self._at_others[addr[0]].sendto(data, target)

    def _make_carry_out(self, other):
        def carry(data, addr):
            if not self.is_cut:
                self._at_single.sendto(data, (other.host, other.peer_port))

        return carry

    def stop(self):
        """Close all sockets."""
        for transport in (self._at_single, *self._at_others.values()):
            if transport is not None:
                transport.close()


# -- gateways


def free_port(host):
    """Return a port that is free for TCP and UDP on all hosts of a case."""
    for _ in range(200):
        with socket.socket() as sock:
            sock.bind((host, 0))
            port = sock.getsockname()[1]
        try:
            for n in range(1, 6):
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    with socket.socket(type=kind) as sock:
                        sock.bind((f"127.0.0.{n}", port))
        except OSError:
            continue
        return port
    raise CannotRun("no free port")


class Gateway:
    """One gateway process, started with the command of the deploy file."""

    def __init__(self, number, folder, store_port, ports, seeds, peer_port):
        self.number = number
        self.host = f"127.0.0.{number + 2}"
        self.front, self.ready, self.control, self.directory = ports
        self.peer_port = peer_port
        self._path = folder / f"node-{number}.json"
        self.log_path = folder / f"gateway-{number}.log"
        self._seeds = seeds
        self._store_port = store_port
        self.process = None

    def write_settings(self):
        """Write the settings file."""
        settings = {
            "nodeName": f"edge-{self.number}",
            "role": "gateway",
            "machineClass": "edge",
            "serves": ["edge", "control", "registry"],
            "ip": self.host,
            "zone": "a",
            "region": "r",
            "zones": {"a": "r"},
            "listen": {
                "frontend": f"{self.host}:{self.front}",
                "readiness": f"{self.host}:{self.ready}",
                "controlPlane": f"{self.host}:{self.control}",
                "directory": f"{self.host}:{self.directory}",
            },
            "portRange": [self.peer_port, self.peer_port],
            "seeds": self._seeds,
            "bootstrap": True,
            "limits": {"cpuShare": 0.8, "cores": 2, "memoryMb": 430, "maxFds": 6150},
            "heartbeatMs": 1200,
            "bounds": BOUNDS,
            "platform": {"address": f"127.0.0.1:{self._store_port}", "form": "log"},
        }
        self._path.write_text(json.dumps(settings))

    async def start(self):
        """Start the process."""
        self.write_settings()
        deploy = tomllib.loads((REPO / "deploy/system.toml").read_text())
        command = deploy["roles"]["gateway"]["run"].split()
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env["CHICORYLEAD_NODE_FILE"] = str(self._path)
        env["PYTHONPATH"] = str(REPO / "target/deps")
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        with self.log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *command, cwd=REPO, env=env, stdout=log, stderr=log
            )

    async def wait_ready(self, timeout_s=20.0):
        """Wait until the platform's check counts the process as ready."""
        ends_at = time.monotonic() + timeout_s
        while not await self.is_ready():
            if time.monotonic() > ends_at or self.process.returncode is not None:
                raise CannotRun(f"gateway {self.number} is not ready")
            await asyncio.sleep(0.1)

    async def is_ready(self):
        """Ask as the platform does."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(self.host, self.ready)
                writer.write(b"GET /api/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
                first, _, _ = await read_message(reader)
                writer.close()
                return " 200 " in f"{first} "
        except (OSError, EOFError, TimeoutError):
            return False

    def log_lines(self, *events):
        """Return the log lines of some events."""
        text = self.log_path.read_text(errors="replace")
        return [
            line
            for line in text.splitlines()
            if any(f"event={event} " in line for event in events)
        ]

    def signal(self, number):
        """Send a signal to the process."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def stop(self):
        """End the process."""
        if self.process is None:
            return
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        await self.process.wait()


def make_gateways(folder, store_ports, peer_ports=None):
    """Return gateways on hosts 127.0.0.2, 127.0.0.3 and so on."""
    ports = []
    while len(ports) < 4:
        port = free_port("127.0.0.1")
        if port not in ports:
            ports.append(port)
    seeds = [f"127.0.0.{n + 2}:{ports[2]}" for n in range(min(3, len(store_ports)))]
    if peer_ports is None:
        peer_ports = [free_port("127.0.0.1")] * len(store_ports)
    return [
        Gateway(n, folder, store_port, ports, seeds, peer_port)
        for n, (store_port, peer_port) in enumerate(
            zip(store_ports, peer_ports, strict=True)
        )
    ]


# -- callers


class Answer:
    """What a caller got: status 0 without a head."""

    def __init__(self):
        self.status = 0
        self.headers = {}
        self.body = b""
        self.is_whole = False


def encode_request(method, path, attempt, deadline_ms, body=b"", **headers):
    """Return the bytes of a caller's request."""
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST}",
        f"Chicorylead-Attempt-Id: {attempt}",
        f"Chicorylead-Deadline-Ms: {deadline_ms}",
        f"Authorization: Token {KEY}",
    ]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    if body:
        lines.append(f"Content-Length: {len(body)}")
    return "".join(line + "\r\n" for line in lines).encode() + b"\r\n" + body


async def ask(gateway, record, method, path, attempt, deadline_ms, body=b"", **headers):
    """Send a request on a new connection and return its answer."""
    record.line("sent", attempt=attempt, gateway=gateway.number, path=path, **headers)
    answer = Answer()
    data = encode_request(method, path, attempt, deadline_ms, body, **headers)
    with contextlib.suppress(OSError, EOFError, TimeoutError, ValueError):
        async with asyncio.timeout(deadline_ms / 1000 + 0.5):
            await _exchange(gateway, data, answer)
    record.line(
        "answered",
        attempt=attempt,
        status=answer.status,
        whole=answer.is_whole,
        n_bytes=len(answer.body),
    )
    return answer


async def _exchange(gateway, data, answer):
    reader, writer = await asyncio.open_connection(gateway.host, gateway.front)
    try:
        writer.write(data)
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        first, *lines = head[:-4].split("\r\n")
        answer.headers = {
            k.strip().lower(): v.strip()
            for k, _, v in (line.partition(":") for line in lines)
        }
        answer.status = int(first.split(" ")[1])
        if answer.headers.get("transfer-encoding") == "chunked":
            while size := int(await reader.readuntil(b"\r\n"), 16):
                answer.body += (await reader.readexactly(size + 2))[:-2]
            await reader.readuntil(b"\r\n")
        else:
            length = int(answer.headers.get("content-length", 0))
            answer.body = await reader.readexactly(length)
        answer.is_whole = True
    finally:
        writer.close()


# -- running a case


def run_case(case):
    """Run a case and exit: 1 if the rule was broken, 0 if it held, 2 otherwise.

    Args:
        case: Called with the record, a folder for temporary files and whether the
            disruption happens; returns whether the rule was broken.

    The environment, which `run.sh` sets: TROUBLE is 0 to leave out the disruption, and
    RECORD is the path of the record.
    """
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(os.environ.get("RECORD", "record.txt"))
    try:
        with tempfile.TemporaryDirectory() as folder:
            is_broken = asyncio.run(_limited(case, record, Path(folder), has_trouble))
    except (Exception, asyncio.CancelledError) as exc:
        # Not to be mistaken for a broken rule.
        record.line("could_not_run", reason=repr(exc))
        print(f"could not run: {exc!r}")
        sys.exit(2)
    record.line("verdict", broken=is_broken, trouble=has_trouble)
    print(f"rule broken: {is_broken} (trouble: {has_trouble})")
    sys.exit(1 if is_broken else 0)


async def _limited(case, record, folder, has_trouble):
    # Processes are ended on a signal as well.
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(
            number, asyncio.current_task().cancel
        )
    async with asyncio.timeout(110):
        return await case(record, folder, has_trouble)
