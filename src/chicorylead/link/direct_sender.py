"""Messages outside the reporting tree: probes of lost routers, queries, answers."""

import asyncio
from collections.abc import Callable
from random import Random

import pynng

from chicorylead.ids import Offset, RouterId
from chicorylead.link.message import (
    Notice,
    Payload,
    Probe,
    RecordsQuery,
    RouterNotice,
)
from chicorylead.vm.view import FleetView, Member, MemberState

__all__ = ["DirectSender", "dial"]

PROBE_PERIOD_S = 3.0
PROBE_JITTER = 0.3
SEND_BUFFER = 16
N_SEND_TRIES = 20
SEND_RETRY_S = 0.05
LINGER_S = 0.5
RECONNECT_MIN_MS = 50
RECONNECT_MAX_MS = 500


def dial(address: str) -> pynng.Push0:
    """Open a sending socket that connects to an address in the background."""
    sock = pynng.Push0(send_buffer_size=SEND_BUFFER)
    sock.reconnect_time_min = RECONNECT_MIN_MS
    sock.reconnect_time_max = RECONNECT_MAX_MS
    sock.dial(f"tcp://{address}", block=False)
    return sock


class DirectSender:
    """Sends single messages, each on a separate socket.

    Args:
        view: View of the fleet.
        address: Address on which this router receives messages.
        send: Signs and sends a message on a socket; returns whether it was accepted.
        rng: Random generator for choices and jitter.
    """

    def __init__(
        self,
        view: FleetView,
        address: str,
        send: Callable[[pynng.Push0, Payload], bool],
        rng: Random,
    ) -> None:
        self._view = view
        self._address = address
        self._send = send
        self._rng = rng
        self._clock = asyncio.get_running_loop().time
        self._tasks: set[asyncio.Task[None]] = set()

    async def stop(self) -> None:
        """Discard messages that are not sent yet."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def send_once(self, address: str, payload: Payload) -> None:
        """Send one message in the background."""
        task = asyncio.create_task(self._send_and_close(address, payload))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _send_and_close(self, address: str, payload: Payload) -> None:
        with dial(address) as sock:
            for _ in range(N_SEND_TRIES):
                if self._send(sock, payload):
                    break
                await asyncio.sleep(SEND_RETRY_S)
            await asyncio.sleep(LINGER_S)

    # -- configuration

    def query_records(self, after: Offset) -> bool:
        """Ask one present router for configuration above an offset."""
        own = self._view.own
        others = [m for m in self._view.present() if m.id != own.id and m.link]
        if not others:
            return False
        chosen = self._rng.choice(sorted(others, key=lambda member: member.id))
        self.query_records_at(chosen.link, after)
        return True

    def query_records_at(self, address: str, after: Offset) -> None:
        """Ask the router at an address for configuration above an offset."""
        self.send_once(address, RecordsQuery(self._address, after))

    # -- probes

    async def probe_lost(self) -> None:
        """Probe lost routers periodically, to detect that they are back.

        A router that receives no messages, as after its own restart, probes any listed
        router.
        """
        while True:
            jitter = self._rng.uniform(1 - PROBE_JITTER, 1 + PROBE_JITTER)
            await asyncio.sleep(PROBE_PERIOD_S * jitter)
            targets = self._probe_targets()
            if targets:
                member = self._rng.choice(sorted(targets, key=lambda m: m.id))
                self.send_once(member.link, self._build_probe(member))

    def _probe_targets(self) -> list[Member]:
        others = [m for m in self._view.members() if m.id != self._view.own.id]
        listed = [m for m in others if m.listed and m.link]
        silent_since = self._clock() - PROBE_PERIOD_S
        if all(member.last_heard_at < silent_since for member in others):
            return listed
        return [m for m in listed if m.state is MemberState.GONE]

    def _build_probe(self, member: Member) -> Probe:
        """Return a probe with notices about the member and about this router."""
        own = self._view.own
        return Probe(
            self._address, [RouterNotice(member.notice), RouterNotice(own.notice)]
        )

    def has_wrong_state(self, notices: list[Notice]) -> bool:
        """Return whether a probe contains a wrong state of this router."""
        own = self._view.own.notice
        return any(
            isinstance(notice, RouterNotice)
            and notice.member.router == own.router
            and notice.member != own
            for notice in notices
        )

    def answer_probe(self, sender: RouterId, link: str, has_wrong_state: bool) -> None:
        """Answer if either side considers the other gone, so that it can refute it."""
        member = self._view.member(sender)
        is_gone = member is not None and member.state is MemberState.GONE
        if not (has_wrong_state or is_gone):
            return
        if member is not None and member.link:
            self.send_once(member.link, self._build_probe(member))
            return
        own = RouterNotice(self._view.own.notice)
        self.send_once(link, Probe(self._address, [own]))
