"""Fetches from peers the records that this router lacks."""

import asyncio
import contextlib
from collections.abc import Callable, Mapping

import msgspec
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from chicorylead.decoding import decode_msgpack
from chicorylead.gateway.follower import StreamFollower
from chicorylead.http_client import HttpClient, HttpResponse
from chicorylead.ids import ZoneName
from chicorylead.logs import EventLog
from chicorylead.metrics import Metrics
from chicorylead.peer.datagram import Presence
from chicorylead.peer.membership import Peer
from chicorylead.traffic.stream import KnownRecords, PeerPage, Position, Stream
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
        own: Returns how far this router knows the streams.
        peers: Returns the live peers.
        zone: Availability zone of this router.
    """

    def __init__(
        self,
        followers: Mapping[Stream, StreamFollower],
        own: Callable[[], KnownRecords],
        peers: Callable[[], list[Peer]],
        zone: ZoneName,
        log: EventLog,
        metrics: Metrics,
    ) -> None:
        self._followers = followers
        self._own = own
        self._peers = peers
        self._zone = zone
        self._woken = asyncio.Event()
        self._log = log
        self._metrics = metrics
        self._clock = asyncio.get_running_loop().time
        self._behind_since: dict[Stream, float] = {}
        self._client = HttpClient()

    def routes(self) -> list[Route]:
        """Return the HTTP routes for peers."""
        return [Route(_PATH, self._serve)]

    def behind_s(self, stream: Stream) -> float:
        """Return for how long a peer is known to have had more records, seconds."""
        since = self._behind_since.get(stream)
        return 0.0 if since is None else self._clock() - since

    async def close(self) -> None:
        """Close connections to peers."""
        await self._client.close()

    async def run(self) -> None:
        """Fetch missing records when woken and at intervals, until cancelled."""
        while True:
            self._woken.clear()
            await self.fetch_missing()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(CHECK_INTERVAL_S):
                    await self._woken.wait()

    def wake(self) -> None:
        """Check at once whether a peer knows more records."""
        self._woken.set()

    async def fetch_missing(self) -> None:
        """Fetch from peers the records that this router lacks."""
        for stream, follower in self._followers.items():
            await self._fetch_if_behind(stream, follower)

    async def _fetch_if_behind(self, stream: Stream, follower: StreamFollower) -> None:
        own = self._own()
        # Bytes between zones are billed.
        most_advanced = max(
            (peer for peer in self._peers() if peer.known.is_ahead_of(own, stream)),
            key=lambda peer: (
                peer.known.rank(stream),
                peer.presence.zone == self._zone,
                peer.last_heard_at,
            ),
            default=None,
        )
        now = self._clock()
        if most_advanced is None:
            self._behind_since.pop(stream, None)
            return
        since = self._behind_since.setdefault(stream, now)
        if not follower.is_connected or now - since >= STORE_GRACE_S:
            await self._fetch(stream, follower, most_advanced.presence)

    async def _fetch(
        self, stream: Stream, follower: StreamFollower, peer: Presence
    ) -> None:
        host, _, port = peer.control.rpartition(":")
        try:
            response = await self._client.get(
                (host, int(port)),
                _PATH.format(stream=stream.value),
                {"era": str(follower.end.era), "from": str(follower.end.offset)},
                FETCH_TIMEOUT_S,
            )
            page = _decode(response)
        except (Failure, ValueError) as exc:
            self._metrics.count("peer.fetch_errors")
            self._log.warning(
                "peer_fetch_failed", peer=peer.id, stream=stream, reason=repr(exc)
            )
            return
        follower.apply_peer_page(page, peer.id)

    async def _serve(self, req: Request) -> Response:
        try:
            follower = self._followers[Stream(req.path_params["stream"])]
        except ValueError:
            return Response(status_code=404)
        try:
            params = req.query_params
            start = Position(int(params.get("era", "0")), int(params.get("from", "0")))
        except ValueError:
            return Response(status_code=400)
        if not follower.is_complete:
            return Response(status_code=503)
        return Response(
            msgspec.msgpack.encode(follower.page_since(start)),
            media_type="application/msgpack",
        )


def _decode(response: HttpResponse) -> PeerPage:
    """Decode the records of a peer.

    Raises:
        ValueError: The peer has none, or they are malformed.
    """
    if response.status != 200:
        raise ValueError(f"status {response.status}")
    return decode_msgpack(msgspec.msgpack.Decoder(PeerPage), response.body)
