"""Finds out whether an upstream crashed after a connection to it broke."""

import asyncio

from chicorylead.ids import UpstreamId
from chicorylead.upstream.connection import Failure
from chicorylead.upstream.live import LiveUpstream

__all__ = ["CrashProbe"]

TIMEOUT_S = 0.5  # a live upstream accepts within a few milliseconds


class CrashProbe:
    """Probes upstreams; requests that break together share one probe."""

    def __init__(self) -> None:
        self._running: dict[UpstreamId, asyncio.Task[bool]] = {}

    async def has_crashed(self, upstream: LiveUpstream) -> bool:
        """Return whether an upstream accepts no connection."""
        probe = self._running.get(upstream.id)
        if probe is None:
            probe = asyncio.ensure_future(self._probe(upstream))
            self._running[upstream.id] = probe
            probe.add_done_callback(lambda _: self._running.pop(upstream.id, None))
        # One request that is cancelled must not end the probe of the others.
        return await asyncio.shield(probe)

    async def _probe(self, upstream: LiveUpstream) -> bool:
        try:
            conn = await upstream.open(TIMEOUT_S)
        except Failure:
            return True
        conn.close()
        return False
