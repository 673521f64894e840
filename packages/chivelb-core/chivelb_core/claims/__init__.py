"""At-most-once: write-once claims held by a majority of keepers."""

from chivelb_core.claims.keeper import Keeper
from chivelb_core.claims.round import ClaimRound
from chivelb_core.claims.round import Verdict

__all__ = ["ClaimRound", "Keeper", "Verdict"]
