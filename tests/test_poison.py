"""Tests of the poison list, which merges notices of crashes in any order."""

import asyncio
import math
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from chicorylead.ids import UpstreamId
from chicorylead.outcome.crash_span import CrashSpan, count_crashes
from chicorylead.outcome.poison import (
    MAX_TRIALS,
    RENEWAL_TELL_S,
    TRIAL_AFTER_S,
    PoisonList,
)
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


# Guards against crashes that count once for each id, which upstreams keep.
def test_two_crashes_of_an_upstream_that_came_back_under_its_id_block():
    def body():
        fleet = _Fleet(2)
        fleet.now = 10.0
        fleet.lists[0].record_crash("f", U1, 60.0, sent_at=9.9)
        fleet.tell()
        fleet.now = 12.0
        fleet.lists[1].record_crash("f", U1, 60.0, sent_at=11.9)
        assert fleet.lists[1].n_crashes("f") == 2
        fleet.tell()
        assert all(poison.is_blocked("f") for poison in fleet.lists)

    _in_loop(body)


# Guards against a sound request that one crash blocks, as two routers noticed it.
@pytest.mark.parametrize("sent_at", (8.0, 9.8, 10.1, 10.4))
def test_a_crash_that_two_routers_notice_counts_once(sent_at):
    def body():
        fleet = _Fleet(2)
        fleet.now = 10.0
        fleet.lists[0].record_crash("f", U1, 60.0, sent_at=9.0)
        fleet.now = 10.5
        fleet.lists[1].record_crash("f", U1, 60.0, sent_at=sent_at)
        fleet.tell()
        fleet.tell()
        for poison in fleet.lists:
            assert poison.n_crashes("f") == 1
            assert poison.is_suspect("f") and not poison.is_blocked("f")

    _in_loop(body)


spans = st.lists(
    st.tuples(st.floats(0, 20), st.floats(0, 5)).map(lambda s: CrashSpan(s[0], sum(s)))
)


@given(spans)
def test_a_crash_is_counted_for_each_span_that_no_counted_one_explains(spans):
    n_crashes = count_crashes(spans)
    apart = [s for s in spans if not any(s.may_be_same(o) for o in spans if o is not s)]
    assert len(apart) <= n_crashes <= len(spans)
    assert (n_crashes == 0) == (not spans)
    assert count_crashes(reversed(spans)) == n_crashes
    assert count_crashes(spans * 2) == n_crashes


# Guards against peers that hear of a clearing or a trial with the next beacon only.
def test_crashes_clearings_and_trials_are_news_and_told_once():
    def body():
        fleet = _Fleet(2)
        poison = fleet.lists[0]
        calls = []
        poison.on_news = lambda: calls.append(poison.pop_news(10))
        poison.record_crash("f", U1, 60.0)
        poison.record_crash("f", U2, 60.0)
        poison.start_trial("f")
        poison.clear("f")
        assert [notice.fingerprint for (notice,) in calls] == ["f"] * 4
        other = fleet.lists[1]
        known = []
        for (notice,) in calls:
            other.merge(notice)
            known.append((other.n_crashes("f"), other.notice("f").n_trials))
        assert known == [(1, 0), (2, 0), (2, 1), (0, 1)]
        assert poison.pop_news(10) == []

    _in_loop(body)


def test_news_beyond_the_limit_is_told_later():
    def body():
        poison = PoisonList(Random(1))
        calls = []
        poison.on_news = lambda: calls.append(1)
        for number in range(25):
            poison.record_crash(f"f{number}", U1, 60.0)
        calls.clear()
        assert [len(poison.pop_news(10)) for _ in range(4)] == [10, 10, 5, 0]
        assert len(calls) == 2

    _in_loop(body)


# Guards against a block that ends at peers while its request comes at one router.
def test_peers_are_told_of_a_block_that_goes_on_a_few_times_an_hour():
    def body():
        fleet = _Fleet(2)
        told, other = fleet.lists
        n_told = 0
        for upstream in (U1, U2):
            told.record_crash("f", upstream, 60.0)
        while fleet.now < 3600.0:
            fleet.now += 2.0
            told.renew("f", 600.0)
            for notice in told.pop_news(10):
                n_told += 1
                other.merge(notice)
            assert other.is_blocked("f")
        assert n_told <= 3600.0 / RENEWAL_TELL_S + 1

    _in_loop(body)


def test_a_notice_of_an_earlier_release_counts_an_upstream_once():
    def body():
        poison = PoisonList(Random(1))
        poison.merge(PoisonNotice("f", ["u1|1", "u1|2"], [], 60.0))
        assert poison.is_suspect("f") and not poison.is_blocked("f")
        poison.merge(PoisonNotice("f", ["u2|3"], [], 60.0))
        assert poison.is_blocked("f")

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


ages_ms = st.tuples(st.integers(0, 9000), st.integers(0, 2000)).map(
    lambda ages: (sum(ages), ages[1])
)
span_lists = st.lists(st.none() | ages_ms, min_size=4, max_size=4)


@given(st.lists(st.tuples(crash_ids, crash_ids, span_lists), max_size=6), st.randoms())
def test_merged_notices_do_not_depend_on_order(notices, rng):
    def body():
        lists = [PoisonList(Random(1)), PoisonList(Random(1))]
        for poison in lists:
            poison._clock = lambda: 100.0
        shuffled = list(notices)
        rng.shuffle(shuffled)
        for poison, order in zip(lists, (notices, shuffled), strict=True):
            for crashes, cleared, times in order:
                ages = times[: len(crashes)]
                poison.merge(PoisonNotice("f", crashes, cleared, 60.0, 0, 0, ages))
        assert lists[0].crashed_upstreams("f") == lists[1].crashed_upstreams("f")
        assert lists[0].n_crashes("f") == lists[1].n_crashes("f")

    _in_loop(body)


class _Fleet:
    """Poison lists of several routers, which tell each other all they know.

    Attributes:
        now: Time of all of them, seconds.
    """

    def __init__(self, n_routers: int) -> None:
        self.now = 0.0
        self.lists = [PoisonList(Random(n)) for n in range(n_routers)]
        for poison in self.lists:
            poison._clock = lambda: self.now

    def tell(self) -> None:
        for sender in self.lists:
            for receiver in self.lists:
                for notice in sender.notices(20):
                    if receiver is not sender:
                        receiver.merge(notice)


# Guards against a block that ends everywhere at once while its request still comes.
def test_a_request_that_keeps_coming_is_tried_a_few_times_and_then_never_again():
    def body():
        fleet = _Fleet(3)
        for upstream in (U1, U2):
            fleet.lists[0].record_crash("f", upstream, 60.0)
        fleet.tell()
        tried_at = []
        while fleet.now < 4 * 3600.0:
            fleet.now += 2.0
            for number, poison in enumerate(fleet.lists):
                assert poison.is_blocked("f")
                # One of them is chosen to try it.
                if number == 0 and poison.trial_due_s("f") == 0.0:
                    tried_at.append(fleet.now)
                    poison.start_trial("f")
                    poison.record_crash("f", UpstreamId(f"u{fleet.now}"), 60.0)
                poison.renew("f", 600.0)
            fleet.tell()
        assert len(tried_at) == MAX_TRIALS
        pauses = [b - a for a, b in zip([0.0, *tried_at], tried_at, strict=False)]
        assert pauses[0] >= TRIAL_AFTER_S
        assert all(b > 3 * a for a, b in zip(pauses, pauses[1:], strict=False))
        assert fleet.lists[1].trial_due_s("f") == math.inf

    _in_loop(body)


def test_an_answer_in_a_trial_clears_a_request_at_all_routers():
    def body():
        fleet = _Fleet(2)
        for upstream in (U1, U2):
            fleet.lists[0].record_crash("f", upstream, 60.0)
        fleet.tell()
        assert fleet.lists[0].clear("f") is None
        fleet.lists[0].start_trial("f")
        assert fleet.lists[0].clear("f") is not None
        fleet.tell()
        assert not any(poison.is_suspect("f") for poison in fleet.lists)

    _in_loop(body)


# Guards against a sound request that is refused for good, as it was near crashes often.
def test_a_request_that_its_trials_clear_is_tried_in_each_later_block():
    def body():
        fleet = _Fleet(2)
        for number in range(MAX_TRIALS + 2):
            for upstream in (U1, U2):
                fleet.lists[0].record_crash("f", upstream, 60.0)
            fleet.tell()
            assert all(poison.is_blocked("f") for poison in fleet.lists)
            # An answer to a copy that was on its way is no trial.
            assert fleet.lists[1].clear("f") is None
            fleet.now += TRIAL_AFTER_S + 1.0
            for poison in fleet.lists:
                poison.renew("f", 600.0)
            tried = fleet.lists[number % 2]
            assert tried.trial_due_s("f") == 0.0
            tried.start_trial("f")
            assert tried.clear("f") is not None
            fleet.tell()
            assert not any(poison.is_suspect("f") for poison in fleet.lists)

    _in_loop(body)


def test_a_trial_elsewhere_postpones_ones_own():
    def body():
        fleet = _Fleet(2)
        for upstream in (U1, U2):
            fleet.lists[0].record_crash("f", upstream, 600.0)
        fleet.tell()
        fleet.now += TRIAL_AFTER_S + 1.0
        assert [poison.trial_due_s("f") for poison in fleet.lists] == [0.0, 0.0]
        fleet.lists[0].start_trial("f")
        fleet.tell()
        assert all(p.trial_due_s("f") > TRIAL_AFTER_S for p in fleet.lists)

    _in_loop(body)


def test_a_block_is_forgotten_some_time_after_its_request_has_come_last():
    def body():
        fleet = _Fleet(1)
        poison = fleet.lists[0]
        for upstream in (U1, U2):
            poison.record_crash("f", upstream, 60.0)
        fleet.now = 50.0
        poison.renew("f", 600.0)
        fleet.now = 649.0
        assert poison.is_blocked("f")
        fleet.now = 651.0
        assert not poison.is_blocked("f")
        assert poison.notices(20) == []

    _in_loop(body)
