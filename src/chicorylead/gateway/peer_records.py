"""Fetches records from peers when the store is unavailable to this router."""

import asyncio
from collections.abc import Callable, Mapping

import msgspec
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from chicorylead.gateway.follower import StreamFollower
from chicorylead.http_client import HttpClient, HttpResponse
from chicorylead.logs import EventLog
from chicorylead.metrics import Metrics
from chicorylead.peer.protocol import Beacon, Peer
from chicorylead.traffic.stream import Stream, StreamPage
from chicorylead.upstream.connection import Failure

__all__ = ["PeerRecords"]

CHECK_INTERVAL_S = 0.2  # 1/10 of the time in which a change must apply
STORE_GRACE_S = 0.3  # a store that answers usually delivers sooner
FETCH_TIMEOUT_S = 1.0  # many times the duration of a transfer between zones
_PATH = "/v1/streams/{stream}"


class PeerRecords:
    """Serves the known records to peers, and fetches those that only peers know.

    Args:
        followers: The follower of each stream.
        peers: Returns the live peers.
    """

    def __init__(
        self,
        followers: Mapping[Stream, StreamFollower],
        peers: Callable[[], list[Peer]],
        log: EventLog,
        metrics: Metrics,
    ) -> None:
        self._followers = followers
        self._peers = peers
        self._log = log
        self._metrics = metrics
        self._clock = asyncio.get_running_loop().time
        self._behind_since: dict[Stream, float] = {}
        self._client = HttpClient()

    def routes(self) -> list[Route]:
        """Return the HTTP routes for peers."""
        return [Route(_PATH, self._serve)]

    async def close(self) -> None:
        """Close connections to peers."""
        await self._client.close()

    async def run(self) -> None:
        """Fetch missing records at intervals until cancelled."""
        while True:
            await self.fetch_missing()
            await asyncio.sleep(CHECK_INTERVAL_S)

    async def fetch_missing(self) -> None:
        """Fetch from peers the records that this router lacks."""
        for stream, follower in self._followers.items():
            await self._fetch_if_behind(stream, follower)

    async def _fetch_if_behind(self, stream: Stream, follower: StreamFollower) -> None:
        index = list(Stream).index(stream)
        most_advanced = max(
            self._peers(), key=lambda peer: peer.end_offsets[index], default=None
        )
        now = self._clock()
        if most_advanced is None or most_advanced.end_offsets[index] <= follower.end:
            self._behind_since.pop(stream, None)
            return
        since = self._behind_since.setdefault(stream, now)
        if not follower.is_connected or now - since >= STORE_GRACE_S:
            await self._fetch(stream, follower, most_advanced.beacon)

    async def _fetch(
        self, stream: Stream, follower: StreamFollower, beacon: Beacon
    ) -> None:
        host, _, port = beacon.control.rpartition(":")
        try:
            response = await self._client.get(
                (host, int(port)),
                _PATH.format(stream=stream.value),
                {},
                FETCH_TIMEOUT_S,
            )
            page = _decode(response)
        except (Failure, ValueError) as exc:
            self._metrics.count("peer.fetch_errors")
            self._log.warning(
                "peer_fetch_failed", peer=beacon.id, stream=stream, reason=repr(exc)
            )
            return
        follower.apply_peer_page(page, beacon.id)

    async def _serve(self, req: Request) -> Response:
        try:
            follower = self._followers[Stream(req.path_params["stream"])]
        except ValueError:
            return Response(status_code=404)
        if not follower.is_complete:
            return Response(status_code=503)
        return Response(
            msgspec.msgpack.encode(follower.page()),
            media_type="application/msgpack",
        )


def _decode(response: HttpResponse) -> StreamPage:
    """Decode the records of a peer.

    Raises:
        ValueError: The peer has none, or they are malformed.
    """
    if response.status != 200:
        raise ValueError(f"status {response.status}")
    return msgspec.msgpack.decode(response.body, type=StreamPage)
