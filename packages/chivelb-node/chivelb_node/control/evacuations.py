"""Orders to evacuate an availability zone, and to end that."""

from collections.abc import Container

from chivelb_core.document import validation

from chivelb_node import context as context_lib
from chivelb_node.control import voter_client as voter_client_lib
from chivelb_node.telemetry import logs

SUBMIT_TIMEOUT_S = 3.0
# Characters of a zone's name.
MAX_NAME_LENGTH = 128
_log = logs.get_logger("evacuations")


class UnknownZoneError(ValueError):
    """An order names a zone that the settings don't list."""


def check_zone(zone: str, known_zones: Container[str]) -> None:
    """Checks the name of a zone.

    Args:
        zone: Name in an order.
        known_zones: Zones of the settings; if empty, only the length of the
            name is checked.

    Raises:
        UnknownZoneError: The name is invalid; the message lists the zones.
    """
    if known_zones and zone not in known_zones:
        raise UnknownZoneError(
            f"zone: {validation.describe_choices(zone, list(known_zones))}"
        )
    if not 0 < len(zone) <= MAX_NAME_LENGTH:
        raise UnknownZoneError(
            f"zone: must have 1 to {MAX_NAME_LENGTH} characters, "
            f"not {len(zone)}"
        )


async def submit(
    context: context_lib.InstanceContext,
    voter_client: voter_client_lib.VoterClient,
    zone: str,
    *,
    evacuate: bool,
) -> voter_client_lib.OrderOutcome:
    """Submits an order to the voters and logs what became of it.

    Args:
        context: Shared state of the instance.
        voter_client: Client of the control group.
        zone: Name of the availability zone, as checked by ``check_zone``.
        evacuate: True to evacuate the zone, False to end its evacuation.
    """
    known_version = context.version
    outcome = await voter_client.submit_evacuation(
        zone, evacuate=evacuate, timeout_s=SUBMIT_TIMEOUT_S
    )
    _log.info(
        "evacuation order submitted",
        zone=zone,
        evacuate=evacuate,
        known_version=known_version,
        outcome=outcome.value,
    )
    return outcome
