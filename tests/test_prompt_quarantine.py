"""Decisions about prompts under which engines crash, with replays of crashes."""

import asyncio
from collections.abc import Callable
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from chicorylead.ids import PromptPartId, RouterId, UpstreamId
from chicorylead.outcome import prompt_quarantine
from chicorylead.outcome.prompt_quarantine import (
    Blocked,
    Free,
    Held,
    PromptQuarantine,
    Trial,
)

FIRST, RARE, DEADLY = (PromptPartId(name) for name in (b"first", b"rare", b"deadly"))
U = [UpstreamId(f"u{n}") for n in range(8)]


class _Time:
    """The clock of the quarantines of a test."""

    def __init__(self) -> None:
        self.now = 100.0


def _run(body: Callable[[_Time, Callable[[str], PromptQuarantine]], None]) -> None:
    """Run a test with a clock of its own and a factory of quarantines."""

    async def main() -> None:
        time = _Time()

        def make(name: str = "r1") -> PromptQuarantine:
            quarantine = PromptQuarantine(RouterId(name))
            quarantine._clock = quarantine._answered._clock = lambda: time.now
            return quarantine

        body(time, make)

    asyncio.run(main())


def _fail_trial(quarantine: PromptQuarantine, parts, upstream: UpstreamId) -> None:
    decision = quarantine.decide(parts)
    assert isinstance(decision, Trial), decision
    trial = quarantine.start_trial(decision.parts, upstream)
    quarantine.record_crash(upstream, 1, parts, trial)
    quarantine.end_trial(trial)


def _exchange(sender: PromptQuarantine, receiver: PromptQuarantine) -> None:
    crashes, trials, answered = sender.pop_news()
    receiver.apply_answered(answered)
    receiver.apply_crashes(crashes)
    receiver.apply_trials(trials)


def test_two_crashes_block_the_part_and_leave_those_that_were_answered():
    def body(time, make):
        quarantine = make()
        quarantine.record_answer([FIRST, RARE])
        time.now += 5.0
        doubted = quarantine.record_crash(U[0], 1, [FIRST, RARE, DEADLY])
        assert doubted == {DEADLY}
        _fail_trial(quarantine, [FIRST, RARE, DEADLY], U[1])
        decision = quarantine.decide([FIRST, RARE, DEADLY])
        assert isinstance(decision, Blocked) and decision.parts == {DEADLY}
        assert decision.retry_after_s == pytest.approx(10.0)
        assert quarantine.decide([FIRST, RARE]) == Free()

    _run(body)


def test_a_part_never_answered_is_told_apart_by_a_prompt_without_the_other():
    def body(time, make):
        quarantine = make()
        quarantine.record_crash(U[0], 1, [RARE, DEADLY])
        _fail_trial(quarantine, [RARE, DEADLY], U[1])
        decision = quarantine.decide([RARE])
        assert decision == Trial(frozenset([RARE]))
        trial = quarantine.start_trial(decision.parts, U[2])
        quarantine.record_answer([RARE])
        quarantine.end_trial(trial)
        assert quarantine.decide([RARE]) == Free()
        assert quarantine.decide([RARE, DEADLY]).parts == {DEADLY}

    _run(body)


def test_two_parts_that_crash_engines_are_both_blocked():
    other = PromptPartId(b"other")

    def body(time, make):
        quarantine = make()
        quarantine.record_crash(U[0], 1, [DEADLY])
        quarantine.record_crash(U[0], 1, [other])
        _fail_trial(quarantine, [DEADLY], U[1])
        _fail_trial(quarantine, [other], U[2])
        assert isinstance(quarantine.decide([DEADLY]), Blocked)
        assert isinstance(quarantine.decide([other]), Blocked)

    _run(body)


def test_one_trial_runs_at_a_time_over_all_routers():
    def body(time, make):
        one, two = make("r1"), make("r2")
        one.record_crash(U[0], 1, [DEADLY])
        trial = one.start_trial(one.decide([DEADLY]).parts, U[1])
        _exchange(one, two)
        assert isinstance(two.decide([DEADLY]), Held)
        assert two.trial_upstreams() == {U[1]}
        one.end_trial(trial)
        _exchange(one, two)
        assert isinstance(two.decide([DEADLY]), Trial)

    _run(body)


def test_the_trial_of_a_lost_router_expires():
    def body(time, make):
        one, two = make("r1"), make("r2")
        one.record_crash(U[0], 1, [DEADLY])
        one.start_trial(one.decide([DEADLY]).parts, U[1])
        _exchange(one, two)
        time.now += prompt_quarantine.TRIAL_TIMEOUT_S + 0.1
        assert isinstance(two.decide([DEADLY]), Trial)

    _run(body)


def test_a_crash_during_a_trial_puts_no_other_part_in_doubt():
    def body(time, make):
        one, two = make("r1"), make("r2")
        one.record_crash(U[0], 1, [DEADLY])
        trial = one.start_trial(one.decide([DEADLY]).parts, U[1])
        _exchange(one, two)
        assert not two.record_crash(U[1], 1, [RARE])
        # The crash is known before the other router has heard of the trial.
        three = make("r3")
        assert three.record_crash(U[1], 1, [RARE]) == {RARE}
        one.record_crash(U[1], 1, [DEADLY], trial)
        one.end_trial(trial)
        _exchange(one, three)
        assert three.decide([RARE]) == Free()

    _run(body)


def test_an_engine_lost_for_another_reason_puts_parts_in_doubt_until_one_answer():
    def body(time, make):
        quarantine = make()
        quarantine.record_crash(U[0], 1, [RARE])
        decision = quarantine.decide([RARE])
        trial = quarantine.start_trial(decision.parts, U[1])
        quarantine.record_answer([RARE])
        quarantine.end_trial(trial)
        assert quarantine.decide([RARE]) == Free()
        assert not quarantine.crash_reports()

    _run(body)


def test_engines_lost_together_put_no_part_in_frequent_use_in_doubt():
    def body(time, make):
        quarantine = make()
        quarantine.record_answer([FIRST])
        time.now += 0.5
        for upstream in U:
            quarantine.record_crash(upstream, 1, [FIRST])
        assert quarantine.decide([FIRST]) == Free()

    _run(body)


def test_a_part_that_was_answered_and_then_crashes_engines_is_blocked():
    def body(time, make):
        quarantine = make()
        quarantine.record_answer([FIRST, DEADLY])
        time.now += 20.0
        for upstream in U[:2]:
            quarantine.record_crash(upstream, 1, [DEADLY])
            assert quarantine.decide([DEADLY]) == Free()
        quarantine.record_crash(U[2], 1, [DEADLY])
        _fail_trial(quarantine, [DEADLY], U[3])
        assert isinstance(quarantine.decide([DEADLY]), Blocked)

    _run(body)


def test_trials_of_a_blocked_part_become_rarer_and_one_answer_frees_it():
    def body(time, make):
        quarantine = make()
        quarantine.record_crash(U[0], 1, [DEADLY])
        waits = []
        for upstream in U[1:5]:
            _fail_trial(quarantine, [DEADLY], upstream)
            waits.append(quarantine.decide([DEADLY]).retry_after_s)
            time.now += waits[-1]
        assert waits == pytest.approx([10.0, 20.0, 40.0, 80.0])
        trial = quarantine.start_trial(quarantine.decide([DEADLY]).parts, U[6])
        quarantine.record_answer([DEADLY])
        quarantine.end_trial(trial)
        assert quarantine.decide([DEADLY]) == Free()

    _run(body)


def test_a_crash_seen_by_several_routers_is_one_crash():
    def body(time, make):
        routers = [make(f"r{n}") for n in range(3)]
        for quarantine in routers:
            quarantine.record_answer([FIRST])
        time.now += 5.0
        for quarantine in routers:
            quarantine.record_crash(U[0], 1, [FIRST])
        for sender in routers:
            for receiver in routers:
                receiver.apply_crashes(sender.crash_reports())
        assert all(quarantine.decide([FIRST]) == Free() for quarantine in routers)
        routers[0].record_crash(U[0], 2, [FIRST])  # the next incarnation of the engine
        routers[0].record_crash(U[1], 1, [FIRST])
        assert isinstance(routers[0].decide([FIRST]), Trial)

    _run(body)


def test_a_restarted_router_blocks_what_its_peers_block():
    def body(time, make):
        old, new = make("r1"), make("r2")
        old.record_crash(U[0], 1, [DEADLY])
        _fail_trial(old, [DEADLY], U[1])
        time.now += 4.0
        new.apply_crashes(old.crash_reports())
        decision = new.decide([DEADLY])
        assert isinstance(decision, Blocked)
        assert decision.retry_after_s == pytest.approx(6.0, abs=0.01)

    _run(body)


def test_parts_in_doubt_are_told_to_be_withdrawn_unless_they_were_answered():
    def body(time, make):
        quarantine = make()
        withdrawn = []
        quarantine.on_doubt = withdrawn.append
        quarantine.record_answer([RARE])
        time.now += 5.0
        quarantine.record_crash(U[0], 1, [RARE, DEADLY])
        assert withdrawn == [{DEADLY}]

    _run(body)


def test_what_is_kept_stays_bounded():
    def body(time, make):
        quarantine = make()
        for number in range(3 * prompt_quarantine.MAX_CRASHES):
            parts = [PromptPartId(f"{number}/{n}".encode()) for n in range(100)]
            quarantine.record_crash(UpstreamId(f"u{number}"), 1, parts)
        assert len(quarantine._crashes) == prompt_quarantine.MAX_CRASHES
        n_most = prompt_quarantine.MAX_CRASHES * prompt_quarantine.MAX_PARTS_PER_CRASH
        assert len(quarantine._by_part) <= n_most
        reports = quarantine.crash_reports()
        assert len(reports) == prompt_quarantine.MAX_CRASHES_TOLD
        time.now += prompt_quarantine.DOUBT_TTL_S + 1
        quarantine.decide([])
        assert not quarantine._crashes and not quarantine._by_part

    _run(body)


part_ids = st.sampled_from([FIRST, RARE, DEADLY])
crash_events = st.tuples(
    st.just("crash"), st.sampled_from(U[:3]), st.lists(part_ids, min_size=1, max_size=3)
)
answer_events = st.tuples(st.just("answer"), st.none(), st.lists(part_ids, max_size=2))
trial_events = st.tuples(
    st.just("trial"), st.sampled_from(U[:3]), st.lists(part_ids, min_size=1, max_size=3)
)
events = st.lists(st.one_of(crash_events, answer_events, trial_events), max_size=12)


@given(events, st.randoms())
@settings(max_examples=150, deadline=None)
def test_routers_that_hear_of_the_same_crashes_agree_in_any_order(history, rng: Random):
    def body(time, make):
        source, one, two = make("r0"), make("r1"), make("r2")
        reports = []
        for kind, upstream, parts in history:
            time.now += 2.0
            match kind:
                case "crash":
                    source.record_crash(upstream, round(time.now), parts)
                case "answer":
                    source.record_answer(parts)
                case "trial" if isinstance(source.decide(parts), Trial):
                    _fail_trial(source, parts, upstream)
            reports.extend(source.crash_reports())
        shuffled = list(reports)
        rng.shuffle(shuffled)
        time_of_reports = time.now
        for quarantine, order in ((one, reports), (two, shuffled)):
            time.now = time_of_reports
            quarantine.apply_crashes(order)
        for parts in ([FIRST], [RARE], [DEADLY], [RARE, DEADLY]):
            assert type(one.decide(parts)) is type(two.decide(parts))
        for quarantine in (source, one, two):
            indexed = {
                (part, key)
                for part, keys in quarantine._by_part.items()
                for key in keys
            }
            held = {
                (part, key)
                for key, crash in quarantine._crashes.items()
                for part in crash.parts
            }
            assert indexed == held

    _run(body)
