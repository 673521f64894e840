"""Targets and the announcements that register them."""

from chivelb_core.targets.record import is_address
from chivelb_core.targets.record import is_weight_number
from chivelb_core.targets.record import TargetRecord
from chivelb_core.targets.record import validate_listed_record
from chivelb_core.targets.record import validate_record
from chivelb_core.targets.table import TargetTable

__all__ = [
    "TargetRecord",
    "TargetTable",
    "is_address",
    "is_weight_number",
    "validate_listed_record",
    "validate_record",
]
