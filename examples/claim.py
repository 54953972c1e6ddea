"""Two attempts claim one key: the first in the log wins, and a void frees the key."""

from chicorylead.ids import Incarnation, Offset, RouterId
from chicorylead.outcome.claim import Claim, ClaimIndex, Void

index = ClaimIndex()
for number, attempt in enumerate(("first", "second"), 1):
    claim = Claim(
        "frasear/archive/e1", "digest", attempt, RouterId("r"), Incarnation(1)
    )
    index.apply(Offset(number), [claim])
print("holder:", index.get("frasear/archive/e1").claim.attempt)
index.apply(Offset(3), [Void("frasear/archive/e1", "first")])
print("after the void:", index.get("frasear/archive/e1"))
