"""The answer to one caller, over ASGI."""

from collections.abc import Sequence

from starlette.types import Send

from chicorylead.memory.budget import Account

__all__ = ["CallerReply"]

Header = tuple[bytes, bytes]
_CLOSE = (b"connection", b"close")


class CallerReply:
    """Sends one answer.

    The server aborts an answer that was started and not finished, so that no caller
    takes it for complete.

    Args:
        send: The `send` callable of ASGI.
        close_connection: Whether to close the connection after the answer.
        account: What is held for the caller; None if it is not counted.

    Attributes:
        is_started: Whether the head was sent.
        is_finished: Whether the complete answer was sent.
    """

    def __init__(
        self, send: Send, close_connection: bool, account: Account | None = None
    ) -> None:
        self._send = send
        self._account = account
        self._n_held = 0
        self._close_connection = close_connection
        self.is_started = False
        self.is_finished = False

    def hold(self, n_bytes: int) -> bool:
        """Count bytes of an answer; return whether there is memory for more.

        Args:
            n_bytes: Bytes kept in addition; negative if some are no longer kept.
        """
        self._n_held += n_bytes
        if self._account is None:
            return True
        if n_bytes > 0:
            self._account.take(n_bytes)
        else:
            self._account.give(-n_bytes)
        return self._account.has_room

    def release(self) -> None:
        """Count all bytes that were kept as no longer kept."""
        self.hold(-self._n_held)

    async def start(self, status: int, headers: Sequence[Header]) -> None:
        """Send the status and headers."""
        lines = [*headers, _CLOSE] if self._close_connection else list(headers)
        self.is_started = True
        await self._send(
            {"type": "http.response.start", "status": status, "headers": lines}
        )

    async def write(self, data: bytes) -> None:
        """Send bytes of the body; waits while the caller does not read."""
        await self._send(
            {"type": "http.response.body", "body": data, "more_body": True}
        )

    async def finish(self, data: bytes = b"") -> None:
        """Send the last bytes of the body."""
        self.is_finished = True
        await self._send({"type": "http.response.body", "body": data})

    async def send_response(
        self, status: int, headers: Sequence[Header], body: bytes
    ) -> None:
        """Send a complete answer."""
        await self.start(status, headers)
        await self.finish(body)
