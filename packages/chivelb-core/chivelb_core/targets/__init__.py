"""Targets and the announcements that register them."""

from chivelb_core.targets.record import TargetRecord
from chivelb_core.targets.record import validate_record
from chivelb_core.targets.table import TargetTable

__all__ = ["TargetRecord", "TargetTable", "validate_record"]
