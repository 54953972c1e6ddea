"""HTTP client of the store and of peers, against raw sockets."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from chicorylead.http_client import HttpClient
from chicorylead.upstream.connection import Failure, FailureKind

RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

Serve = Callable[[int, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


class _Server:
    """Accepts connections and passes each with its number to a function."""

    def __init__(self, serve: Serve) -> None:
        self._serve = serve
        self.n_connections = 0
        self.heads: list[bytes] = []

    async def __aenter__(self) -> "_Server":
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self.address = self._server.sockets[0].getsockname()[:2]
        return self

    async def __aexit__(self, *exc: object) -> None:
        self._server.close()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.n_connections += 1
        try:
            await self._serve(self.n_connections, reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def read_head(self, reader: asyncio.StreamReader) -> None:
        self.heads.append(await reader.readuntil(b"\r\n\r\n"))


def test_a_connection_is_reused():
    async def main() -> None:
        async def serve(number, reader, writer) -> None:
            while True:
                await server.read_head(reader)
                writer.write(RESPONSE)

        async with _Server(serve) as server:
            client = HttpClient()
            for _ in range(3):
                response = await client.get(server.address, "/a", {"x": "1 2"}, 1.0)
                assert (response.status, response.body) == (200, b"ok")
            await client.close()
            assert server.n_connections == 1
            assert server.heads[0].startswith(b"GET /a?x=1+2 HTTP/1.1\r\n")

    asyncio.run(main())


def test_a_request_on_a_dropped_idle_connection_is_sent_again():
    async def main() -> None:
        async def serve(number, reader, writer) -> None:
            await server.read_head(reader)
            writer.write(RESPONSE)
            if number == 1:
                await server.read_head(reader)  # drops the second request

        async with _Server(serve) as server:
            client = HttpClient()
            for _ in range(2):
                assert (await client.get(server.address, "/", {}, 1.0)).body == b"ok"
            await client.close()
            assert server.n_connections == 2

    asyncio.run(main())


@pytest.mark.parametrize(
    ("sent", "kind"),
    [
        (b"", FailureKind.SILENT),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", FailureKind.SILENT),
        (b"SMTP ready\r\n\r\n", FailureKind.GARBLED),
    ],
)
def test_an_incomplete_response_is_a_failure(sent, kind):
    async def main() -> None:
        async def serve(number, reader, writer) -> None:
            await server.read_head(reader)
            writer.write(sent)
            await reader.read()

        async with _Server(serve) as server:
            client = HttpClient()
            with pytest.raises(Failure) as caught:
                await client.get(server.address, "/", {}, 0.3)
            assert caught.value.kind is kind
            await client.close()

    asyncio.run(main())


def test_a_truncated_response_is_a_failure():
    async def main() -> None:
        async def serve(number, reader, writer) -> None:
            await server.read_head(reader)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok")

        async with _Server(serve) as server:
            client = HttpClient()
            with pytest.raises(Failure) as caught:
                await client.get(server.address, "/", {}, 1.0)
            assert caught.value.kind is FailureKind.BROKEN

    asyncio.run(main())
