"""Demonstration: a router and stand-ins in one process, called over loopback."""

import asyncio
import sys
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec

from chicorylead.backing.api import VmEntry, VmRole, VmState
from chicorylead.cli.client import RouterClient
from chicorylead.cli.table import print_json
from chicorylead.ids import ZoneName
from chicorylead.router.app import Router
from chicorylead.router.auth import token_digest
from chicorylead.settings import LinkSettings, PlatformSettings, RouterSettings
from chicorylead.standin.engine import EngineSettings, StandinEngine, token_at
from chicorylead.standin.platform import StandinPlatform, StandinPlatformSettings
from chicorylead.standin.service import ServiceSettings, StandinService

__all__ = ["Demo", "run"]

ZONE = ZoneName("nordeste-a")
OPERATOR_TOKEN = "demo-operator"
ORGANISATION = ("frasear", "frasear-device-token")
N_TOKENS = 12

Step = Callable[[], Awaitable[str]]


class DemoFailed(Exception):
    """A step did not have the expected result."""


class Demo:
    """Runs a router and its stand-ins in one process, and the steps that use them.

    Attributes:
        results: Name, success and detail of each step that was run.
    """

    def __init__(self) -> None:
        self._platform = StandinPlatform(StandinPlatformSettings(vm_lag_s=0.0))
        self._engines = [
            StandinEngine(EngineSettings(id=f"runner-{i}", token_s=0.005))
            for i in (1, 2)
        ]
        self._archive = StandinService(ServiceSettings(id="archive-1"))
        self._router: Router | None = None
        self._client: RouterClient | None = None
        self.results: list[dict[str, Any]] = []

    @property
    def _address(self) -> str:
        assert self._router is not None
        return f"127.0.0.1:{self._router.port}"

    async def start(self) -> None:
        """Start the stand-ins and the router."""
        await self._platform.start()
        for standin in (*self._engines, self._archive):
            await standin.start()
        cfg = RouterSettings(
            id="router-1",
            zone=ZONE,
            operator_token=OPERATOR_TOKEN,
            platform=PlatformSettings(
                url=self._platform.url, token="platform-token", vm_list_period_s=0.2
            ),
            link=LinkSettings(key="demo-link-key"),
        )
        self._router = Router(cfg, incarnation=1)
        await self._router.start()
        self._platform.put_vm(
            VmEntry(
                "router-1",
                VmRole.ROUTER,
                VmState.LIVE,
                ZONE,
                self._address,
                self._router.link_address,
            )
        )
        self._client = RouterClient(self._address, OPERATOR_TOKEN)

    async def stop(self) -> None:
        """Stop the router and the stand-ins."""
        if self._client is not None:
            await self._client.__aexit__()
        if self._router is not None:
            await self._router.stop()
        for standin in (*self._engines, self._archive, self._platform):
            await standin.stop()

    async def run(self) -> bool:
        """Run all steps and tell whether all succeeded."""
        steps: list[tuple[str, Step]] = [
            ("publish records of schema 1 and 2", self._publish),
            ("ask for an address", self._ask_address),
            ("old device: whole answer over HTTP/1.0", self._request_over_http10),
            ("new form: streamed events", self._stream_events),
            ("non-idempotent request, sent twice", self._send_twice),
            ("wrong credential is refused", self._wrong_credential),
            ("read back what is in force", self._read_records),
        ]
        for name, step in steps:
            try:
                detail = await step()
                self.results.append({"step": name, "ok": True, "detail": detail})
            except (DemoFailed, OSError, TimeoutError) as exc:
                detail = f"{type(exc).__name__}: {exc}"
                self.results.append({"step": name, "ok": False, "detail": detail})
        return all(result["ok"] for result in self.results)

    # -- steps

    async def _publish(self) -> str:
        assert self._client is not None
        offsets = []
        for record in self._records():
            body = msgspec.json.encode(record)
            answer = await self._client.post("/admin/v1/records", body)
            if answer.is_err():
                raise DemoFailed(answer.unwrap_err().text)
            offsets.append(answer.unwrap()["offset"])
        return f"{len(offsets)} records in force, offsets {offsets[0]}–{offsets[-1]}"

    def _records(self) -> list[dict[str, Any]]:
        digest = token_digest(ORGANISATION[1])
        engines = [
            _record(
                "upstream",
                2,
                f"runner-{i}",
                {
                    "service": "phrases",
                    "host": "127.0.0.1",
                    "port": engine.port,
                    "zone": ZONE,
                    "window": 8,
                },
            )
            for i, engine in enumerate(self._engines, 1)
        ]
        archive = {
            "service": "archive",
            "address": f"127.0.0.1:{self._archive.port}",
            "zone": ZONE,
            "slots": 8,
        }
        publish = {"idempotent": False, "key_field": "edition"}
        return [
            _record("organisation", 1, ORGANISATION[0], {"token_sha256": digest}),
            _record(
                "contract",
                1,
                "frasear-base",
                {
                    "organisation": ORGANISATION[0],
                    "share": 4,
                    "services": ["phrases", "archive"],
                },
            ),
            _record(
                "service",
                2,
                "phrases",
                {"type": "engine", "operations": {"revise": {}, "check": {}}},
            ),
            _record(
                "service",
                2,
                "archive",
                {
                    "type": "plain",
                    "operations": {"publish": publish},
                    "can_reconcile": True,
                },
            ),
            *engines,
            _record("upstream", 1, "archive-1", archive),
        ]

    async def _ask_address(self) -> str:
        assert self._client is not None
        answer = await self._client.addresses()
        if answer.is_err():
            raise DemoFailed(answer.unwrap_err().text)
        found = answer.unwrap()
        if not found.addresses:
            raise DemoFailed("no address in the answer")
        return f"{found.addresses[0].address}, keep for {found.lifetime_s:g} s"

    async def _request_over_http10(self) -> str:
        body = msgspec.json.encode({"prompt": "rede", "n_tokens": N_TOKENS})
        head, answer = await self._post_http10("/v1/phrases/check", body)
        if not head.startswith("HTTP/1.1 200") and not head.startswith("HTTP/1.0 200"):
            raise DemoFailed(head.partition("\r\n")[0])
        text = msgspec.json.decode(answer)["text"]
        if text != " ".join(token_at("rede", i) for i in range(N_TOKENS)):
            raise DemoFailed(f"wrong text {text!r}")
        return f"{N_TOKENS} tokens, all as expected"

    async def _post_http10(self, path: str, body: bytes) -> tuple[str, bytes]:
        from aiohttp import encode_basic_auth

        reader, writer = await asyncio.open_connection(*self._address.split(":"))
        auth = encode_basic_auth(*ORGANISATION)
        head = (
            f"POST {path} HTTP/1.0\r\nAuthorization: {auth}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        writer.write(head.encode() + body)
        raw = await asyncio.wait_for(reader.read(), 10)
        writer.close()
        answer_head, _, answer = raw.partition(b"\r\n\r\n")
        return answer_head.decode("latin-1"), answer

    async def _stream_events(self) -> str:
        from aiohttp import ClientSession, encode_basic_auth

        headers = {
            "Authorization": encode_basic_auth(*ORGANISATION),
            "Accept": "text/event-stream",
            "Chicorylead-Deadline-Ms": "5000",
        }
        body = msgspec.json.encode({"prompt": "mar", "n_tokens": N_TOKENS})
        url = f"http://{self._address}/v2/phrases/revise"
        async with (
            ClientSession() as session,
            session.post(url, data=body, headers=headers) as resp,
        ):
            raw = await resp.read()
        n_events = raw.count(b"id: ")
        if n_events != N_TOKENS or b"event: done" not in raw:
            raise DemoFailed(f"{n_events} events: {raw[-200:]!r}")
        return f"{n_events} events and the closing one"

    async def _send_twice(self) -> str:
        assert self._client is not None
        body = msgspec.json.encode({"edition": "2026-12", "marker": "demo/1"})
        receipts = []
        for _ in range(2):
            answer = await self._client.post(
                "/v1/archive/publish", body, organisation=ORGANISATION
            )
            if answer.is_err():
                raise DemoFailed(answer.unwrap_err().text)
            receipts.append(answer.unwrap()["receipt"])
        n_runs = len(self._archive.run_log.runs)
        if n_runs != 1 or receipts[0] != receipts[1]:
            raise DemoFailed(f"ran {n_runs} times, receipts {receipts}")
        return f"ran once, both answers carry receipt {receipts[0]}"

    async def _wrong_credential(self) -> str:
        assert self._client is not None
        answer = await self._client.post(
            "/v1/phrases/check", b"{}", organisation=("frasear", "not-the-token")
        )
        if answer.is_ok() or answer.unwrap_err().status != 401:
            raise DemoFailed("a wrong credential was taken")
        return "status 401, not run"

    async def _read_records(self) -> str:
        assert self._client is not None
        answer = await self._client.get("/admin/v1/records")
        if answer.is_err():
            raise DemoFailed(answer.unwrap_err().text)
        page = answer.unwrap()
        n_expected = len(self._records())
        if len(page["records"]) != n_expected:
            raise DemoFailed(f"{len(page['records'])} records, not {n_expected}")
        return (
            f"{n_expected} records on {page['router']}, log read to {page['covered']}"
        )


def _record(kind: str, schema: int, name: str, spec: dict[str, Any]) -> dict[str, Any]:
    return {"kind": kind, "schema": schema, "name": name, "spec": spec}


async def run(as_json: bool = False) -> int:
    """Run the demonstration; return 0 if all steps succeeded, else 1."""
    demo = Demo()
    try:
        await demo.start()
        all_ok = await demo.run()
    finally:
        await demo.stop()
    if as_json:
        print_json({"ok": all_ok, "steps": demo.results})
    else:
        for result in demo.results:
            mark = "ok  " if result["ok"] else "FAIL"
            sys.stdout.write(f"{mark} {result['step']}: {result['detail']}\n")
        n_ok = sum(1 for result in demo.results if result["ok"])
        sys.stdout.write(f"{n_ok} of {len(demo.results)} steps went well\n")
    return 0 if all_ok else 1
