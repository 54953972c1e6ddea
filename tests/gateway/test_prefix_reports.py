"""What a router knows of the prefix caches that its peers fill."""

import asyncio

from chicorylead.admission.fair_share import FairShare
from chicorylead.gateway.peer_state import PeerState
from chicorylead.logs import EventLog
from chicorylead.outcome.poison import PoisonList
from chicorylead.outcome.prompt_quarantine import PromptQuarantine
from chicorylead.peer.datagram import SendReport, StateDelta, WorkReport
from chicorylead.upstream.prefix_cache import CACHE_FRACTION
from tests.gateway.load_simulation import make_prompt, make_upstream

MEMORY_TOKENS = 500_000


def test_prompts_that_peers_send_displace_shared_parts_from_the_estimate():
    """Otherwise a router sends to an engine that evicted the part long ago."""

    async def main() -> None:
        upstream = make_upstream("u0")
        registry = {upstream.id: upstream}
        state = PeerState(
            registry,
            FairShare(4.0, lambda: 0.0),
            PoisonList(None),
            PromptQuarantine("r1"),
            EventLog(),
        )
        prompt = make_prompt("p", 6000, "shared", 5000)
        upstream.prefixes.record_parts(prompt.parts)
        assert upstream.prefixes.uncached_tokens(prompt) == 1
        n_sent = int(CACHE_FRACTION * MEMORY_TOKENS / 5000) + 1
        for number in range(n_sent):
            parts = [(f"own-{number}".encode(), 5000)]
            report = SendReport(WorkReport("u0", 5000 * number, 0, 0, 0), parts)
            state.apply_delta("r2", StateDelta(1, [report]))
        assert upstream.prefixes.uncached_tokens(prompt) == 6000

    asyncio.run(main())
