"""Answers callers' address look-ups with the serving routers.

If they exceed one answer, each caller gets a subset of it. The subset of a caller
is stable, so that it keeps its connections, and all routers get callers.
"""

from collections.abc import Awaitable, Callable, Collection, Iterable

from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from chicorylead.gateway.serving_routers import ServingRouters
from chicorylead.gateway.settings import GatewaySettings
from chicorylead.ids import RegionName
from chicorylead.peer.membership import Peer
from chicorylead.platform.caller import (
    ADDRESS_PATH,
    READINESS_PATH,
    AddressQuery,
    decode_address_query,
    encode_addresses,
)
from chicorylead.vm.nearby import choose_nearby
from chicorylead.vm.rendezvous import rank

__all__ = ["Directory"]

MAX_ADDRESSES = 64  # callers read at most this many
Confirm = Callable[[Iterable[Peer]], Awaitable[None]]
LIFETIME_FRACTION = 0.4  # callers drop a lost router well before the limit


class Directory:
    """Serves callers' address look-ups and the platform's readiness checks.

    Args:
        cfg: Settings of this router.
        serving: The routers that callers are told to use.
        homes: Returns the home regions of the operations of a host; may be empty.
        confirm: Waits for signs of life of peers that were not heard lately.
    """

    def __init__(
        self,
        cfg: GatewaySettings,
        serving: ServingRouters,
        homes: Callable[[str], Collection[RegionName]] = lambda host: (),
        confirm: Confirm | None = None,
    ) -> None:
        self._cfg = cfg
        self._serving = serving
        self._homes = homes
        self._confirm = confirm

    def routes(self) -> list[Route]:
        """Return the HTTP routes."""
        return [
            Route(ADDRESS_PATH, self._addresses),
            Route(READINESS_PATH, self._readiness),
        ]

    def addresses_for(
        self, caller: str, query: AddressQuery | None = None
    ) -> list[str]:
        """Return the router addresses for a caller."""
        addresses = self._serving.addresses()
        if query is not None:
            region = query.region or self._cfg.regions.get(query.zone)
            addresses = choose_nearby(
                addresses, self._serving.regions(), region, self._homes(query.host)
            )
        if len(addresses) > MAX_ADDRESSES:
            addresses = rank(caller, addresses)[:MAX_ADDRESSES]
        return sorted(addresses)

    async def _addresses(self, req: Request) -> Response:
        caller = req.client.host if req.client is not None else ""
        if self._confirm is not None:
            await self._confirm(self._serving.serving_peers())
        query = decode_address_query(req.query_params)
        addresses = self.addresses_for(caller, query)
        if not addresses:
            return Response(status_code=503)
        lifetime_s = LIFETIME_FRACTION * self._cfg.bounds.address_lifetime_s
        body = encode_addresses(addresses, lifetime_s)
        return Response(body, media_type="application/json")

    async def _readiness(self, req: Request) -> Response:
        return Response(status_code=200 if self._serving.is_ready else 503)
