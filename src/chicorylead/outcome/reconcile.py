"""Ask the upstreams of a service what became of an idempotency key."""

import asyncio

import msgspec
from msgspec import Struct

from chicorylead.ids import RouterId
from chicorylead.outcome.claim import Claim
from chicorylead.records.store import RecordStore
from chicorylead.request import CallerRequest
from chicorylead.upstream.exchange import Break, ExchangeClient, PlainAnswer
from chicorylead.vm.view import FleetView, MemberState

__all__ = ["Reconciler"]

ASK_TIMEOUT_S = 1.0
ASK_PERIOD_S = 0.25


class _Told(Struct):
    """What an upstream tells of a key."""

    state: str
    answer: str = ""


class Reconciler:
    """Find out how a request ended when its exchange or its holder was lost.

    Args:
        store: Records in force; a service's record says whether it can tell.
        view: View of the fleet.
        client: Reads pages of upstreams.
    """

    def __init__(
        self, store: RecordStore, view: FleetView, client: ExchangeClient
    ) -> None:
        self._store = store
        self._view = view
        self._client = client
        self._clock = asyncio.get_running_loop().time

    def is_holder_gone(self, claim: Claim) -> bool:
        """Tell whether the router that holds a claim can no longer settle it."""
        own = self._view.own
        if claim.router == own.id:
            return claim.incarnation != own.incarnation
        member = self._view.member(RouterId(claim.router))
        if member is None or member.state is MemberState.GONE:
            return True
        return member.incarnation > claim.incarnation

    async def ask(self, req: CallerRequest) -> PlainAnswer | None:
        """Return the answer of a request that ran; None when nobody can tell.

        A key that no upstream knows proves nothing: the request may still be on
        its way. So only a finished run counts.
        """
        if not req.service.can_reconcile or req.key is None:
            return None
        while self._clock() < req.deadline:
            told = await self._ask_all(req)
            done = next((t for t in told if t.state == "done"), None)
            if done is not None:
                return PlainAnswer(200, "application/json", done.answer.encode())
            if not any(t.state == "running" for t in told):
                return None
            await asyncio.sleep(ASK_PERIOD_S)
        return None

    async def _ask_all(self, req: CallerRequest) -> list[_Told]:
        upstreams = self._store.upstreams(req.service.name)
        asked = [
            self._ask_one(self._view.upstream_address(upstream), req.claim_key)
            for upstream in upstreams
        ]
        answers = await asyncio.gather(*asked)
        return [told for told in answers if told is not None]

    async def _ask_one(self, address: str, key: str) -> _Told | None:
        try:
            body = await self._client.get(address, f"/outcomes/{key}", ASK_TIMEOUT_S)
            return msgspec.json.decode(body, type=_Told)
        except (Break, msgspec.DecodeError):
            return None
