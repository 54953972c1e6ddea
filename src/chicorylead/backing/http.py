"""Client of a platform that offers its interfaces over HTTP."""

from typing import TypeVar

import msgspec
from aiohttp import ClientError, ClientSession, ClientTimeout, TCPConnector

from chicorylead.backing.api import LogPage, PlatformUnavailable, VmList
from chicorylead.ids import Offset
from chicorylead.settings import PlatformSettings

__all__ = ["HttpPlatform"]

T = TypeVar("T")

WIRE_OVERHEAD_BYTES = 480  # HTTP, TCP and IP headers of request, response and ACKs


class HttpPlatform:
    """Calls the platform over HTTP.

    Args:
        cfg: URL, credential and timeouts.
        client_id: Id of this process, sent to the platform with each call.
    """

    def __init__(self, cfg: PlatformSettings, client_id: str) -> None:
        self._cfg = cfg
        headers = {"Authorization": f"Bearer {cfg.token}", "X-Viewer": client_id}
        connector = TCPConnector(limit=16, keepalive_timeout=15.0)
        self._session = ClientSession(
            connector=connector,
            headers=headers,
            skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding"),
        )
        self.n_bytes: dict[str, int] = {}

    async def append(self, stream: str, data: str) -> Offset:
        """Append an entry and return its offset."""
        body = await self._call("POST", f"/log/{stream}", data.encode())
        return self._decode(body, _AppendResponse).offset

    async def read(
        self, stream: str, start: Offset, limit: int = 500, wait_s: float = 0.0
    ) -> LogPage:
        """Read entries from an offset, waiting for one if there is none yet."""
        path = f"/log/{stream}?from={start}&limit={limit}&wait_ms={int(wait_s * 1e3)}"
        body = await self._call("GET", path, extra_s=wait_s)
        return self._decode(body, LogPage)

    async def list_vms(self, since: int = 0) -> VmList:
        """Return the list of VMs, or what changed since a version."""
        return self._decode(await self._call("GET", f"/vms?since={since}"), VmList)

    async def reserve_weights(self, model: str) -> float:
        """Reserve a transfer of weights; return the wait in seconds, 0 if granted."""
        body = await self._call("POST", f"/weights/{model}/reserve")
        return self._decode(body, _ReserveResponse).wait_s

    async def close(self) -> None:
        """Release connections."""
        await self._session.close()

    async def _call(
        self, method: str, path: str, data: bytes | None = None, extra_s: float = 0.0
    ) -> bytes:
        timeout = ClientTimeout(total=self._cfg.request_timeout_s + extra_s)
        url = self._cfg.url + path
        try:
            async with self._session.request(
                method, url, data=data, timeout=timeout
            ) as resp:
                body = await resp.read()
                self._count_bytes(path, len(data or b"") + len(body))
                if resp.status != 200:
                    raise PlatformUnavailable(f"{method} {path}: {resp.status}")
                return body
        except (TimeoutError, ClientError, OSError) as exc:
            reason = str(exc) or type(exc).__name__
            raise PlatformUnavailable(f"{method} {path}: {reason}") from exc

    def _count_bytes(self, path: str, payload_bytes: int) -> None:
        """Count wire bytes by subject, taken from the path: `log.config`, `vms`."""
        part = path.partition("?")[0].strip("/").replace("/", ".")
        subject = part.partition("-")[0]
        wire_bytes = payload_bytes + len(path) + WIRE_OVERHEAD_BYTES
        self.n_bytes[subject] = self.n_bytes.get(subject, 0) + wire_bytes

    def _decode(self, body: bytes, type_: type[T]) -> T:
        try:
            return msgspec.json.decode(body, type=type_)
        except msgspec.DecodeError as exc:
            raise PlatformUnavailable(f"response cannot be decoded: {exc}") from exc


class _AppendResponse(msgspec.Struct):
    offset: Offset


class _ReserveResponse(msgspec.Struct):
    wait_s: float
