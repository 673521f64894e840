"""Scaling benchmarks: resource cost of each component by size.

The components of the core package are driven directly, without processes or
sockets. Sizes of messages include the encoding by the wire codec.
"""

from chivelb_cli.bench import scaling_control
from chivelb_cli.bench import scaling_curves
from chivelb_cli.bench import scaling_routing

REPEATS = scaling_curves.REPEATS
AUTHENTICATION_BYTES = scaling_control.AUTHENTICATION_BYTES

ScalingPoint = scaling_curves.ScalingPoint
ScalingCurve = scaling_curves.ScalingCurve
format_markdown = scaling_curves.format_markdown
measure_membership = scaling_control.measure_membership
measure_directory = scaling_routing.measure_directory
measure_decision = scaling_routing.measure_decision
measure_announcements = scaling_routing.measure_announcements
measure_claims = scaling_control.measure_claims
measure_document = scaling_control.measure_document
measure_change_ids = scaling_control.measure_change_ids
measure_returns = scaling_routing.measure_returns
measure_waiting = scaling_routing.measure_waiting
measure_placement = scaling_routing.measure_placement
measure_placement_by_peers = scaling_routing.measure_placement_by_peers

SCALING_BENCHMARKS = {
    "membership": measure_membership,
    "directory": measure_directory,
    "decision": measure_decision,
    "announcements": measure_announcements,
    "claims": measure_claims,
    "document": measure_document,
    "change_ids": measure_change_ids,
    "returns": measure_returns,
    "waiting": measure_waiting,
    "placement": measure_placement,
    "placement_by_peers": measure_placement_by_peers,
}
