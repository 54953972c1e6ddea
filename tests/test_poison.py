"""Tests of the poison list, which merges notices of crashes in any order."""

import asyncio
from random import Random

from hypothesis import given
from hypothesis import strategies as st

from chicorylead.ids import UpstreamId
from chicorylead.outcome.poison import PoisonList
from chicorylead.outcome.poison_notice import PoisonNotice

U1, U2 = UpstreamId("u1"), UpstreamId("u2")
crash_ids = st.lists(st.sampled_from(["u1|1", "u1|2", "u2|3", "u3|4"]), max_size=4)


def _in_loop(body):
    async def run():
        return body()

    return asyncio.run(run())


def test_crashes_of_two_upstreams_block_and_two_crashes_of_one_do_not():
    def body():
        poison = PoisonList(Random(1))
        poison.record_crash("f", U1, 60.0)
        poison.record_crash("f", U1, 60.0)
        assert poison.is_suspect("f") and not poison.is_blocked("f")
        poison.record_crash("f", U2, 60.0)
        assert poison.is_blocked("f")
        assert poison.clear("f") is None

    _in_loop(body)


def test_a_repeated_notice_of_a_cleared_crash_changes_nothing():
    def body():
        local, remote = PoisonList(Random(1)), PoisonList(Random(2))
        crash = local.record_crash("f", U1, 60.0)
        remote.merge(crash)
        remote.merge(local.clear("f"))
        remote.merge(crash)
        assert not remote.is_suspect("f")
        remote.record_crash("f", U2, 60.0)
        assert not remote.is_blocked("f")

    _in_loop(body)


@given(st.lists(st.tuples(crash_ids, crash_ids), max_size=6), st.randoms())
def test_merged_notices_do_not_depend_on_order(notices, rng):
    def body():
        lists = [PoisonList(Random(1)), PoisonList(Random(1))]
        shuffled = list(notices)
        rng.shuffle(shuffled)
        for poison, order in zip(lists, (notices, shuffled), strict=True):
            for crashes, cleared in order:
                poison.merge(PoisonNotice("f", crashes, cleared, 60.0))
        assert lists[0].crashed_upstreams("f") == lists[1].crashed_upstreams("f")

    _in_loop(body)
