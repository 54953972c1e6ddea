"""What routers tell each other about crashes of upstreams."""

from collections.abc import Iterable

from msgspec import Struct
from msgspec.structs import replace

from chicorylead.outcome.poison_notice import PoisonNotice

__all__ = ["CrashNews", "CrashReport", "LoggedCrashes", "TrialReport", "replay"]


class CrashReport(Struct, frozen=True, array_like=True):
    """The parts that may have crashed one engine.

    Attributes:
        crash: Id of the crash, the same in every router.
        parts: Ids of shared parts of requests whose answer had not begun.
        is_trial: Whether the parts are of a request that was run as a trial.
        age_ms: Time since the crash, milliseconds.
    """

    crash: str
    parts: list[bytes]
    is_trial: bool
    age_ms: int


class TrialReport(Struct, frozen=True, array_like=True):
    """A request that runs to find out whether its parts crash engines.

    Attributes:
        trial: Id of the trial, with the router that runs it.
        parts: Ids of the parts that are in doubt.
        upstream: Id of the engine; empty once the trial has ended.
    """

    trial: str
    parts: list[bytes]
    upstream: str


class CrashNews(Struct, frozen=True, array_like=True, tag="t"):
    """News about prompt parts, and about requests, that crash upstreams.

    Attributes:
        incarnation: Incarnation of the sender.
        answered: Ids of parts that engines answer now.
        suspects: Requests under which upstreams crashed.
    """

    incarnation: int
    crashes: list[CrashReport]
    trials: list[TrialReport]
    answered: list[bytes]
    suspects: list[PoisonNotice] = []

    def aged(self, age_ms: int) -> "CrashNews":
        """Return the news with the ages of its crashes some milliseconds later."""
        crashes = [
            replace(crash, age_ms=crash.age_ms + age_ms) for crash in self.crashes
        ]
        suspects = [suspect.aged(age_ms) for suspect in self.suspects]
        return replace(self, crashes=crashes, suspects=suspects)


class LoggedCrashes(Struct, frozen=True, array_like=True):
    """News in the log of crashes.

    Attributes:
        at_ms: Wall-clock time at which the news was made, milliseconds.
    """

    at_ms: int
    news: CrashNews


def replay(logged: Iterable[LoggedCrashes], now_ms: int) -> CrashNews:
    """Return what still holds of the news in the log, in its order.

    Args:
        logged: The news.
        now_ms: Wall-clock time, milliseconds. That of the writers may differ a little.
    """
    crashes: dict[tuple[str, bool], CrashReport] = {}
    suspects: list[PoisonNotice] = []
    for item in logged:
        news = item.news.aged(max(0, now_ms - item.at_ms))
        answered = set(news.answered)
        for key, crash in list(crashes.items()):
            if answered.intersection(crash.parts):
                parts = [part for part in crash.parts if part not in answered]
                crashes[key] = replace(crash, parts=parts)
        crashes |= {(crash.crash, crash.is_trial): crash for crash in news.crashes}
        suspects += (suspect for suspect in news.suspects if suspect.ttl_s > 0)
    left = [crash for crash in crashes.values() if crash.parts]
    return CrashNews(0, left, [], [], suspects)
