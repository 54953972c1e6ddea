"""Log lines of requests, also while lines are dropped."""

import asyncio

from chicorylead import log_output
from tests.gateway.fakes import KEY, configuration
from tests.gateway.test_gateway import (
    GatewayHarness,
    _crash,
    _reset,
    _run_check,
    _serve,
    _shed,
)
from tests.gateway.test_peers import GatewayPair, _wait_until


def test_lines_of_failures_are_kept_when_info_lines_exceed_their_rate(
    log_capture, monkeypatch
):
    monkeypatch.setattr(log_output, "MAX_INFO_LINES_PER_S", 0)

    async def check(harness: GatewayHarness) -> None:
        log_capture.open()
        await harness.call("/publish/a", method="POST", body=b"x")
        await harness.call("/nothing/a")
        text = log_capture.read()
        assert "event=request_sent" in text and "outcome=NotRun" in text
        assert "event=request_ended" in text and "kind=not_found" in text

    _run_check([_shed], check)


def test_no_log_line_contains_a_credential(log_capture):
    unknown = "an-unknown-credential"

    async def check(harness: GatewayHarness) -> None:
        log_capture.open()
        for path in ("/look/a", "/publish/a", "/nothing/a"):
            await harness.call(path, method="POST", body=b"x")
            await harness.call(path, authorization=f"Token {unknown}")
        text = log_capture.read()
        assert text.count("event=request_sent") >= 2
        assert KEY not in text and unknown not in text

    _run_check([_serve, _reset], check)


def test_the_line_of_a_configuration_tells_by_which_path_it_came(log_capture):
    async def main() -> None:
        async with GatewayPair(second_store_is_down=True) as pair:

            async def has_status(status: int) -> bool:
                return await pair.look_up_status(1) == status

            await _wait_until(lambda: has_status(200))
            log_capture.open()
            newer = configuration(version=2)
            newer["tenants"] = [{"name": "north", "apiKeys": ["another"]}]
            pair.store.put("keyed.op", "config", newer)
            await _wait_until(lambda: has_status(401))

    asyncio.run(main())
    lines = [
        dict(pair.split("=", 1) for pair in line.split())
        for line in log_capture.read().splitlines()
        if "event=configuration_in_force" in line
    ]
    assert {line["router"]: line["source"] for line in lines} == {
        "router-2": "store",
        "router-3": "router-2",
    }
    assert all(float(line["behind_s"]) < 2.0 for line in lines)
    assert all(float(line["records_age_s"]) < 2.0 for line in lines)


def test_the_line_of_a_crash_names_the_parts_and_when_they_were_answered(log_capture):
    async def check(harness: GatewayHarness) -> None:
        log_capture.open()
        counts = {"chicorylead_token_counts": "300,20"}
        await harness.call("/look/a", chicorylead_prefix_hash="aa:100,01:200", **counts)
        harness.upstreams[0].script = _crash(harness.upstreams[0])
        await harness.call(
            "/publish/a",
            method="POST",
            body=b"x",
            chicorylead_prefix_hash="aa:100,bb:100,02:100",
            **counts,
        )
        await asyncio.sleep(0.1)
        (line,) = [
            line
            for line in log_capture.read().splitlines()
            if "event=upstream_crashed" in line
        ]
        assert "request=req-1" in line and "first_event_s=None" in line
        assert "parts=aa:0." in line and ",bb:never" in line

    _run_check([_serve], check)
