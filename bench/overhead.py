"""What one router costs: throughput, added latency, processor time.

`python -m bench.overhead` compares calls through one router with the same calls
straight to the stand-in, in one run, and fits the router's processor time to
requests and to streamed events.
"""

import argparse
import asyncio
import sys
from dataclasses import replace
from typing import Any

import msgspec
import uvloop
from aiohttp import ClientSession, TCPConnector, encode_basic_auth

from bench.fleet import Fleet
from bench.judge import percentile
from bench.profile import PROFILES

__all__ = ["main", "measure_overhead"]

ROUNDS = 3
N_WORKERS = 16
FAST_TOKEN_S = 0.0005
KNEE = 64


async def _load(
    url: str, headers: dict[str, str], body: bytes, seconds: float
) -> tuple[int, int, list[float]]:
    """Keep some workers busy; return requests, events and latencies."""
    clock = asyncio.get_running_loop().time
    until = clock() + seconds
    n_requests = n_events = 0
    latencies: list[float] = []

    async def work(session: ClientSession) -> None:
        nonlocal n_requests, n_events
        while clock() < until:
            started = clock()
            async with session.post(url, data=body, headers=headers) as resp:
                raw = await resp.read()
            latencies.append(clock() - started)
            n_requests += 1
            n_events += raw.count(b"id: ")

    async with ClientSession(connector=TCPConnector(limit=0)) as session:
        await asyncio.gather(*(work(session) for _ in range(N_WORKERS)))
    return n_requests, n_events, latencies


async def measure_overhead(seconds: float, seed: int) -> dict[str, Any]:
    """Return throughput, latency and processor time with and without a router."""
    site = PROFILES["frasear"].sized(1, 2)
    site = replace(
        site, n_engines=2, n_plain=1, knee=KNEE, token_s=FAST_TOKEN_S, plain_slots=KNEE
    )
    found: dict[str, Any] = {"rounds": []}
    async with Fleet(site, seed, with_delays=False) as fleet:
        router = fleet.routers["router-0"]
        plan = site.organisations[0]
        auth = {"Authorization": encode_basic_auth(plan.name, plan.token)}
        stream = {**auth, "Accept": "text/event-stream"}
        engine = fleet.upstreams["runner-0"].address
        plain = fleet.upstreams["plain-0"].address
        look_up = msgspec.json.encode({"marker": "overhead/1", "work_s": 0.0})
        cases = {
            "plain": (
                f"http://{plain}/run/look_up",
                f"http://{router.address}/v2/{site.plain_service}/look_up",
                look_up,
                auth,
            )
        }
        for n_tokens in (2, 100):
            body = {"prompt": "p", "n_tokens": n_tokens, "marker": "overhead/2"}
            cases[f"stream_{n_tokens}"] = (
                f"http://{engine}/run/check",
                f"http://{router.address}/v2/{site.engine_service}/check",
                msgspec.json.encode(body),
                stream,
            )
        for _ in range(ROUNDS):
            for name, (direct, routed, body, headers) in cases.items():
                alone = await _load(direct, {}, body, seconds)
                before = router.process.cpu_s()
                through = await _load(routed, headers, body, seconds)
                cpu_s = router.process.cpu_s() - before
                found["rounds"].append(_round(name, alone, through, cpu_s, seconds))
    found["cpu_ms_per_request"], found["cpu_ms_per_event"] = _fit(found["rounds"])
    return found


def _round(
    name: str,
    alone: tuple[int, int, list[float]],
    through: tuple[int, int, list[float]],
    cpu_s: float,
    seconds: float,
) -> dict[str, Any]:
    p50_direct = percentile(alone[2], 0.5) * 1000
    p50_routed = percentile(through[2], 0.5) * 1000
    return {
        "case": name,
        "direct_per_s": round(alone[0] / seconds, 1),
        "routed_per_s": round(through[0] / seconds, 1),
        "ratio": round(through[0] / max(1, alone[0]), 3),
        "p50_direct_ms": round(p50_direct, 2),
        "p50_routed_ms": round(p50_routed, 2),
        "n_requests": through[0],
        "n_events": through[1],
        "router_cpu_s": round(cpu_s, 3),
    }


def _fit(rounds: list[dict[str, Any]]) -> tuple[float, float]:
    """Fit processor time to requests and events by least squares, in ms."""
    rows = [r for r in rounds if r["case"].startswith("stream")]
    rr = sum(r["n_requests"] ** 2 for r in rows)
    re = sum(r["n_requests"] * r["n_events"] for r in rows)
    ee = sum(r["n_events"] ** 2 for r in rows)
    rc = sum(r["n_requests"] * r["router_cpu_s"] for r in rows)
    ec = sum(r["n_events"] * r["router_cpu_s"] for r in rows)
    det = rr * ee - re * re
    per_request = (rc * ee - ec * re) / det
    per_event = (rr * ec - re * rc) / det
    return round(per_request * 1000, 4), round(per_event * 1000, 5)


def main() -> None:
    """Run the comparison and print one JSON object."""
    parser = argparse.ArgumentParser(prog="bench.overhead", description=__doc__)
    parser.add_argument("--seconds", type=float, default=3.0)
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    found = uvloop.run(measure_overhead(args.seconds, args.seed))
    sys.stdout.write(msgspec.json.encode(found).decode() + "\n")


if __name__ == "__main__":
    main()
