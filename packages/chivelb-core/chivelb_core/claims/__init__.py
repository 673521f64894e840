"""At-most-once execution: claims of idempotency keys, stored by keepers.

Before an entry instance, the instance that received a caller's request,
dispatches the request, it claims the request's idempotency key at all keepers.
It dispatches only if a majority of them grants the claim. Until the claim is
released or expires, a keeper grants the key to no other claim, and it keeps the
first outcome that it records.
"""

from chivelb_core.claims.keeper import Keeper
from chivelb_core.claims.round import ClaimRound
from chivelb_core.claims.round import majority_of
from chivelb_core.claims.round import ROUND_TIMEOUT_S
from chivelb_core.claims.round import RoundResult

__all__ = [
    "ROUND_TIMEOUT_S",
    "ClaimRound",
    "Keeper",
    "RoundResult",
    "majority_of",
]
