"""Stand-ins of the platform, the runners and the clients, and the routers under test.

Only the standard library is used. All addresses are loopback addresses. The routers are
processes that run the command of the deploy file.
"""

import asyncio
import base64
import itertools
import json
import os
import random
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
HOST = "phrases.example"
KEYS = {"north": "key-of-north", "south": "key-of-south"}
HEARTBEAT_S = 1.2
# As in the settings of the smallest site.
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
    "retrySlack": 56,
    "recoveryS": 12,
    "maxDelayMs": 120,
    "reuseWindowS": 10,
    "quotaWindowS": 4,
    "ttl_max_s": 5,
}
STABLE_S = 3.0


class CannotRun(Exception):
    """The case could not be set up."""


class Record:
    """Writes what happens to `record.txt`, with seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._started = time.monotonic()

    def now(self) -> float:
        return time.monotonic() - self._started

    def write(self, event: str, **fields: object) -> float:
        """Write one line; return its time, seconds."""
        at = self.now()
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{at:9.4f} {event} {text}\n")
        self._file.flush()
        return at

    def close(self) -> None:
        self._file.close()


def hosts(n: int) -> list[str]:
    """Return loopback addresses that other runs on the machine are unlikely to use."""
    rng = random.SystemRandom()
    net, first = rng.randrange(1, 250), rng.randrange(2, 200)
    return [f"127.{rng.randrange(1, 250)}.{net}.{first + i}" for i in range(n)]


def free_port(addresses: list[str], taken: set[int]) -> int:
    """Return a port that is free for TCP and UDP on all addresses."""
    rng = random.SystemRandom()
    while True:
        port = rng.randrange(15_000, 30_000)
        if port in taken:
            continue
        try:
            for address in addresses:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    with socket.socket(socket.AF_INET, kind) as sock:
                        sock.bind((address, port))
        except OSError:
            continue
        taken.add(port)
        return port


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Return the first line of a message, and its headers in lower case."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head[:-4].split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


# -- the platform's store


class Store:
    """The platform's store: keyed and plain topics, each with one partition used."""

    def __init__(self, record: Record) -> None:
        self._record = record
        self._topics: dict[str, list[bytes]] = {}
        self._changed = asyncio.Event()
        self._servers: list[asyncio.Server] = []
        self._writers: set[asyncio.StreamWriter] = set()
        self.address = ""
        self.is_down = False

    async def start(self, address: str, port: int) -> None:
        server = await asyncio.start_server(self._serve, address, port)
        self._servers.append(server)
        self.address = f"{address}:{port}"

    def stop(self) -> None:
        for server in self._servers:
            server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def set_down(self, is_down: bool) -> None:
        """Answer 503 to all calls, also to those that wait."""
        self.is_down = is_down
        self._record.write("store_down" if is_down else "store_up")
        self._wake()

    def put(self, topic: str, key: str, value: object) -> None:
        """Append a record; None removes its key."""
        data = b"" if value is None else json.dumps(value).encode()
        name = key.encode()
        self._topics.setdefault(topic, []).append(bytes([len(name)]) + name + data)
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                first, headers = await read_head(reader)
                method, target, _ = first.split(" ")
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                status, kind, answer = await self._answer(method, target, body)
                head = (
                    f"HTTP/1.1 {status} X\r\nContent-Type: {kind}\r\nStore-Era: 1\r\n"
                    f"Content-Length: {len(answer)}\r\n\r\n"
                )
                writer.write(head.encode() + answer)
                await writer.drain()
        except (OSError, EOFError, ValueError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _answer(
        self, method: str, target: str, body: bytes
    ) -> tuple[int, str, bytes]:
        path, _, query = target.partition("?")
        params = dict(p.partition("=")[::2] for p in query.split("&") if p)
        await asyncio.sleep(0.004)
        if self.is_down:
            return 503, "text/plain", b""
        log = self._topics.setdefault(params["topic"], [])
        if path == "/api/log-newest":
            return 200, "application/json", self._newest(log)
        if path == "/api/log-append" and method == "POST":
            offset = len(log)
            while body:
                (length,) = struct.unpack_from(">I", body)
                log.append(body[4 : 4 + length])
                body = body[4 + length :]
            self._wake()
            answer = {"offset": offset, "endOffset": len(log)}
            return 200, "application/json", json.dumps(answer).encode()
        if path == "/api/log-read":
            return await self._read(log, params)
        return 404, "text/plain", b""

    def _newest(self, log: list[bytes]) -> bytes:
        newest: dict[str, tuple[int, bytes]] = {}
        for offset, data in enumerate(log):
            end = 1 + data[0]
            newest[data[1:end].decode()] = (offset, data[end:])
        items = [
            {"key": k, "value": base64.b64encode(v).decode(), "offset": o}
            for k, (o, v) in newest.items()
            if v
        ]
        answer = {"items": items, "hasMore": False, "endOffset": len(log)}
        return json.dumps(answer).encode()

    async def _read(
        self, log: list[bytes], params: dict[str, str]
    ) -> tuple[int, str, bytes]:
        start = int(params["from"])
        ends_at = time.monotonic() + int(params.get("waitMs", "0")) / 1000
        while len(log) <= start and not self.is_down:
            left_s = ends_at - time.monotonic()
            if left_s <= 0:
                break
            try:
                async with asyncio.timeout(left_s):
                    await self._changed.wait()
            except TimeoutError:
                break
        if self.is_down:
            return 503, "text/plain", b""
        if start > len(log):
            answer = json.dumps({"firstOffset": 0}).encode()
            return 410, "application/json", answer
        parts = [struct.pack(">QQ", len(log), 0)]
        parts += [struct.pack(">I", len(data)) + data for data in log[start:]]
        return 200, "application/octet-stream", b"".join(parts)


# -- runners


class Request:
    """A request as a runner has received it."""

    def __init__(self, first: str, headers: dict[str, str], body: bytes) -> None:
        self.method, self.target, _ = first.split(" ")
        self.headers = headers
        self.body = body
        self.id = headers.get("chicorylead-attempt-id", "")


class Runner:
    """One runner: serves requests, and registers about every heartbeat.

    Args:
        handle: Coroutine function that answers a request; it gets this runner, the
            request and the stream for the answer.
    """

    def __init__(
        self,
        record: Record,
        store: Store,
        id: str,
        service: str,
        address: str,
        port: int,
        handle,
        version: str = "1.0",
        slots: int = 6,
    ) -> None:
        self.id, self.service, self.version = id, service, version
        self.address, self.port, self.slots = address, port, slots
        self._record = record
        self._store = store
        self._handle = handle
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task] = set()
        self._heartbeat: asyncio.Task | None = None
        self.n_starts = 0
        self._seq = 0

    @property
    def is_up(self) -> bool:
        return self._server is not None

    async def start(self) -> None:
        """Listen and register; a later call is a new start under the same id."""
        self.n_starts += 1
        self._seq = 0
        self.born = round(time.time() * 1000)
        self._server = await asyncio.start_server(
            self._serve, self.address, self.port, backlog=512
        )
        self.register()
        self._heartbeat = asyncio.create_task(self._beat())
        self._record.write(
            "runner_starts", id=self.id, version=self.version, born=self.born
        )

    def register(self) -> None:
        """Write the entry, at once after the start and then at each heartbeat."""
        self._seq += 1
        entry = {
            "service": self.service,
            "address": f"{self.address}:{self.port}",
            "zone": "recife-a",
            "version": self.version,
            "slots": self.slots,
            "state": "ready",
            "coldLeftMs": 0,
            "seq": self._seq,
            "born": self.born,
        }
        # A store that is down takes nothing; the next heartbeat tries again.
        if not self._store.is_down:
            self._store.put("keyed.servers", self.id, entry)

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self.register()

    def crash(self) -> None:
        """End at once, as a killed process does: all its connections are reset."""
        if self._server is None:
            return
        self._record.write("runner_ends", id=self.id, version=self.version)
        self._server.close()
        self._server = None
        self._heartbeat.cancel()
        for writer in list(self._writers):
            writer.transport.abort()
        for task in list(self._tasks):
            task.cancel()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        self._writers.add(writer)
        try:
            while True:
                first, headers = await read_head(reader)
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                request = Request(first, headers, body)
                expected = headers.get("chicorylead-expect-instance", self.id)
                if expected != self.id:
                    writer.write(b"HTTP/1.1 421 Other\r\nContent-Length: 0\r\n\r\n")
                else:
                    await self._handle(self, request, writer)
                await writer.drain()
        except (OSError, EOFError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            self._tasks.discard(task)
            writer.transport.abort()


def answer(request: Request, body: bytes, status: str = "200 OK", **more: str) -> bytes:
    """Return a complete answer of a runner."""
    lines = [
        f"HTTP/1.1 {status}",
        f"Chicorylead-Attempt-Id: {request.id}",
        "Chicorylead-Response-Seal: 3e1b.07.5a2",
        f"Content-Length: {len(body)}",
    ]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in more.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


# -- routers


def deploy_command() -> list[str]:
    """Return the command of the deploy file."""
    with (ROOT / "deploy" / "system.toml").open("rb") as file:
        return tomllib.load(file)["roles"]["gateway"]["run"].split(" ")


class RouterProcess:
    """One router process and its settings file."""

    def __init__(
        self, record: Record, folder: Path, number: int, address: str, **settings
    ) -> None:
        self.number, self.address = number, address
        self.settings = settings
        self._record = record
        self._folder = folder
        self._path = folder / f"node-{number}.json"
        self._log = (folder / f"router-{number}.log").open("ab")
        self._process: asyncio.subprocess.Process | None = None

    @property
    def port(self) -> int:
        return int(self.settings["listen"]["frontend"].rpartition(":")[2])

    def write_settings(self, **changes) -> None:
        """Write the settings file, as the platform does."""
        self.settings.update(changes)
        temporary = self._path.with_suffix(".new")
        temporary.write_text(json.dumps(self.settings))
        temporary.replace(self._path)

    async def start(self) -> None:
        command = deploy_command()
        command[0] = sys.executable
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", "/"),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "CHICORYLEAD_NODE_FILE": str(self._path),
        }
        self._process = await asyncio.create_subprocess_exec(
            *command,
            cwd=ROOT,
            env=environment,
            stdout=self._log,
            stderr=self._log,
        )
        self._record.write("router_starts", router=self.number, pid=self._process.pid)

    def signal(self, number: int) -> None:
        self._record.write("signal", router=self.number, number=number)
        self._process.send_signal(number)

    def is_running(self) -> bool:
        return self._process is not None and self._process.returncode is None

    async def wait(self, timeout_s: float) -> None:
        async with asyncio.timeout(timeout_s):
            await self._process.wait()

    def peak_memory_mb(self) -> float:
        """Return the largest memory that the process has held so far, MB."""
        text = Path(f"/proc/{self._process.pid}/status").read_text()
        (line,) = [line for line in text.splitlines() if line.startswith("VmHWM")]
        return int(line.split()[1]) * 1024 / 1e6

    def memory_mb(self) -> float:
        """Return the memory that the process holds now, MB."""
        text = Path(f"/proc/{self._process.pid}/status").read_text()
        (line,) = [line for line in text.splitlines() if line.startswith("VmRSS")]
        return int(line.split()[1]) * 1024 / 1e6

    async def stop(self) -> None:
        """End the process, whatever its state."""
        if self.is_running():
            self._process.send_signal(signal.SIGCONT)
            self._process.kill()
            await self._process.wait()
        self._log.close()

    async def is_ready(self) -> bool:
        host, _, port = self.settings["listen"]["readiness"].rpartition(":")
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(b"GET /api/readyz HTTP/1.1\r\nHost: r\r\n\r\n")
                first, _ = await read_head(reader)
                writer.close()
                return " 200 " in f"{first} "
        except (OSError, EOFError, TimeoutError):
            return False

    async def wait_until_ready(self, timeout_s: float = 20.0) -> None:
        try:
            async with asyncio.timeout(timeout_s):
                while not await self.is_ready():
                    if not self.is_running():
                        raise CannotRun(f"router {self.number} has ended")
                    await asyncio.sleep(0.1)
        except TimeoutError:
            raise CannotRun(f"router {self.number} is not ready") from None


class Deployment:
    """A small deployment on loopback addresses."""

    def __init__(self, folder: Path, n_routers: int) -> None:
        self.record = Record(folder)
        self._temporary = tempfile.TemporaryDirectory(prefix="case-")
        self._folder = Path(self._temporary.name)
        self._taken: set[int] = set()
        self.addresses = hosts(n_routers + 1)
        self.store = Store(self.record)
        self.routers: list[RouterProcess] = []
        self.runners: list[Runner] = []
        self._version = 0
        self._ids = itertools.count()
        self._salt = f"{random.SystemRandom().getrandbits(32):08x}"

    def new_id(self) -> str:
        """Return the id of a new client attempt."""
        return f"{self._salt}{next(self._ids):08x}"

    def port(self) -> int:
        return free_port(self.addresses, self._taken)

    async def start_store(self, configuration: dict) -> None:
        await self.store.start(self.addresses[-1], self.port())
        self.publish(configuration)

    def publish(self, configuration: dict) -> None:
        self._version += 3
        value = {**configuration, "version": self._version}
        self.store.put("keyed.op", "config", value)
        self.record.write("configuration", version=self._version)

    async def add_runner(self, id: str, service: str, handle, **more) -> Runner:
        address, port = self.addresses[-1], self.port()
        runner = Runner(
            self.record, self.store, id, service, address, port, handle, **more
        )
        self.runners.append(runner)
        await runner.start()
        return runner

    async def start_routers(
        self,
        zones: list[str] = ["recife-a"],
        memory_mb: list[int] = [430],
        **changes,
    ) -> None:
        """Start all routers at once and wait until they are ready.

        Args:
            zones: Zones of the routers; the last one is that of all further ones.
            memory_mb: Memory of their machines, likewise.
            changes: Settings that differ.
        """
        ports = [self.port() for _ in range(5)]
        addresses = self.addresses[:-1]
        control = ports[2]
        for number, address in enumerate(addresses):
            names = ("frontend", "readiness", "controlPlane", "directory")
            listen = {n: f"{address}:{p}" for n, p in zip(names, ports)}
            settings = {
                "nodeName": f"edge-{number + 1}",
                "role": "gateway",
                "machineClass": "edge",
                "serves": ["edge", "control", "registry"],
                "ip": address,
                "zone": zones[min(number, len(zones) - 1)],
                "region": "nordeste",
                "zones": {zone: "nordeste" for zone in zones},
                "listen": listen,
                "portRange": [ports[4], ports[4] + 15],
                "seeds": [f"{a}:{control}" for a in addresses[:3]],
                "bootstrap": True,
                "faultCounted": False,
                "limits": {
                    "cpuShare": 0.817,
                    "cores": 2,
                    "memoryMb": memory_mb[min(number, len(memory_mb) - 1)],
                    "maxFds": 6150,
                    "linkMbps": 1500.0,
                    "diskMb": 0,
                },
                "dataDir": None,
                "discovery": "platform",
                "entry": "registry",
                "heartbeatMs": round(1000 * HEARTBEAT_S),
                "bounds": BOUNDS,
                "platform": {
                    "address": self.store.address,
                    "form": "log",
                    "writesPerS": 400,
                    "readsPerS": 2000,
                    "parts": 12,
                    "recordBytes": 262144,
                    "callBytes": 2097152,
                    "keep_s": 300,
                    "partMb": 200,
                    "ttlMinMs": 1000,
                },
                **changes,
            }
            router = RouterProcess(
                self.record, self._folder, number, address, **settings
            )
            router.write_settings()
            self.routers.append(router)
        for router in self.routers:
            await router.start()
        for router in self.routers:
            await router.wait_until_ready()
        self.record.write("routers_ready")

    async def stop(self) -> None:
        for router in self.routers:
            await router.stop()
        for runner in self.runners:
            runner.crash()
        self.store.stop()
        self._keep_logs()
        self._temporary.cleanup()
        self.record.close()

    def _keep_logs(self) -> None:
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for path in self._folder.glob("*.log"):
                (Path(keep) / path.name).write_bytes(path.read_bytes())


# -- clients


class Reply:
    """What a client got for one attempt; status 0 is a closed connection."""

    def __init__(self, status: int, headers: dict[str, str], body: bytes, whole: bool):
        self.status, self.headers, self.body, self.whole = status, headers, body, whole


def encode_call(
    path: str, id: str, method: str = "GET", body: bytes = b"", **headers: str
) -> bytes:
    """Return the bytes of a client's request."""
    lines = {
        "Host": HOST,
        "Chicorylead-Attempt-Id": id,
        "Chicorylead-Deadline-Ms": "1500",
        "Authorization": f"Token {KEYS['north']}",
        **{name.replace("_", "-"): value for name, value in headers.items()},
    }
    if body:
        lines["Content-Length"] = str(len(body))
    head = "".join(f"{name}: {value}\r\n" for name, value in lines.items())
    return f"{method} {path} HTTP/1.1\r\n{head}\r\n".encode() + body


async def call(
    router: RouterProcess,
    path: str,
    id: str,
    method: str = "GET",
    body: bytes = b"",
    timeout_s: float = 2.0,
    on_data=None,
    **headers: str,
) -> Reply:
    """Send one attempt on a new connection; return the answer.

    Args:
        on_data: Called with all that came of the body so far, after each part.
    """
    writer = None
    status, answered, got = 0, {}, b""
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(router.address, router.port)
            writer.write(encode_call(path, id, method, body, **headers))
            first, answered = await read_head(reader)
            status = int(first.split(" ")[1])
            if answered.get("transfer-encoding") != "chunked":
                got = await reader.readexactly(int(answered.get("content-length", 0)))
                return Reply(status, answered, got, True)
            while size := int(await reader.readuntil(b"\r\n"), 16):
                got += (await reader.readexactly(size + 2))[:-2]
                if on_data is not None:
                    on_data(got)
            await reader.readuntil(b"\r\n")
            return Reply(status, answered, got, True)
    except (OSError, EOFError, TimeoutError, ValueError):
        return Reply(status, answered, got, False)
    finally:
        if writer is not None:
            writer.transport.abort()


def route(name: str, kind: str, service: str, **more) -> dict:
    """Return a route `/NAME/` of the configuration."""
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": f"/{name}/",
        "routeKind": kind,
        "timeoutMs": 3000,
        "goalMs": 400,
        "priority": 1,
        "service": service,
        "maxAttempts": 1,
        "public": False,
        **more,
    }


def configuration(routes: list[dict], services: list[str], **more) -> dict:
    """Return a configuration without its version."""
    return {
        "routeTable": routes,
        "services": [
            {"name": name, "healthPath": "/healthz", "maxConns": 110}
            for name in services
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": n, "apiKeys": [k]} for n, k in KEYS.items()],
        **more,
    }


def main(case, folder: Path) -> None:
    """Run a case and exit with 0 if the rule held, 1 if not, 2 if it couldn't run.

    Args:
        case: Coroutine function that gets the folder and whether there is trouble; it
            returns the sentences that tell how the rule was broken.
    """
    has_trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run() -> list[str]:
        # All processes are ended also if the script is told to end.
        task = asyncio.current_task()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        return await asyncio.wait_for(case(folder, has_trouble), 115.0)

    try:
        broken = asyncio.run(run())
    except (CannotRun, OSError, TimeoutError, asyncio.CancelledError) as exc:
        print(f"could not run: {exc!r}")
        sys.exit(2)
    for sentence in broken:
        print(f"broken: {sentence}")
    if not broken:
        print("held")
    sys.exit(1 if broken else 0)
