"""Stand-ins for the platform's store, runners and clients, and the router processes.

Only the standard library is used. Every address is a loopback address. The processes
that `Router` starts are ended by their own pids.
"""

import asyncio
import base64
import contextlib
import json
import os
import random
import signal
import socket
import struct
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
HOST = "shop.example"
KEY = "key-of-north"
TENANT = "north"
HEARTBEAT_S = 1.2
BOUNDS = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "stableMs": 3000,
    "ackMs": 4000,
    "catchUpS": 4,
    "drainMs": 2000,
    "graceS": 8,
    "lossSlackMs": 200,
    "configApplyMs": 2000,
    "downgradeSlackMs": 250,
    "maxSkewMs": 5000,
    "strictRevoke": False,
    "revokeMs": 5000,
    "retryRatio": 0.2,
    "retryWindowS": 10,
    "retrySlack": 58,
    "recoveryS": 12,
    "maxDelayMs": 120,
    "reuseWindowS": 9,
    "quotaWindowS": 4,
    "ttl_max_s": 5,
}


class CannotRun(Exception):
    """The case could not be set up; nothing is said of the rule."""


class Record:
    """Writes what was sent, answered and run to `record.txt`."""

    def __init__(self, folder):
        self._file = (Path(folder) / "record.txt").open("w", encoding="utf-8")
        self._began = time.monotonic()

    def write(self, event, **fields):
        """Write one line."""
        at = time.monotonic() - self._began
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{at:8.3f} {event} {text}\n")
        self._file.flush()

    def close(self):
        """Close the file."""
        self._file.close()


def free_ports(n, hosts=("127.0.0.1", "127.0.0.2", "127.0.0.3", "127.0.0.4")):
    """Return ports that are free on all hosts, for TCP and UDP."""
    ports = []
    rng = random.SystemRandom()
    for _ in range(5000):
        if len(ports) == n:
            return ports
        port = rng.randrange(15000, 30000)
        if port not in ports and all(_is_free(host, port) for host in hosts):
            ports.append(port)
    raise CannotRun("no free ports")


def _is_free(host, port):
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as sock:
            try:
                sock.bind((host, port))
            except OSError:
                return False
    return True


async def _read_head(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head[:-4].split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


def _abort(writer):
    """Reset a connection, as the end of a process with unread bytes does."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        with contextlib.suppress(OSError):
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
    writer.transport.abort()


class _Server:
    """An HTTP/1.1 server with one handler for all requests."""

    def __init__(self, host="127.0.0.1"):
        self.host = host
        self.port = 0
        self._server = None
        self._writers = set()

    async def listen(self):
        """Listen, on the same port as before if there was one."""
        self._server = await asyncio.start_server(
            self._serve, self.host, self.port, limit=1 << 20
        )
        self.port = self._server.sockets[0].getsockname()[1]

    @property
    def address(self):
        """Return host and port as one text."""
        return f"{self.host}:{self.port}"

    def reset_all(self):
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            _abort(writer)

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                first, headers = await _read_head(reader)
                method, target, _ = first.split(" ", 2)
                if not await self.handle(method, target, headers, reader, writer):
                    return
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        except asyncio.CancelledError:
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def handle(self, method, target, headers, reader, writer):
        """Answer one request; return whether the connection goes on."""
        raise NotImplementedError


class Store(_Server):
    """The platform's store: keyed topics, one plain topic a name, long polls."""

    def __init__(self):
        super().__init__()
        self.is_down = False
        self._keyed = {}
        self._plain = {}
        self._changed = asyncio.Event()

    def put(self, topic, key, value):
        """Append a record of a key; None removes the key. False if it is down."""
        if self.is_down:
            return False
        data = b"" if value is None else json.dumps(value).encode()
        self._keyed.setdefault(topic, []).append((key, data))
        self._changed.set()
        self._changed = asyncio.Event()
        return True

    async def handle(self, method, target, headers, reader, writer):
        length = int(headers.get("content-length", 0))
        body = await reader.readexactly(length) if length else b""
        path, _, query = target.partition("?")
        params = dict(item.split("=", 1) for item in query.split("&") if item)
        status, answer = 503, b""
        if not self.is_down:
            status, answer = await self._answer(method, path, params, body)
        if self.is_down:
            status, answer = 503, b""
        head = f"HTTP/1.1 {status} X\r\nStore-Era: 1\r\nContent-Length: {len(answer)}"
        writer.write(head.encode() + b"\r\n\r\n" + answer)
        return True

    async def _answer(self, method, path, params, body):
        if path == "/api/log-newest":
            log = self._keyed.get(params["topic"], [])
            newest = {key: (n, value) for n, (key, value) in enumerate(log)}
            items = [
                {"key": k, "value": base64.b64encode(v).decode(), "offset": n}
                for k, (n, v) in newest.items()
                if v
            ]
            page = {"items": items, "hasMore": False, "endOffset": len(log)}
            return 200, json.dumps(page).encode()
        if path == "/api/log-read":
            return await self._read(params)
        if path == "/api/log-append" and method == "POST":
            log = self._plain.setdefault(params["topic"], [])
            offset = len(log)
            while body:
                (size,) = struct.unpack_from(">I", body)
                log.append(body[4 : 4 + size])
                body = body[4 + size :]
            answer = {"offset": offset, "endOffset": len(log)}
            return 200, json.dumps(answer).encode()
        return 404, b""

    async def _read(self, params):
        topic, start = params["topic"], int(params["from"])
        if topic.startswith("keyed."):
            log = self._keyed.setdefault(topic, [])
        else:
            log = self._plain.setdefault(topic, [])
        if start > len(log):
            return 410, json.dumps({"firstOffset": 0}).encode()
        wait_s = int(params.get("waitMs", "0")) / 1000
        ends_at = time.monotonic() + wait_s
        while start == len(log) and not self.is_down:
            left_s = ends_at - time.monotonic()
            if left_s <= 0:
                break
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self._changed.wait(), min(left_s, 0.2))
        out = struct.pack(">QQ", len(log), 0)
        for item in log[start:]:
            if isinstance(item, tuple):
                key, value = item
                item = bytes([len(key)]) + key.encode() + value
            out += struct.pack(">I", len(item)) + item
        return 200, out


class Runner(_Server):
    """A runner: streams of numbered events, and plain answers.

    It keeps its entry in the store, answers its health path, and refuses requests
    that name another instance.
    """

    def __init__(self, store, record, name, service, version="v1", **options):
        super().__init__()
        self.store = store
        self.record = record
        self.name = name
        self.service = service
        self.version = version
        self.slots = options.get("slots", 64)
        self.n_queued = options.get("n_queued", 0)  # that may wait for a slot
        self.n_events = options.get("n_events", 80)
        self.event_s = options.get("event_s", 0.1)
        self.work_s = options.get("work_s", 0.09)
        self.zone = options.get("zone", "a")
        self.is_up = False
        self.born_ms = 0
        self._seq = 0
        self._beat = None
        self.runs = []  # of each request that it ran: a dict
        self.n_running = 0

    async def start(self):
        """Start, or start again under the same id, and register."""
        self._free_slots = asyncio.Semaphore(self.slots)
        self.n_running = 0
        await self.listen()
        self.is_up = True
        self.born_ms = max(self.born_ms + 1, time.time_ns() // 1_000_000)
        self._seq = 0
        self.record.write(
            "runner_starts", id=self.name, version=self.version, born=self.born_ms
        )
        self.register()
        self._beat = asyncio.ensure_future(self._heartbeat())

    def register(self):
        """Write the entry; nothing is written while the store is down."""
        self._seq += 1
        self.store.put(
            "keyed.servers",
            self.name,
            {
                "service": self.service,
                "address": self.address,
                "zone": self.zone,
                "version": self.version,
                "slots": self.slots,
                "state": "ready",
                "coldLeftMs": 0,
                "seq": self._seq,
                "born": self.born_ms,
            },
        )

    async def _heartbeat(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self.register()

    def crash(self):
        """End at once: all connections are reset, and nothing is written."""
        self.record.write("runner_ends", id=self.name, version=self.version)
        self.is_up = False
        if self._beat is not None:
            self._beat.cancel()
        self.reset_all()

    async def handle(self, method, target, headers, reader, writer):
        length = int(headers.get("content-length", 0))
        body = await reader.readexactly(length) if length else b""
        n_running = min(self.n_running, self.slots)
        n_waiting = self.n_running - n_running
        load = f"Chicorylead-Instance-Load: {n_running},{n_waiting},{self.slots}\r\n"
        if target == "/healthz":
            writer.write(
                (
                    "HTTP/1.1 200 OK\r\n"
                    f"Chicorylead-Instance-Id: {self.name}\r\n{load}"
                    "Content-Length: 0\r\n\r\n"
                ).encode()
            )
            return True
        expected = headers.get("chicorylead-expect-instance")
        attempt = headers.get("chicorylead-attempt-id", "")
        common = f"Chicorylead-Attempt-Id: {attempt}\r\n{load}"
        if expected not in (None, self.name):
            writer.write(
                (
                    f"HTTP/1.1 421 X\r\n{common}"
                    f"Chicorylead-Instance-Id: {self.name}\r\nContent-Length: 0\r\n\r\n"
                ).encode()
            )
            return True
        if self.n_running >= self.slots + self.n_queued:
            writer.write(
                (
                    f"HTTP/1.1 503 X\r\n{common}Chicorylead-Not-Executed: 1\r\n"
                    "Content-Length: 0\r\n\r\n"
                ).encode()
            )
            return True
        run = {
            "attempt": attempt,
            "runner": self.name,
            "version": self.version,
            "born": self.born_ms,
            "after": headers.get("last-event-id"),
            "n_body": len(body),
            "is_whole": False,
        }
        self.n_running += 1
        try:
            async with self._free_slots:
                self.runs.append(run)
                self.record.write("run_begins", **run)
                await self._run(target, run, common, reader, writer)
            run["is_whole"] = True
        finally:
            self.n_running = max(0, self.n_running - 1)
            self.record.write(
                "run_ends",
                attempt=attempt,
                runner=self.name,
                is_whole=run["is_whole"],
            )
        return True

    async def _run(self, target, run, common, reader, writer):
        seal = f"Chicorylead-Response-Seal: 1.{self.name}.{len(self.runs)}\r\n"
        if target.startswith("/talk/"):
            await self._stream(run, common + seal, writer)
        else:
            await self._plain(common + seal, reader, writer)

    async def _plain(self, head, reader, writer):
        await asyncio.sleep(self.work_s)
        if reader.at_eof():
            raise ConnectionError("the router has closed")
        body = b"x" * 800
        writer.write(
            f"HTTP/1.1 200 OK\r\n{head}Content-Length: {len(body)}\r\n\r\n".encode()
            + body
        )
        await writer.drain()

    async def _stream(self, run, head, writer):
        after = run["after"]
        first = int(after) + 1 if after else 1
        writer.write(
            (
                f"HTTP/1.1 200 OK\r\n{head}Content-Type: text/event-stream\r\n"
                "Transfer-Encoding: chunked\r\n\r\n"
            ).encode()
        )
        for number in range(first, self.n_events + 1):
            await asyncio.sleep(self.event_s)
            # What this version writes; nothing that a router could tell it by.
            text = f"id: {number}\ndata: w{number} {self.version}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(text), text))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()


def configuration(n_body=4_194_304, **changes):
    """Return a configuration with one host, two services and three routes."""
    streams = {
        "name": "talk",
        "host": HOST,
        "pathPrefix": "/talk/",
        "routeKind": "streaming",
        "timeoutMs": 15000,
        "goalMs": 800,
        "priority": 1,
        "service": "pool",
        "maxAttempts": 3,
        "public": False,
        "sticky": True,
        "resumable": True,
        "itlTargetMs": 400,
    }
    plain = {
        "host": HOST,
        "timeoutMs": 5000,
        "goalMs": 400,
        "priority": 2,
        "service": "app",
        "public": False,
        "sticky": False,
    }
    return {
        "version": 7,
        "routeTable": [
            streams,
            {
                **plain,
                "name": "publish",
                "pathPrefix": "/publish/",
                "routeKind": "unsafe",
                "maxAttempts": 1,
            },
            {
                **plain,
                "name": "look",
                "pathPrefix": "/look/",
                "routeKind": "safe",
                "maxAttempts": 2,
            },
        ],
        "services": [
            {
                "name": "pool",
                "healthPath": "/healthz",
                "maxConns": 370,
                "engine": {"slots": 64, "kvCapacity": 409704, "stride": 6},
            },
            {"name": "app", "healthPath": "/healthz", "maxConns": 110},
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": n_body,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
            "tokensPerS": 1200000,
        },
        "tenants": [{"name": TENANT, "apiKeys": [KEY], "priority": 1}],
        **changes,
    }


class Router:
    """One router process, started with the command of the deploy file."""

    def __init__(self, number, store, ports, folder, record, **limits):
        self.number = number
        self.name = f"router-{number}"
        self.host = f"127.0.0.{number + 1}"
        self.port, ready, control, directory, first = ports
        self.readiness = (self.host, ready)
        self.record = record
        self._folder = Path(folder)
        self._path = self._folder / f"{self.name}.json"
        self._process = None
        limits = {
            "cpuShare": 0.817,
            "cores": 2,
            "memoryMb": 430,
            "maxFds": 6150,
            "linkMbps": 1500.0,
            "diskMb": 0,
            **limits,
        }
        settings = {
            "nodeName": self.name,
            "role": "gateway",
            "machineClass": "edge",
            "serves": ["edge", "control", "registry"],
            "ip": self.host,
            "zone": "a",
            "region": "r",
            "zones": {"a": "r"},
            "listen": {
                "frontend": f"{self.host}:{self.port}",
                "readiness": f"{self.host}:{ready}",
                "controlPlane": f"{self.host}:{control}",
                "directory": f"{self.host}:{directory}",
            },
            "portRange": [first, first],
            "seeds": [f"127.0.0.{n}:{control}" for n in (2, 3)],
            "bootstrap": True,
            "limits": limits,
            "dataDir": None,
            "heartbeatMs": round(1000 * HEARTBEAT_S),
            "bounds": BOUNDS,
            "platform": {"address": store.address, "form": "log"},
        }
        self._path.write_text(json.dumps(settings))

    @property
    def pid(self):
        """Return the pid of the last process."""
        return self._process.pid

    async def start(self):
        """Start the process."""
        kept = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        log = (self._folder / f"{self.name}.log").open("ab")
        self._process = await asyncio.create_subprocess_exec(
            "python3",
            "deploy/run.py",
            "gateway",
            cwd=ROOT,
            stdout=log,
            stderr=log,
            env={
                **kept,
                "PYTHONPATH": str(ROOT / "target" / "deps"),
                "CHICORYLEAD_NODE_FILE": str(self._path),
            },
        )
        log.close()
        self.record.write("router_starts", id=self.name, pid=self.pid)

    def signal(self, number):
        """Send a signal to the process."""
        if self._process is not None and self._process.returncode is None:
            self.record.write("signal", id=self.name, number=int(number))
            self._process.send_signal(number)

    async def kill(self):
        """Kill the process and wait for its end."""
        if self._process is None:
            return
        if self._process.returncode is None:
            self._process.send_signal(signal.SIGCONT)
            self._process.kill()
        await self._process.wait()

    @property
    def has_ended(self):
        """Return whether the process ended by itself or was killed."""
        return self._process is not None and self._process.returncode is not None

    async def wait_ready(self, timeout_s=15.0):
        """Wait until the platform would count it as ready."""
        ends_at = time.monotonic() + timeout_s
        while time.monotonic() < ends_at:
            if self.has_ended:
                break
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection(*self.readiness)
                try:
                    writer.write(b"GET /api/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
                    first, _ = await asyncio.wait_for(_read_head(reader), 1.0)
                    if first.split(" ")[1] == "200":
                        self.record.write("router_ready", id=self.name)
                        return
                except asyncio.TimeoutError:
                    pass
                finally:
                    writer.close()
            await asyncio.sleep(0.05)
        raise CannotRun(f"{self.name} is not ready")

    def memory_mb(self, field="VmRSS"):
        """Return the resident memory of the process, MB; None if it has ended."""
        try:
            text = Path(f"/proc/{self.pid}/status").read_text()
        except OSError:
            return None
        for line in text.splitlines():
            if line.startswith(field + ":"):
                return int(line.split()[1]) / 1000
        return None


def head_of(method, path, attempt, n_body=0, deadline_ms=12000, **more):
    """Return the head of a client's request."""
    lines = {
        "Host": HOST,
        "Chicorylead-Attempt-Id": attempt,
        "Chicorylead-Deadline-Ms": str(deadline_ms),
        "Authorization": f"Token {KEY}",
        **{name.replace("_", "-"): str(value) for name, value in more.items()},
    }
    if method == "POST":
        lines["Content-Length"] = str(n_body)
    text = "".join(f"{name}: {value}\r\n" for name, value in lines.items())
    return f"{method} {path} HTTP/1.1\r\n{text}\r\n".encode()


class Answer:
    """What a client got: status 0 if the connection ended without a head."""

    def __init__(self):
        self.status = 0
        self.headers = {}
        self.body = b""
        self.is_whole = False


async def read_answer(reader, answer, on_part=None):
    """Read one answer into `answer`; return it also if it breaks off."""
    try:
        first, answer.headers = await _read_head(reader)
        answer.status = int(first.split(" ")[1])
        if answer.headers.get("transfer-encoding") == "chunked":
            while size := int(await reader.readuntil(b"\r\n"), 16):
                part = (await reader.readexactly(size + 2))[:-2]
                answer.body += part
                if on_part is not None:
                    on_part(part)
            await reader.readuntil(b"\r\n")
        else:
            length = int(answer.headers.get("content-length", 0))
            answer.body = await reader.readexactly(length)
        answer.is_whole = True
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        pass
    return answer


def main(play, folder):
    """Run `play(is_troubled, folder, temporary folder, record)`; exit as asked for.

    `play` returns whether the rule was broken, and a line that says what was seen.
    """
    is_troubled = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder)
    code = 2
    try:
        with tempfile.TemporaryDirectory() as temporary:
            try:
                is_broken, text = asyncio.run(
                    asyncio.wait_for(play(is_troubled, Path(temporary), record), 110)
                )
                code = 1 if is_broken else 0
            finally:
                keep = os.environ.get("KEEP_LOGS")
                if keep:
                    for log in Path(temporary).glob("*.log"):
                        (Path(keep) / log.name).write_bytes(log.read_bytes())
    except (CannotRun, OSError, asyncio.TimeoutError) as exc:
        text = f"could not run: {exc!r}"
    record.write("verdict", code=code, text=text)
    record.close()
    print(text)
    sys.exit(code)
