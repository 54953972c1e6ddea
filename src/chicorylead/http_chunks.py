"""Finds the end of the chunks of a body without looking at what they hold.

The parser does not tell where a request ends, and what follows must not reach it before
the answer. A search for the bytes with which a request may end would stop at each of
them that the caller puts into its body.
"""

__all__ = ["ChunkScanner"]

MAX_LINE_BYTES = 16_384  # a size and its extensions
_HEX = frozenset(b"0123456789abcdefABCDEF")
_LINE_END = b"\r\n"


class ChunkScanner:
    """Follows the sizes of the chunks of one body, which the parser checks.

    Attributes:
        is_last: Whether the last chunk was seen; trailers follow.
        is_lost: Whether there is no size where one is due.
    """

    def __init__(self) -> None:
        self.is_last = False
        self.is_lost = False
        self._n_left = 0  # bytes of the current chunk and of its line end
        self._line = b""  # beginning of the line with the next size

    def scan(self, data: bytes, start: int) -> int:
        """Return the position after the line of the last chunk, or the end of the data.

        Args:
            data: Bytes that were read.
            start: Where the part begins that was not scanned before.
        """
        while not self.is_lost:
            n_skipped = min(self._n_left, len(data) - start)
            start += n_skipped
            self._n_left -= n_skipped
            if start == len(data):
                break
            end = data.find(b"\n", start) + 1
            if end == 0:
                self._line += data[start:]
                self.is_lost = len(self._line) > MAX_LINE_BYTES
                break
            size = _decode_size(self._line + data[start:end])
            self._line = b""
            start = end
            if size == 0:
                self.is_last = True
                return start
            self.is_lost = size is None
            self._n_left = (size or 0) + len(_LINE_END)
        return len(data)


def _decode_size(line: bytes) -> int | None:
    digits = line.partition(b";")[0].rstrip(_LINE_END)
    return int(digits, 16) if digits and _HEX.issuperset(digits) else None
