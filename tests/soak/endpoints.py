"""Upstreams and callers of the soak test, outside the processes under test."""

import asyncio
import re
from collections.abc import Callable
from enum import Enum
from random import Random
from weakref import WeakKeyDictionary

from tests.gateway.fakes import ReceivedRequest, encode_request, sealed_response
from tests.soak.ledger import N_EVENTS, Ledger, expected_body, expected_events

__all__ = ["SLOW_TARGET", "Caller", "SoakUpstream", "spoil"]

STREAM_HEAD = (
    "HTTP/1.1 200 OK\r\nChicorylead-Attempt-Id: {id}\r\n"
    "Chicorylead-Response-Seal: 1.2.3\r\nContent-Type: text/event-stream\r\n"
    "Transfer-Encoding: chunked\r\n\r\n"
)
NOT_RUN = (
    "HTTP/1.1 503 Busy\r\nChicorylead-Attempt-Id: {id}\r\n"
    "Chicorylead-Not-Executed: 1\r\nContent-Length: 0\r\n"
)
WRONG_INSTANCE = b"HTTP/1.1 421 Other\r\nContent-Length: 0\r\n\r\n"
EVENT_INTERVAL_S = 0.02
# Of streams that are still under way when their router is lost.
SLOW_TARGET = "/revise/slow"
SLOW_EVENT_INTERVAL_S = 0.9
FOREIGN_BYTES = 4096
# Random bytes beside what a stream may consist of without an event.
FOREIGN_BLOCKS = (None, b"\n", b":\n\n", b"data\n")
FOREIGN_INTERVAL_S = 0.002
MAX_WORK_S = 0.03
DEADLINE_MS = 2500
MAX_TAKE_UPS = 3
MAX_TAKE_UP_PAUSE_S = 1.0  # some meet routers that have started meanwhile
TELLING_BYTES = b"0123456789abcdefxyz:- \r\n"
DEADLY_PART = "dead"
DEADLY_RATIO = 0.1  # of the requests with a prompt
PREFILL_S = 0.02
PATHS = {"look": "GET", "publish": "POST", "revise": "POST"}


class _StreamFault(Enum):
    """What a faulty upstream does in the middle of a stream."""

    NONE = 0
    CUT = 1
    FOREIGN = 2
    WRONG_NUMBER = 3
    WRONG_BYTE = 4


# One wrong byte may be any of some hundred, so that it comes more often.
_STREAM_FAULTS = (
    _StreamFault.CUT,
    _StreamFault.FOREIGN,
    _StreamFault.WRONG_NUMBER,
    *[_StreamFault.WRONG_BYTE] * 5,
)


def spoil(pieces: list[bytes], rng: Random) -> list[bytes]:
    """Return an answer with one wrong byte outside its text.

    It is one of the head, or of the framing and the events after it. The lines that
    frame the body are a third choice, as there are few bytes in them. Half of the bytes
    are such that an answer may be read with them.

    Args:
        pieces: What is written at a time; the first begins with the head.
        rng: Random source of the position and the byte.
    """
    data = bytearray(b"".join(pieces))
    head_end = data.index(b"\r\n\r\n") + 4
    texts = [found.span(1) for found in re.finditer(rb"data: ([^\n]*)", data)]
    if not texts:
        texts = [(head_end, len(data))]
    text = {at for start, end in texts for at in range(start, end)}
    framing = re.search(rb"(?:Content-Length|Transfer-Encoding): [^\r]*", data)
    regions = [
        list(range(head_end)),
        [at for at in range(head_end, len(data)) if at not in text],
        list(range(*framing.span())),
    ]
    at = rng.choice(rng.choice([region for region in regions if region]))
    values = rng.choice((range(256), TELLING_BYTES))
    data[at] = rng.choice([byte for byte in values if byte != data[at]])
    spoilt = []
    for piece in pieces:
        spoilt.append(bytes(data[: len(piece)]))
        del data[: len(piece)]
    return spoilt


class SoakUpstream:
    """Behaviour of an upstream that fails a fraction of its requests.

    Args:
        id: Its id in the registry.
        version: Version of its software.
        ledger: Records the runs.
        fault_ratio: Fraction of the requests that it refuses or answers badly.
        on_crash: Called when a request crashes it.

    Attributes:
        limit_per_s: Requests a second that it takes, as its answers say; None for any.
        is_leaving: Whether its answers say that it leaves.
        pause_s: Time for which it wants nothing from a router that it turns away,
            seconds; 0 if it turns nobody away.
    """

    def __init__(
        self,
        id: str,
        version: str,
        ledger: Ledger,
        rng: Random,
        fault_ratio: float,
        on_crash: Callable[[str], None],
    ) -> None:
        self.id = id
        self.version = version
        self._on_crash = on_crash
        self.fault_ratio = fault_ratio
        self.limit_per_s: float | None = None
        self.is_leaving = False
        self.pause_s = 0.0
        self._ledger = ledger
        self._rng = rng
        self._late: WeakKeyDictionary[asyncio.StreamWriter, bytes] = WeakKeyDictionary()

    async def __call__(
        self, received: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one request."""
        if received.headers.get("chicorylead-expect-instance") != self.id:
            writer.write(WRONG_INSTANCE)
            return
        request_id = received.headers["chicorylead-attempt-id"]
        self._ledger.record_arrival(self.id, request_id)
        if f"{DEADLY_PART}:" in received.headers.get("chicorylead-prefix-hash", ""):
            self._ledger.deadly_at.append(asyncio.get_running_loop().time())
            await asyncio.sleep(PREFILL_S)
            self._on_crash(self.id)
            return
        draw = self._rng.random()
        if (late := self._late.pop(writer, None)) is not None:
            writer.write(late)
        if draw < self.fault_ratio / 4 or self.pause_s:
            not_run = NOT_RUN.format(id=request_id)
            head = f"{not_run}\r\n".encode()
            if self.pause_s:
                head = f"{not_run}Retry-After: {self.pause_s}\r\n\r\n".encode()
            elif draw < self.fault_ratio / 8:
                # Once more where the next answer on this connection is expected.
                self._late[writer] = head
            elif draw < self.fault_ratio * 3 / 16:
                (head,) = spoil([head], self._rng)
            writer.write(self._with_notices(head))
            return
        self._ledger.record_run(request_id)
        if received.target.startswith("/revise/"):
            fault = _StreamFault.NONE
            if draw < self.fault_ratio:
                fault = self._rng.choice(_STREAM_FAULTS)
            await self._stream(received, writer, request_id, fault)
            return
        await asyncio.sleep(MAX_WORK_S * self._rng.random())
        if draw < self.fault_ratio * 3 / 8:
            writer.transport.abort()
        elif draw < self.fault_ratio / 2:
            writer.write(sealed_response(received, expected_body(request_id))[:-7])
            writer.close()
        elif draw < self.fault_ratio * 7 / 8:
            response = sealed_response(received, expected_body(request_id))
            writer.write(spoil([response], self._rng)[0])
        elif draw < self.fault_ratio:
            stray = sealed_response(received, b"of another", request_id="another")
            writer.write(sealed_response(received, expected_body(request_id)) + stray)
        else:
            response = sealed_response(received, expected_body(request_id))
            writer.write(self._with_notices(response))

    def _with_notices(self, response: bytes) -> bytes:
        """Add what the upstream states about the work that it takes."""
        notices = b""
        if self.limit_per_s is not None:
            notices += f"Server-Limit: {self.limit_per_s}\r\n".encode()
        if self.is_leaving:
            notices += b"Server-Leaving: 1\r\n"
        if notices or self.pause_s:
            self._ledger.record_notice(self.id)
        line, _, rest = response.partition(b"\r\n")
        return line + b"\r\n" + notices + rest

    async def _stream(
        self,
        received: ReceivedRequest,
        writer: asyncio.StreamWriter,
        request_id: str,
        fault: _StreamFault,
    ) -> None:
        head = self._with_notices(STREAM_HEAD.format(id=request_id).encode())
        first = int(received.headers.get("last-event-id", "0")) + 1
        stream_id = received.headers.get("resumes", request_id)
        events = expected_events(stream_id, first, self.version)
        if fault is _StreamFault.WRONG_NUMBER and events:
            # Together with sound events, as a chunk holds what was written at once.
            wrong = events[-1].replace(f"id: {N_EVENTS}".encode(), b"id: 99")
            events = [b"".join([*events[:-1], wrong])]
        if fault is _StreamFault.WRONG_BYTE and events:
            await self._write_wrong_byte(writer, head, events)
            return
        is_slow = received.target == SLOW_TARGET
        interval_s = SLOW_EVENT_INTERVAL_S if is_slow else EVENT_INTERVAL_S
        writer.write(head)
        for number, event in enumerate(events):
            if number == 3 and fault is _StreamFault.CUT:
                writer.write(b"%x\r\n" % len(event) + event[:5])
                writer.transport.abort()
                return
            if number == 3 and fault is _StreamFault.FOREIGN:
                await self._write_foreign_bytes(writer)
                return
            writer.write(b"%x\r\n" % len(event) + event + b"\r\n")
            await writer.drain()
            await asyncio.sleep(interval_s)
        writer.write(b"0\r\n\r\n")

    async def _write_wrong_byte(
        self, writer: asyncio.StreamWriter, head: bytes, events: list[bytes]
    ) -> None:
        """Write an answer with one wrong byte, some events at a time."""
        n = self._rng.randint(1, len(events))
        chunks = [b"".join(events[i : i + n]) for i in range(0, len(events), n)]
        pieces = [b"%x\r\n%s\r\n" % (len(chunk), chunk) for chunk in chunks]
        for piece in spoil([head + pieces[0], *pieces[1:], b"0\r\n\r\n"], self._rng):
            writer.write(piece)
            await writer.drain()
            await asyncio.sleep(EVENT_INTERVAL_S)

    async def _write_foreign_bytes(self, writer: asyncio.StreamWriter) -> None:
        """Write bytes that are no events until the router closes the connection."""
        block = self._rng.choice(FOREIGN_BLOCKS)
        while not writer.transport.is_closing():
            if block is None:
                data = self._rng.randbytes(FOREIGN_BYTES) + b"\n\n"
            else:
                data = block * (FOREIGN_BYTES // len(block))
            writer.write(b"%x\r\n" % len(data) + data + b"\r\n")
            await writer.drain()
            await asyncio.sleep(FOREIGN_INTERVAL_S)


class Caller:
    """Sends one request after the other, on one connection until that closes.

    Attributes:
        last_success_at: Loop time of the last complete 200 answer; 0 for none.
    """

    def __init__(
        self, name: str, addresses: list[tuple[str, int]], ledger: Ledger, rng: Random
    ) -> None:
        self._name = name
        self._addresses = addresses
        self._ledger = ledger
        self._rng = rng
        self._number = 0
        self._conn: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
        self._address = ("", 0)
        self.last_success_at = 0.0

    async def run(self) -> None:
        """Send requests until cancelled."""
        while True:
            await self._send_one()
            await asyncio.sleep(self._rng.uniform(0.0, 0.04))

    async def _send_one(self) -> None:
        self._number += 1
        request_id = f"{self._name}-{self._number}"
        kind = self._rng.choice(list(PATHS))
        self._ledger.record_sent(request_id, kind)
        body = b"" if PATHS[kind] == "GET" else request_id.encode()
        headers = self._prompt_headers() if kind == "revise" else {}
        status, answer, whole = await self._attempt(kind, request_id, body, headers)
        self._ledger.record_answer(request_id, status, answer, whole)
        if status == 200 and whole:
            self.last_success_at = asyncio.get_running_loop().time()
        elif kind == "revise" and status == 200:
            await self._take_up(request_id, body, headers, answer)

    async def _attempt(
        self, kind: str, request_id: str, body: bytes, headers: dict[str, str]
    ) -> tuple[int, bytes, bool]:
        data = encode_request(
            f"/{kind}/a",
            PATHS[kind],
            body,
            chicorylead_attempt_id=request_id,
            chicorylead_deadline_ms=str(DEADLINE_MS),
            **headers,
        )
        try:
            async with asyncio.timeout(DEADLINE_MS / 1000):
                return await self._exchange(request_id, data)
        except (OSError, EOFError, TimeoutError):
            self._close()
            return 0, b"", False

    async def _take_up(
        self, request_id: str, body: bytes, headers: dict[str, str], received: bytes
    ) -> None:
        """Go on with a stream that has broken off, at any router."""
        for number in range(MAX_TAKE_UPS):
            received, _, _ = received.rpartition(b"\n\n")
            if not received:
                return  # no event came, so that there is nothing to go on with
            received += b"\n\n"
            await asyncio.sleep(self._rng.uniform(0.0, MAX_TAKE_UP_PAUSE_S))
            attempt = f"{request_id}-again{number}"
            self._ledger.record_sent(attempt, "revise")
            again = {
                **headers,
                "resumes": request_id,
                "last_event_id": str(received.count(b"\n\n")),
            }
            status, rest, whole = await self._attempt("revise", attempt, body, again)
            if status != 200:
                self._ledger.record_answer(attempt, status, rest, whole, request_id)
                continue
            received += rest
            self._ledger.record_answer(attempt, status, received, whole, request_id)
            if whole:
                return

    def _prompt_headers(self) -> dict[str, str]:
        """Return the headers of a prompt, of which some hold the deadly part."""
        shared = ["aa:100", self._rng.choice(("b1:100", "b2:100", "b3:100"))]
        if self._rng.random() < DEADLY_RATIO:
            shared.append(f"{DEADLY_PART}:100")
        own = f"{self._rng.getrandbits(48):012x}:50"
        return {
            "chicorylead_prefix_hash": ",".join([*shared, own]),
            "chicorylead_token_counts": f"{100 * len(shared) + 50},20",
        }

    def _close(self) -> None:
        if self._conn is not None:
            self._conn[1].transport.abort()
            self._conn = None

    async def _exchange(self, request_id: str, data: bytes) -> tuple[int, bytes, bool]:
        if self._conn is None:
            self._address = self._rng.choice(self._addresses)
            self._conn = await asyncio.open_connection(*self._address)
        reader, writer = self._conn
        self._ledger.record_router(request_id, self._address)
        writer.write(data)
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
        status = int(head.split(" ")[1])
        body, whole = await _read_body(reader, head)
        if not whole or "connection: close" in head:
            self._close()
        return status, body, whole


async def _read_body(reader: asyncio.StreamReader, head: str) -> tuple[bytes, bool]:
    body = b""
    try:
        if "transfer-encoding: chunked" in head:
            while size := int(await reader.readuntil(b"\r\n"), 16):
                body += (await reader.readexactly(size + 2))[:-2]
            await reader.readuntil(b"\r\n")
            return body, True
        _, _, rest = head.partition("content-length: ")
        return await reader.readexactly(int(rest.split("\r\n")[0] or 0)), True
    except (OSError, EOFError, asyncio.IncompleteReadError):
        return body, False
