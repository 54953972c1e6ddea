"""Callers: ask for addresses, send requests, check every byte of the answers."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from random import Random

import msgspec
from aiohttp import (
    ClientError,
    ClientSession,
    ClientTimeout,
    TCPConnector,
    encode_basic_auth,
)

from bench.fleet import Fleet
from bench.profile import OrganisationPlan
from chicorylead.standin.engine import token_at
from chicorylead.standin.service import answer_to
from chicorylead.vm.rendezvous import hash64

__all__ = ["Callers", "End", "Sent", "Work"]

ADDRESS_LIFETIME_S = 5.0
MAX_ATTEMPTS = 4
CALL_TIMEOUT_S = 90.0
FIRST_ADDRESS_PART = 0.8


class End(Enum):
    """How a request ended for its caller."""

    ANSWERED = "answered"
    REFUSED_NOT_RUN = "refused_not_run"
    FAILED = "failed"
    LOST = "lost"
    WRONG = "wrong"


@dataclass(frozen=True)
class Work:
    """One request to send.

    Attributes:
        n_tokens: Length of an engine's answer; 0 for a plain call.
        work_s: Duration of a plain call, seconds.
        is_once: Whether it must not run twice.
        is_long: Whether it is long work, for the figures.
        deadline_s: Time in which the answer is wanted, seconds.
    """

    organisation: OrganisationPlan
    service: str
    operation: str
    n_tokens: int = 0
    work_s: float = 0.0
    is_once: bool = False
    is_long: bool = False
    deadline_s: float = 30.0


@dataclass
class Sent:
    """One request as its caller saw it.

    Attributes:
        marker: Text by which stand-ins tell the request.
        first_s: Time to the first event, seconds; negative when there was none.
    """

    work: Work
    marker: str
    at: float
    end: End = End.LOST
    ended_at: float = 0.0
    first_s: float = -1.0
    gaps_s: list[float] = field(default_factory=list)
    detail: str = ""


class Callers:
    """All callers of an experiment.

    Args:
        fleet: Fleet that they use.
        seed: Seed of their choices.
    """

    def __init__(self, fleet: Fleet, seed: int) -> None:
        self._fleet = fleet
        self._rng = Random(seed)
        self._clock = asyncio.get_running_loop().time
        self._session = ClientSession(
            connector=TCPConnector(limit=0, keepalive_timeout=10.0),
            timeout=ClientTimeout(total=CALL_TIMEOUT_S, sock_connect=2.0),
        )
        self._addresses: dict[str, tuple[float, list[str]]] = {}
        self._n_sent = 0
        self._tasks: set[asyncio.Task[None]] = set()
        self.sent: list[Sent] = []
        self.open_cost: dict[str, int] = {}

    async def close(self) -> None:
        """Drop what is in flight and close connections."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._session.close()

    async def drain(self, timeout_s: float) -> None:
        """Wait for requests in flight."""
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=timeout_s)

    def n_open(self, organisation: str) -> int:
        """Return the engine requests of an organisation that are not ended."""
        return self.open_cost.get(organisation, 0)

    def send(self, work: Work, on_end: Callable[[], None] | None = None) -> Sent:
        """Send a request without waiting for it."""
        self._n_sent += 1
        marker = f"{work.organisation.name}/{self._n_sent}"
        sent = Sent(work, marker, self._clock())
        self.sent.append(sent)
        task = asyncio.create_task(self._send(sent, on_end))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return sent

    async def _send(self, sent: Sent, on_end: Callable[[], None] | None) -> None:
        name = sent.work.organisation.name
        if sent.work.n_tokens:
            self.open_cost[name] = self.open_cost.get(name, 0) + 1
        try:
            await self._attempt_until_answered(sent)
        except Exception as exc:
            sent.detail = repr(exc)
        finally:
            sent.ended_at = self._clock()
            if sent.work.n_tokens:
                self.open_cost[name] -= 1
            if on_end is not None:
                on_end()

    async def _attempt_until_answered(self, sent: Sent) -> None:
        """Send, and send again to another address when a connection is lost."""
        deadline = sent.at + sent.work.deadline_s
        tried: list[str] = []
        for number in range(MAX_ATTEMPTS):
            address = await self._address(sent.work.organisation, tried)
            tried.append(address)
            try:
                await self._exchange(sent, address, deadline)
                return
            except (TimeoutError, ClientError, OSError) as exc:
                sent.detail = repr(exc)
                self._addresses.pop(sent.work.organisation.name, None)
                if self._clock() > deadline:
                    return
                await asyncio.sleep(self._rng.uniform(0, 0.2 * 2**number))

    async def _address(self, plan: OrganisationPlan, tried: list[str]) -> str:
        now = self._clock()
        at, addresses = self._addresses.get(plan.name, (float("-inf"), []))
        if now - at > ADDRESS_LIFETIME_S:
            addresses = await self._ask_addresses(plan, addresses)
            self._addresses[plan.name] = (now, addresses)
        fresh = [a for a in addresses if a not in tried] or addresses
        if len(fresh) == 1 or self._rng.random() < FIRST_ADDRESS_PART:
            return fresh[0]
        return self._rng.choice(fresh[1:])

    async def _ask_addresses(self, plan: OrganisationPlan, old: list[str]) -> list[str]:
        """Ask any entry VM; keep the old answer when none answers."""
        entries = [r.caller_address for r in self._fleet.routers.values()]
        self._rng.shuffle(entries)
        zones = self._fleet.profile.zones
        zone = zones[hash64(plan.name) % len(zones)]
        for entry in entries:
            try:
                async with self._session.get(
                    f"http://{entry}/v1/address?zone={zone}",
                    headers={"Authorization": encode_basic_auth(plan.name, plan.token)},
                    timeout=ClientTimeout(total=1.0),
                ) as resp:
                    body = msgspec.json.decode(await resp.read())
                    found = [entry["address"] for entry in body["addresses"]]
                    if found:
                        return found
            except (TimeoutError, ClientError, OSError):
                continue
        return old or entries

    # -- one exchange

    async def _exchange(self, sent: Sent, address: str, deadline: float) -> None:
        work = sent.work
        left_ms = max(1, int((deadline - self._clock()) * 1000))
        headers = {
            "Authorization": encode_basic_auth(
                work.organisation.name, work.organisation.token
            ),
            "Chicorylead-Deadline-Ms": str(left_ms),
        }
        if work.n_tokens:
            headers["Accept"] = "text/event-stream"
        body = self._body(sent)
        url = f"http://{address}/v2/{work.service}/{work.operation}"
        async with self._session.post(url, data=body, headers=headers) as resp:
            if resp.status != 200:
                self._note_refusal(sent, resp.status, await resp.read())
                return
            if work.n_tokens:
                await self._read_stream(sent, resp.content)
                return
            answer = await resp.read()
        sent.end = End.ANSWERED if answer == answer_to(body) else End.WRONG

    def _body(self, sent: Sent) -> bytes:
        work = sent.work
        if work.n_tokens:
            fields: dict[str, object] = {
                "prompt": f"{sent.marker}: glossary",
                "n_tokens": work.n_tokens,
                "marker": sent.marker,
            }
        else:
            fields = {"marker": sent.marker, "work_s": work.work_s}
            if work.is_once:
                fields["edition"] = sent.marker
        return msgspec.json.encode(fields)

    def _note_refusal(self, sent: Sent, status: int, raw: bytes) -> None:
        body = msgspec.json.decode(raw) if raw.startswith(b"{") else {}
        sent.detail = f"{status} {body.get('error', raw[:80])} {body.get('detail', '')}"
        not_run = body.get("run_state") == "not_run"
        sent.end = End.REFUSED_NOT_RUN if not_run else End.FAILED

    async def _read_stream(self, sent: Sent, content) -> None:  # noqa: ANN001
        last = 0.0
        parts = []
        async for data in content.iter_any():
            now = self._clock()
            if sent.first_s < 0:
                sent.first_s = now - sent.at
            else:
                sent.gaps_s.append(now - last)
            last = now
            parts.append(data)
        self._check_stream(sent, b"".join(parts))

    def _check_stream(self, sent: Sent, raw: bytes) -> None:
        prompt = f"{sent.marker}: glossary"
        expected = b"".join(
            b"id: %d\ndata: %s\n\n" % (i, token_at(prompt, i).encode())
            for i in range(sent.work.n_tokens)
        )
        at = raw.rfind(b"event: ")
        events, last = raw[:at], raw[at:]
        if at < 0:
            sent.detail = f"stream ended after {raw.count(b'data: ')} events"
            sent.end = End.LOST
        elif last.startswith(b"event: error"):
            sent.detail = last.decode()
            sent.end = End.FAILED
        elif events == expected:
            sent.end = End.ANSWERED
        else:
            sent.detail = f"{events.count(b'data: ')} of {sent.work.n_tokens} events"
            sent.end = End.WRONG
