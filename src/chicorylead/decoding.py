"""Decodes what others wrote; `ValueError` is the only error that it raises."""

from typing import Annotated, TypeVar

import msgspec
from msgspec import Meta

__all__ = [
    "Count",
    "PositiveCount",
    "decode_json",
    "decode_msgpack",
    "non_negative_number",
]

T = TypeVar("T")

# Whole numbers that every format between routers can carry.
Count = Annotated[int, Meta(ge=0, le=2**53)]
PositiveCount = Annotated[int, Meta(ge=1, le=2**53)]


def decode_json(data: bytes, type: type[T]) -> T:
    """Decode JSON into a type.

    Raises:
        ValueError: The data is malformed, or nested too deep to be read.
    """
    try:
        return msgspec.json.decode(data, type=type)
    except RecursionError as exc:
        raise ValueError(f"{len(data)} bytes nested too deep") from exc


def decode_msgpack(decoder: msgspec.msgpack.Decoder[T], data: bytes) -> T:
    """Decode MessagePack.

    Raises:
        ValueError: The data is malformed, or nested too deep to be read.
    """
    try:
        return decoder.decode(data)
    except RecursionError as exc:
        raise ValueError(f"{len(data)} bytes nested too deep") from exc


def non_negative_number(value: object, largest: float) -> float | None:
    """Return a decoded value as a number; None unless it is one from 0 to a limit."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        return None
    return float(value) if 0 <= value <= largest else None
