"""Rendezvous hashing: every process makes the same choice without communication."""

from collections.abc import Iterable
from hashlib import blake2b
from typing import TypeVar

__all__ = ["hash64", "mix", "pick", "rank"]

T = TypeVar("T", bound=str)
_MULTIPLIER = 0x9E3779B97F4A7C15  # odd, with evenly spread bits
_MASK = 2**64 - 1


def hash64(*parts: str) -> int:
    """Return a 64-bit hash of strings that is the same in every process."""
    digest = blake2b("\x00".join(parts).encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def mix(first: int, second: int) -> int:
    """Return a 64-bit hash of two hashes, cheaper than one of strings."""
    return (first ^ second) * _MULTIPLIER & _MASK


def rank(key: str, names: Iterable[T]) -> list[T]:
    """Return names in order of preference for a key."""
    return sorted(names, key=lambda name: hash64(key, name))


def pick(key: str, names: Iterable[T]) -> T | None:
    """Return the preferred name for a key, or None when there are no names."""
    return min(names, key=lambda name: hash64(key, name), default=None)
