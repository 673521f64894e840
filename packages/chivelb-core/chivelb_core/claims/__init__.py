"""At-most-once execution: write-once claims replicated to keepers."""

from chivelb_core.claims.keeper import Keeper
from chivelb_core.claims.round import ClaimRound
from chivelb_core.claims.round import ROUND_TIMEOUT_S
from chivelb_core.claims.round import RoundResult

__all__ = ["ROUND_TIMEOUT_S", "ClaimRound", "Keeper", "RoundResult"]
