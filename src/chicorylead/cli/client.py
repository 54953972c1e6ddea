"""HTTP client that commands use to call routers."""

from collections.abc import Mapping
from typing import Any

import msgspec
from aiohttp import ClientError, ClientSession, ClientTimeout, encode_basic_auth
from result import Err, Ok, Result

from chicorylead.vm.address import AddressAnswer

__all__ = ["CallError", "RouterClient"]

TIMEOUT_S = 15.0
CONNECT_TIMEOUT_S = 2.0


class CallError(msgspec.Struct, frozen=True):
    """Why a call failed.

    Attributes:
        status: HTTP status; 0 if there was no valid answer.
        text: Message for the user.
    """

    status: int
    text: str


class RouterClient:
    """Client of one router.

    Args:
        address: IP address and port.
        token: Operator credential; empty for calls that need none.
    """

    def __init__(self, address: str, token: str = "") -> None:
        self.address = address
        headers = {"Authorization": f"Bearer {token}"} if token else {}
        timeout = ClientTimeout(total=TIMEOUT_S, connect=CONNECT_TIMEOUT_S)
        self._session = ClientSession(headers=headers, timeout=timeout)

    async def __aenter__(self) -> "RouterClient":
        return self

    async def __aexit__(self, *exc: object) -> None:
        await self._session.close()

    async def get(self, path: str) -> Result[Any, CallError]:
        """Send a GET request and return the decoded JSON answer."""
        return await self._call("GET", path, None, {})

    async def post(
        self,
        path: str,
        body: bytes,
        headers: Mapping[str, str] | None = None,
        organisation: tuple[str, str] | None = None,
    ) -> Result[Any, CallError]:
        """Send a POST request and return the decoded JSON answer.

        Args:
            path: Path of the URL.
            body: Body of the request.
            headers: Additional headers.
            organisation: Name and token of the calling organisation.
        """
        auth = encode_basic_auth(*organisation) if organisation else None
        extra = {"Authorization": auth} if auth else {}
        return await self._call("POST", path, body, {**(headers or {}), **extra})

    async def addresses(self) -> Result[AddressAnswer, CallError]:
        """Return the addresses of the routers that callers should use."""
        answer = await self.get("/v1/address")
        return answer.map(lambda body: msgspec.convert(body, AddressAnswer))

    async def _call(
        self, method: str, path: str, body: bytes | None, headers: Mapping[str, str]
    ) -> Result[Any, CallError]:
        url = f"http://{self.address}{path}"
        try:
            async with self._session.request(
                method, url, data=body, headers=headers
            ) as resp:
                raw = await resp.read()
                if resp.status != 200:
                    return Err(CallError(resp.status, _error_text(raw, resp.status)))
                return Ok(msgspec.json.decode(raw))
        except (ClientError, OSError, TimeoutError) as exc:
            reason = str(exc) or type(exc).__name__
            return Err(CallError(0, f"{self.address}: {reason}"))
        except msgspec.DecodeError as exc:
            return Err(CallError(0, f"{self.address}: cannot decode answer: {exc}"))


def _error_text(raw: bytes, status: int) -> str:
    try:
        body = msgspec.json.decode(raw)
        return f"{body['error']}: {body['detail']}"
    except (msgspec.DecodeError, KeyError, TypeError):
        return f"status {status}"
