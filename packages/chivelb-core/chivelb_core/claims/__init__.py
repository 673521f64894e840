"""At-most-once execution: write-once claims replicated to keepers."""

from chivelb_core.claims.keeper import Keeper
from chivelb_core.claims.round import ClaimRound
from chivelb_core.claims.round import ROUND_LIFE_S
from chivelb_core.claims.round import Verdict

__all__ = ["ROUND_LIFE_S", "ClaimRound", "Keeper", "Verdict"]
