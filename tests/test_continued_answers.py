"""An answer of a model call goes on only at the versions that began it."""

import asyncio

import builders
from chivelb_core import calls
from chivelb_core import codes
from chivelb_core import routing
from chivelb_core.calls import attempt as attempt_lib
from chivelb_node import context as context_lib
from chivelb_node.edge import dispatch
from chivelb_node.edge import model_calls
from chivelb_node.edge import parsing
from chivelb_node.edge import responses
from chivelb_node.links import cache as cache_lib
from chivelb_node.links import events
from chivelb_node.links import runners
import pytest

BROKEN = attempt_lib.AttemptError(
    attempt_lib.Outcome(
        calls.OutcomeKind.UNKNOWN, codes.OUTCOME_UNKNOWN, "broke off"
    )
)


class NoCache:
    """Stands for a cache without any block."""

    async def look_up_holdings(self, call):
        call.holdings = {}

    async def lease_blocks(self, call, grant, attempt_name):
        return cache_lib.LeasedBlocks()

    def record_dispatch(self, call, identity):
        pass

    def release_blocks(self, leased_blocks):
        pass

    def export_if_worthwhile(self, call, record):
        pass

    def cancel(self, attempt):
        pass


class NextTarget:
    """Grants the first target that may serve a call and was not tried."""

    def __init__(self, records):
        self.records = records

    async def admit(self, call):
        for record in self.records:
            if record.identity not in call.tried and call.may_go_to(record):
                choice = routing.Choice(record.identity, 0, 0, 0.0, 0.0)
                return dispatch.Grant(record, choice, 0, 0)
        raise responses.RequestError(codes.NO_TARGET)

    def finish(self, grant, service, *, first_token_seen):
        pass


def make_call():
    now = context_lib.monotonic()
    return parsing.ModelCall(
        request_id="r-1",
        workspace="joinery",
        service="estimator-lm",
        model="lm",
        versions=["v1", "v2"],
        class_name="interactive",
        prompt=b"p",
        max_tokens=8,
        stream=True,
        chat=False,
        salt="s",
        deadline=now + 5.0,
        received_at=now,
        body={},
    )


def run_call(monkeypatch, *software_versions):
    """Returns the targets of a call whose first answer breaks off."""
    context = builders.make_context(builders.make_document())
    tried = []

    async def stream_attempt(session, attempt):
        tried.append(attempt.record.software_version)
        yield events.Batch(b"id: a/0\ndata: {}\n\n", 1)
        if len(tried) == 1:
            raise BROKEN

    monkeypatch.setattr(runners, "stream_attempt", stream_attempt)
    monkeypatch.setattr(events, "join_text", lambda batches: "x")
    model_call = model_calls.ModelCalls(
        context,
        NextTarget(
            [
                builders.make_record(f"t{number}", software_version=version)
                for number, version in enumerate(software_versions)
            ]
        ),
        None,
        NoCache(),
        lambda observation: None,
    )

    async def run():
        async for _ in model_call.run(make_call(), model_calls.Progress()):
            pass

    asyncio.run(run())
    return tried


# Guards against an answer that targets of two software versions wrote.
def test_an_answer_goes_on_at_the_software_version_that_began_it(monkeypatch):
    assert run_call(monkeypatch, "a", "b", "a") == ["a", "a"]


def test_an_answer_without_another_target_of_its_version_ends(monkeypatch):
    with pytest.raises(responses.RequestError):
        run_call(monkeypatch, "a", "b")
