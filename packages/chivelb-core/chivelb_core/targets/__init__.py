"""Targets and the announcements that register them."""

from chivelb_core.targets.record import find_record_faults
from chivelb_core.targets.record import TargetRecord
from chivelb_core.targets.table import TargetTable

__all__ = ["TargetRecord", "TargetTable", "find_record_faults"]
