"""Builders of test data."""

from chivelb_cli import samples
from chivelb_core import document
from chivelb_core import targets
from chivelb_core.document import changes
from chivelb_core.document import model as model_lib
from chivelb_core.kept import messages as kept_messages
import msgspec


def make_document(**options) -> document.Document:
    plain = samples.sample_document(
        workspaces=options.pop("workspaces", ["joinery", "kitchens"]),
        **options,
    )
    return msgspec.convert(plain, document.Document)


def make_register(**options) -> document.Register:
    return document.Register(document=make_document(**options), version=1)


def make_change(change_id="c1", base=1, path="limits", value=None, **options):
    if value is None and path == "limits":
        value = {"max_queue": 77}
    return document.Change(
        change_id=change_id,
        base_version=base,
        operations=[changes.Operation(path, value)],
        **options,
    )


def make_model(**options) -> model_lib.Model:
    values = {
        "versions": ["v1", "v2"],
        "current": "v1",
        "loads_at_once": 2,
        "min_ready": 2,
    }
    return model_lib.Model(**{**values, **options})


def make_record(identity="r1", **options) -> targets.TargetRecord:
    values = {
        "incarnation": 1,
        "sequence": 1,
        "address": "127.0.0.1:9000",
        "zone": "z1",
        "service": "estimator-lm",
        "model": "lm",
        "weight_version": "v1",
    }
    return targets.TargetRecord(identity=identity, **{**values, **options})


def make_reserve(keys, workspace="w", value=1.0, length=10):
    return kept_messages.ReserveBlocks(
        "s", workspace, list(keys), length, value
    )


def make_lease(keys, reader="r"):
    return kept_messages.LeaseBlocks("s", reader, list(keys))
