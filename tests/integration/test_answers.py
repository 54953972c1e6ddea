"""Every caller gets the complete answer to its own request."""

import asyncio
import signal

from chicorylead.standin.engine import token_at
from tests.integration.support import (
    check_path,
    count_runs,
    run_with_fleet,
    send,
    wait_until,
)


def _expected_text(prompt, n_tokens):
    return " ".join(token_at(prompt, i) for i in range(n_tokens))


async def _send_many(fleet, n, n_tokens):
    return await asyncio.gather(
        *(
            send(
                fleet,
                f"router-{i % len(fleet.routers)}",
                check_path(fleet),
                {"prompt": f"p{i}", "n_tokens": n_tokens, "marker": f"m/{i}"},
                deadline_ms=20000,
            )
            for i in range(n)
        )
    )


def _assert_complete(answers, n_tokens):
    for i, answer in enumerate(answers):
        assert answer.status == 200, (i, answer)
        assert answer.body["text"] == _expected_text(f"p{i}", n_tokens)


def test_crossed_and_truncated_answers_are_dropped_and_resumed():
    async def body(fleet):
        await fleet.set_faults("runner-0", crossed=0.3, truncate=0.3)
        _assert_complete(await _send_many(fleet, 12, 20), 20)
        totals = {}
        for name in fleet.routers:
            status = await fleet.call_operator(name, "GET", "/admin/v1/status")
            for key, count in status["counts"].items():
                totals[key] = totals.get(key, 0) + count
        assert totals.get("upstream.break.crossed", 0) > 0
        assert totals.get("upstream.break.truncated", 0) > 0

    run_with_fleet(body)


def test_answers_of_a_killed_upstream_are_resumed_without_loss():
    async def body(fleet):
        sending = asyncio.create_task(_send_many(fleet, 6, 150))
        await asyncio.sleep(0.6)
        fleet.upstreams["runner-0"].process.signal(signal.SIGKILL)
        _assert_complete(await sending, 150)

    run_with_fleet(body)


def test_silent_connections_to_an_upstream_are_replaced():
    async def body(fleet):
        sending = asyncio.create_task(_send_many(fleet, 6, 150))
        await asyncio.sleep(0.5)
        for name in fleet.routers:
            await fleet.set_link_rule(f"{name}>runner-0", "silent")
        _assert_complete(await sending, 150)

    run_with_fleet(body)


def test_a_disconnected_caller_frees_its_slot():
    async def body(fleet):
        task = asyncio.create_task(
            send(
                fleet,
                "router-0",
                check_path(fleet),
                {"prompt": "p", "n_tokens": 3000, "marker": "m/gone"},
                deadline_ms=60000,
            )
        )

        async def is_running():
            return await count_runs(fleet, "m/gone") == 1

        await wait_until(is_running, 5, "the request runs")
        task.cancel()

        async def is_free():
            page = await fleet.call_operator("router-0", "GET", "/admin/v1/shares")
            return all(not pool["organisations"] for pool in page["pools"])

        await wait_until(is_free, 5, "the slot is free")

    run_with_fleet(body)


def test_poison_request_crashes_two_upstreams_at_most():
    async def body(fleet):
        for name in ("runner-0", "runner-1", "runner-2", "runner-3"):
            await fleet.set_faults(name, crash_on="POISON")
        other_requests = asyncio.create_task(_send_many(fleet, 6, 60))
        await asyncio.sleep(0.2)
        request = {"prompt": "POISON", "n_tokens": 5, "marker": "m/poison"}
        for number in range(6):
            answer = await send(
                fleet, f"router-{number % 3}", check_path(fleet), request
            )
            assert answer.status != 200
            await asyncio.sleep(0.5)
        _assert_complete(await other_requests, 60)
        running = [
            u.name
            for u in fleet.upstreams.values()
            if u.kind == "engine" and u.process.is_running()
        ]
        assert len(running) >= 2
        for name in fleet.routers:
            refused = await send(fleet, name, check_path(fleet), request)
            assert (refused.error, refused.run_state) == ("poison", "not_run")

    run_with_fleet(body, n_engines=4)


def test_requests_that_caused_no_crash_are_cleared():
    async def body(fleet):
        sending = asyncio.create_task(_send_many(fleet, 6, 150))
        await asyncio.sleep(0.6)
        fleet.upstreams["runner-0"].process.signal(signal.SIGKILL)
        _assert_complete(await sending, 150)
        await fleet.restart_upstream("runner-0")
        await asyncio.sleep(1.0)
        resent = asyncio.create_task(_send_many(fleet, 6, 150))
        await asyncio.sleep(0.6)
        fleet.upstreams["runner-1"].process.signal(signal.SIGKILL)
        _assert_complete(await resent, 150)
        for name in fleet.routers:
            status = await fleet.call_operator(name, "GET", "/admin/v1/status")
            assert status["poison"] == []

    run_with_fleet(body)


def test_streams_that_lose_two_upstreams_are_not_suspected_of_their_crashes():
    async def body(fleet):
        sending = asyncio.create_task(_send_many(fleet, 12, 400))
        for name in ("runner-0", "runner-1", "runner-2"):
            await asyncio.sleep(0.6)
            fleet.upstreams[name].process.signal(signal.SIGKILL)
        answers = await sending
        assert [answer.error for answer in answers if answer.error == "poison"] == []
        for name in fleet.routers:
            status = await fleet.call_operator(name, "GET", "/admin/v1/status")
            assert status["poison"] == []

    run_with_fleet(body, n_engines=5)
