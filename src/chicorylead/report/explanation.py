"""Explain how one request ended, from the logs of all routers."""

from collections.abc import Sequence
from dataclasses import dataclass

from chicorylead.report.log_lines import LogLine

__all__ = ["Explanation", "explain_request"]

# Longer than an outage of a store takes to affect decisions, short enough to read.
CONTEXT_BEFORE_S = 5.0
CONTEXT_AFTER_S = 1.0

_UPSTREAM_EVENTS = frozenset(
    (
        "upstream_cold",
        "upstream_crashed",
        "upstream_ejected",
        "upstream_gone",
        "upstream_lapsed",
        "upstream_notice",
        "upstream_health",
        "upstream_restarted",
        "upstream_state",
        "upstream_warming",
    )
)
_ROUTER_EVENTS = frozenset(
    (
        "configuration_in_force",
        "crash_told",
        "drain_begins",
        "drain_ends",
        "evacuation_begins",
        "evacuation_ends",
        "evacuation_zone_unknown",
        "gateway_started",
        "log_dropped",
        "peer_silent",
        "readiness",
        "store_era",
        "store_lost",
        "store_regained",
        "stream_record_kept",
        "stream_from_peer",
        "stream_trimmed",
    )
)


@dataclass(frozen=True, slots=True)
class Explanation:
    """How a request ended, and why.

    Attributes:
        steps: Events of the request, in order.
        context: Events of its routers and upstreams at that time.
        cause: Reason for the outcome.
    """

    steps: tuple[str, ...]
    context: tuple[str, ...]
    cause: str


def explain_request(request: str, lines: Sequence[LogLine]) -> Explanation | None:
    """Return the explanation of a request, or None if no line names it.

    The attempts of a stream that was taken up are explained together.
    """
    attempts = _attempts(request, lines)
    steps = sorted(
        (line for line in lines if line.fields.get("request") in attempts),
        key=lambda line: line.at,
    )
    if not steps:
        return None
    start = steps[0].at
    context = sorted(
        (line for line in lines if _is_context(line, steps)),
        key=lambda line: line.at,
    )
    return Explanation(
        steps=tuple(
            _format_line(line, start, _describe_step(line, request)) for line in steps
        ),
        context=tuple(_format_line(line, start, _summary(line)) for line in context),
        cause=_cause(steps, context),
    )


def _attempts(request: str, lines: Sequence[LogLine]) -> set[str]:
    """Return the attempts at the same stream: the first, and those that resume it."""
    resumed = {
        line.fields["request"]: line.fields["resumes"]
        for line in lines
        if line.fields.get("resumes", "None") != "None" and "request" in line.fields
    }
    first = resumed.get(request, request)
    return {first, request, *(r for r, began in resumed.items() if began == first)}


def _describe_step(line: LogLine, request: str) -> str:
    attempt = line.fields["request"]
    prefix = "" if attempt == request else f"attempt {attempt}: "
    return prefix + _describe(line)


def _format_line(line: LogLine, start: float, text: str) -> str:
    return f"{line.at - start:+9.3f} s  {line.router}: {text}"


def _is_context(line: LogLine, steps: Sequence[LogLine]) -> bool:
    if not steps[0].at - CONTEXT_BEFORE_S <= line.at <= steps[-1].at + CONTEXT_AFTER_S:
        return False
    routers = {step.router for step in steps}
    upstreams = {step.fields.get("upstream") for step in steps}
    if line.event in _UPSTREAM_EVENTS:
        return line.router in routers and line.fields.get("upstream") in upstreams
    return line.event in _ROUTER_EVENTS and line.router in routers


def _summary(line: LogLine) -> str:
    hidden = ("time", "level", "event", "router")
    pairs = (f"{k}={v}" for k, v in line.fields.items() if k not in hidden)
    return " ".join((line.event, *pairs))


def _describe(line: LogLine) -> str:
    fields = line.fields
    match line.event:
        case "request_refused":
            return (
                f"refused as not run; {fields.get('upstream')} would start it in "
                f"{line.number('queue_s'):.3f} s and {line.number('limit_s'):.3f} s "
                f"were allowed; it was using {fields.get('n_running')} of "
                f"{fields.get('n_slots')} slots; {fields.get('organisation')} had "
                f"{line.number('standing'):.2f} of its share; told to retry "
                f"after {line.number('retry_after_s'):.3f} s"
            )
        case "request_limited":
            return _describe_limited(line)
        case "request_ineligible":
            return _describe_ineligible(line)
        case "request_sent":
            return (
                f"send {fields.get('send')} to {fields.get('upstream')} "
                f"(version {fields.get('version')}), expected "
                f"the first event after {line.number('expected_s'):.3f} s, got it "
                f"after {fields.get('first_event_s')} s, longest pause "
                f"{line.number('longest_pause_s'):.3f} s, ended after "
                f"{line.number('took_s'):.3f} s: {fields.get('outcome')} "
                f"({fields.get('detail')})"
            )
        case "request_ended":
            return f"ended with {fields.get('kind')}: {fields.get('detail')}"
        case "take_up":
            return (
                f"goes on after event {fields.get('after_event')} of "
                f"{fields.get('resumes')} at version {fields.get('version')}, as "
                f"known from {fields.get('source')}"
            )
        case "take_up_unknown":
            return (
                f"cannot go on after event {fields.get('after_event')} of "
                f"{fields.get('resumes')}: {fields.get('detail')}; versions that "
                f"served lately: {fields.get('versions')}"
            )
        case "answer_cut":
            return f"answer cut off before its end: {fields.get('reason')}"
        case "prompt_trial":
            return (
                f"run as trial {fields.get('trial')} of prompt parts "
                f"{fields.get('parts')} on {fields.get('upstream')}"
            )
        case "prompt_refused":
            return _describe_prompt_refused(line)
        case "upstream_crashed":
            return (
                f"{fields.get('upstream')} crashed under it (suspected: "
                f"{fields.get('is_suspect')}); shared parts and the time since each "
                f"was answered: {fields.get('parts')}; now in doubt: "
                f"{fields.get('doubted')}"
            )
        case "caller_gone":
            return f"the caller disconnected after {line.number('after_s'):.3f} s"
        case _:
            return _summary(line)


def _describe_limited(line: LogLine) -> str:
    fields = line.fields
    n_cold = fields.get("n_cold", "0")
    cold = f" {n_cold} of them are cold;" if n_cold != "0" else ""
    return (
        f"refused as not run; none of {fields.get('n_ready')} upstreams takes a "
        f"request now:{cold} {fields.get('n_limited')} take at most "
        f"{line.number('limits_per_s'):.1f} requests/s in all, for "
        f"{fields.get('n_routers')} routers, and the others want a pause; "
        f"{fields.get('organisation')} had {line.number('standing'):.2f} of its share; "
        f"told to retry after {line.number('retry_after_s'):.3f} s"
    )


def _describe_ineligible(line: LogLine) -> str:
    fields = line.fields
    match fields.get("reason"):
        case "no_home":
            reason = "its route and its organisation have no home region in common"
        case "home":
            reason = (
                f"they are in zones {fields.get('zones')}, outside its home regions "
                f"{fields.get('homes')}"
            )
        case _:
            reason = (
                f"they are in zones {fields.get('zones')}, which the operator has "
                "evacuated"
            )
            if fields.get("homes", "-") != "-":
                reason += f", or outside its home regions {fields.get('homes')}"
    return (
        f"none of the {fields.get('n_ready')} upstreams that accept work may get it: "
        f"{reason}; told to retry after {line.number('retry_after_s'):.3f} s"
    )


def _describe_prompt_refused(line: LogLine) -> str:
    fields = line.fields
    if fields.get("reason") == "blocked":
        return (
            f"refused for its prompt: engines crashed in {fields.get('n_crashes')} "
            f"trials of parts {fields.get('parts')}; the next trial is in "
            f"{line.number('retry_after_s'):.1f} s"
        )
    return (
        f"refused for its prompt: another request runs as a trial of parts "
        f"{fields.get('parts')}"
    )


def _cause(steps: Sequence[LogLine], context: Sequence[LogLine]) -> str:
    refused = [line for line in steps if line.event == "prompt_refused"]
    if refused:
        return _describe_prompt_refused(refused[-1])
    last = steps[-1]
    ineligible = [line for line in steps if line.event == "request_ineligible"]
    if ineligible and last.fields.get("kind") == "no_upstream":
        return _describe_ineligible(ineligible[-1])
    match last.event:
        case "request_refused":
            return _refusal_cause(last)
        case "request_limited" if last.fields.get("n_cold", "0") != "0":
            return (
                f"{last.fields.get('n_cold')} of {last.fields.get('n_ready')} "
                "upstreams have just started, and this router had no permit left"
            )
        case "request_ended" if last.fields.get("kind") == "upstream_failed":
            return _failure_cause(steps, context)
        case "answer_cut":
            return _failure_cause(steps, context)
        case "request_ended":
            return f"{last.fields.get('kind')}: {last.fields.get('detail')}"
        case "caller_gone":
            return "the caller closed its connection before the answer was complete"
        case "request_sent" if last.fields.get("outcome") == "Served":
            return _latency_cause(last)
        case _:
            return _describe(last)


def _refusal_cause(line: LogLine) -> str:
    if line.number("standing") >= 1.0:
        return (
            f"the organisation had its share already ({line.number('got'):.0f} of "
            f"{line.number('level'):.0f}), and no upstream was idle enough for "
            "requests beyond it"
        )
    if line.fields.get("is_over_share") == "True":
        return (
            f"the organisation had {line.number('standing'):.2f} of its share; one "
            "that had less would have been admitted"
        )
    if line.fields.get("has_room") == "False":
        return "the best upstream had no free slot or no memory left"
    return "more load than the upstreams can serve within the objective"


def _failure_cause(steps: Sequence[LogLine], context: Sequence[LogLine]) -> str:
    broken = [line for line in steps if line.fields.get("outcome") == "Broken"]
    names = {line.fields.get("upstream") for line in broken}
    lost = [
        line
        for line in context
        if line.event in ("upstream_crashed", "upstream_gone", "upstream_restarted")
        and line.fields.get("upstream") in names
    ]
    if lost:
        return f"its upstream was lost ({_summary(lost[0])}); it may have run there"
    if broken:
        return (
            f"its connection broke ({broken[-1].fields.get('detail')}); it may have run"
        )
    return "the upstream failed"


def _latency_cause(line: LogLine) -> str:
    first_s = line.number("first_event_s")
    pause_s = line.number("longest_pause_s")
    if not first_s:
        return f"answered after {line.number('took_s'):.3f} s"
    load = line.fields.get("load", "-")
    return (
        f"answered; first event after {first_s:.3f} s where "
        f"{line.number('expected_s'):.3f} s were expected, then pauses of up to "
        f"{pause_s:.3f} s; the upstream reported running/waiting/slowness {load}"
    )
