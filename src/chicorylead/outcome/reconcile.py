"""Query the upstreams of a service for the outcome of an idempotency key."""

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

QUERY_TIMEOUT_S = 1.0
POLL_PERIOD_S = 0.25


class _UpstreamOutcome(Struct):
    """State of a key as an upstream reports it at `/outcomes/KEY`."""

    state: str
    answer: str = ""


class Reconciler:
    """Determines how a request ended when its exchange or its holder was lost.

    Args:
        store: Records in force. A service's record says whether the service can be
            queried for outcomes.
        view: View of the fleet.
        client: Sends the queries to upstreams.
    """

    def __init__(
        self, store: RecordStore, view: FleetView, client: ExchangeClient
    ) -> None:
        self._store = store
        self._view = view
        self._client = client
        self._clock = asyncio.get_running_loop().time

    def is_holder_gone(self, claim: Claim) -> bool:
        """Tell whether the router that holds a claim can no longer settle it.

        It cannot when it is gone or was restarted since.
        """
        own = self._view.own
        if claim.router == own.id:
            return claim.incarnation != own.incarnation
        member = self._view.member(RouterId(claim.router))
        if member is None or member.state is MemberState.GONE:
            return True
        return member.incarnation > claim.incarnation

    async def query(self, req: CallerRequest) -> PlainAnswer | None:
        """Return the answer of a request that ran, or None if that is unknown.

        A key that no upstream knows proves nothing, as the request may still be in
        transit. Only a finished run counts.
        """
        if not req.service.can_reconcile or req.key is None:
            return None
        while self._clock() < req.deadline:
            outcomes = await self._query_all(req)
            done = next((o for o in outcomes if o.state == "done"), None)
            if done is not None:
                return PlainAnswer(200, "application/json", done.answer.encode())
            if not any(o.state == "running" for o in outcomes):
                return None
            await asyncio.sleep(POLL_PERIOD_S)
        return None

    async def _query_all(self, req: CallerRequest) -> list[_UpstreamOutcome]:
        upstreams = self._store.upstreams(req.service.name)
        queries = [
            self._query_upstream(self._view.upstream_address(upstream), req.claim_key)
            for upstream in upstreams
        ]
        outcomes = await asyncio.gather(*queries)
        return [outcome for outcome in outcomes if outcome is not None]

    async def _query_upstream(self, address: str, key: str) -> _UpstreamOutcome | None:
        try:
            body = await self._client.get(address, f"/outcomes/{key}", QUERY_TIMEOUT_S)
            return msgspec.json.decode(body, type=_UpstreamOutcome)
        except (Break, msgspec.DecodeError):
            return None
