"""Upstreams that send a second copy of an answer where the next one is expected."""

import asyncio

import pytest

from chicorylead.platform.upstream_wire import decode_answer
from chicorylead.upstream.connection import Connection
from tests.gateway.fakes import ReceivedRequest, sealed_response
from tests.gateway.test_fuzz import FakeTransport
from tests.gateway.test_gateway import GatewayHarness, Writer, _run_check

NOT_RUN = "HTTP/1.1 503 Busy\r\nChicorylead-Not-Executed: 1\r\nContent-Length: 0\r\n"


class _CopyingUpstream:
    """Turns requests away first, and sends each such answer again, late.

    Args:
        has_id: Whether an answer to a request that was turned away names it.
        n_turned_away: Requests that it turns away.
    """

    def __init__(self, has_id: bool, n_turned_away: int) -> None:
        self._has_id = has_id
        self._n_to_turn_away = n_turned_away
        self._late: dict[Writer, bytes] = {}
        self.runs: list[str] = []

    async def __call__(self, got: ReceivedRequest, writer: Writer) -> None:
        """Answer one request, after the late copy for its connection."""
        request_id = got.headers["chicorylead-attempt-id"]
        if (late := self._late.pop(writer, None)) is not None:
            writer.write(late)
        if self._n_to_turn_away > 0:
            self._n_to_turn_away -= 1
            line = f"Chicorylead-Attempt-Id: {request_id}\r\n" if self._has_id else ""
            self._late[writer] = f"{NOT_RUN}{line}\r\n".encode()
            writer.write(self._late[writer])
            return
        self.runs.append(request_id)
        await asyncio.sleep(0.02)
        writer.write(sealed_response(got, b"hello"))


# Guards against a late copy that makes a request run twice, or run after a 503.
@pytest.mark.parametrize("has_id", [True, False])
def test_a_copy_of_a_not_run_answer_is_not_taken_for_that_of_the_next_send(has_id):
    upstream = _CopyingUpstream(has_id, n_turned_away=1)

    async def check(harness: GatewayHarness) -> None:
        status, _, body, whole = await harness.call(
            "/publish/a", method="POST", body=b"x"
        )
        assert (status, body, whole) == (200, b"hello", True)
        assert upstream.runs == ["req-1"]

    _run_check([upstream], check)


# Guards against a copy without an id, which every later request could be given.
@pytest.mark.parametrize(
    ("lines", "is_reusable"),
    [
        (b"503 Busy\r\nChicorylead-Not-Executed: 1\r\nChicorylead-Attempt-Id: r", True),
        (b"503 Busy\r\nChicorylead-Not-Executed: 1", False),
        (b"421 Other\r\nChicorylead-Attempt-Id: r", False),
        (b"421 Other", False),
    ],
)
def test_a_connection_whose_next_answers_cannot_be_told_apart_is_closed(
    lines, is_reusable
):
    async def main() -> None:
        conn = Connection(decode_answer)
        conn.connection_made(FakeTransport())
        conn.send("r", b"GET / HTTP/1.1\r\n\r\n")
        conn.data_received(b"HTTP/1.1 " + lines + b"\r\nContent-Length: 0\r\n\r\n")
        assert (await conn.read_head(0.1)).is_not_run
        conn.finish()
        assert conn.is_reusable is is_reusable

    asyncio.run(main())


def test_a_request_that_is_turned_away_uses_a_connection_that_has_not_carried_it():
    """Many turned away: other connections that are idle are used first."""
    upstream = _CopyingUpstream(has_id=True, n_turned_away=0)
    connections: set[Writer] = set()

    async def script(got: ReceivedRequest, writer: Writer) -> None:
        connections.add(writer)
        await upstream(got, writer)

    async def check(harness: GatewayHarness) -> None:
        async def call(number: int) -> int:
            answer = await harness.call("/look/a", chicorylead_attempt_id=f"r{number}")
            return answer[0]

        await asyncio.gather(*(call(number) for number in range(8)))
        n_before = len(connections)
        upstream._n_to_turn_away = 3
        assert await call(9) == 200
        assert upstream.runs.count("r9") == 1
        assert len(connections) == n_before

    _run_check([script], check)


# Guards against a next answer that is read together with what was left of this one.
def test_a_connection_with_the_start_of_a_second_answer_is_not_used_again():
    async def main() -> None:
        conn = Connection(decode_answer)
        conn.connection_made(FakeTransport())
        conn.send("r", b"GET / HTTP/1.1\r\n\r\n")
        head = b"HTTP/1.1 200 OK\r\nChicorylead-Attempt-Id: r\r\n"
        conn.data_received(head + b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nHT")
        assert await conn.read_body_part(0.0) is None
        conn.finish()
        assert not conn.is_reusable

    asyncio.run(main())
