"""Targets and the announcements that register them."""

from chivelb_core.targets.record import is_address
from chivelb_core.targets.record import is_identity
from chivelb_core.targets.record import is_weight_number
from chivelb_core.targets.record import MAX_COLD_S
from chivelb_core.targets.record import TargetRecord
from chivelb_core.targets.record import validate_listed_record
from chivelb_core.targets.record import validate_record
from chivelb_core.targets.record import without_invalid_cold_time
from chivelb_core.targets.table import TargetTable

__all__ = [
    "MAX_COLD_S",
    "TargetRecord",
    "TargetTable",
    "is_address",
    "is_identity",
    "is_weight_number",
    "validate_listed_record",
    "validate_record",
    "without_invalid_cold_time",
]
