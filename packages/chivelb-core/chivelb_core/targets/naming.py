"""Tells which announcements name a target of a document's services."""

from collections.abc import Mapping

from chivelb_core.targets import record as record_lib

# Characters of a name in a reason.
MAX_QUOTED_LENGTH = 80


def find_problem(
    record: record_lib.TargetRecord,
    models_by_service: Mapping[str, frozenset[str]],
) -> str:
    """Returns why an announcement names no target to use; empty if it does.

    Args:
        record: The announcement.
        models_by_service: For each service of the document, the models that
            its targets serve; none for a service without models.
    """
    models = models_by_service.get(record.service)
    if models is None:
        return f"service {record.service[:MAX_QUOTED_LENGTH]!r} is not named"
    if models and record.model not in models:
        return (
            f"model {record.model[:MAX_QUOTED_LENGTH]!r} is not one of: "
            f"{', '.join(sorted(models))}"
        )
    if models and not record.weight_version:
        return f"model {record.model[:MAX_QUOTED_LENGTH]!r} has no version"
    return ""
