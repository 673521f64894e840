import asyncio

from chivelb_core import calls
from chivelb_core import codes
from chivelb_core.calls import attempt
from chivelb_core.calls import suspects
from chivelb_node.edge import parsing
from chivelb_node.links import events
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import pytest

KIND = attempt.OutcomeKind
ATTEMPT_ID = "req.1.aabbccdd"


def may_retry(kind, *, repeatable=True, response_started=False, attempts=1):
    return attempt.may_retry(
        attempt.Outcome(kind, codes.OUTCOME_UNKNOWN),
        repeatable=repeatable,
        response_started=response_started,
        attempts=attempts,
        max_attempts=3,
    )


RETRY_TABLE = [
    (KIND.NOT_RUN, True, False, True),
    (KIND.NOT_RUN, False, False, True),
    (KIND.UNKNOWN, True, False, True),
    (KIND.UNKNOWN, False, False, False),
    (KIND.UNKNOWN, True, True, False),
    (KIND.FAILED, True, False, False),
    (KIND.FAILED, False, False, False),
    (KIND.DONE, True, False, False),
]


@pytest.mark.parametrize(
    "kind,repeatable,response_started,expected", RETRY_TABLE
)
def test_which_outcomes_may_be_retried(
    kind, repeatable, response_started, expected
):
    assert (
        may_retry(
            kind, repeatable=repeatable, response_started=response_started
        )
        is expected
    )
    assert not may_retry(
        kind,
        repeatable=repeatable,
        response_started=response_started,
        attempts=3,
    )


def test_retries_are_a_share_of_first_attempts():
    budget = calls.TokenBucketBudget(ratio=0.1, max_tokens=5.0)
    while budget.spend():
        pass
    retries = 0
    for _ in range(100):
        budget.record_request()
        retries += budget.spend()
    assert 9 <= retries <= 10


def report_crash(table, key, target, now=0.0):
    return table.add_observation(suspects.CrashObservation(key, target), now)


def test_a_prompt_is_rejected_after_crashes_of_two_distinct_targets():
    table = calls.SuspectTable()
    assert report_crash(table, "p", "r1/1")
    assert not report_crash(table, "p", "r1/1")
    assert not table.is_refused("p", 1.0)
    assert report_crash(table, "p", "r2/1")
    assert table.is_refused("p", 1.0)
    assert not table.is_refused("p", suspects.REFUSAL_PERIOD_S + 1)


def test_a_prompt_that_finished_is_cleared():
    table = calls.SuspectTable()
    report_crash(table, "p", "r1/1")
    table.add_observation(suspects.CrashObservation("p", "", cleared=True), 1.0)
    report_crash(table, "p", "r2/1")
    assert not table.is_refused("p", 2.0)


def test_a_third_crash_distinguishes_suspects_that_shared_two_crashes():
    table = calls.SuspectTable()
    for target in ("r1/1", "r2/1"):
        report_crash(table, "poison", target)
        report_crash(table, "bystander", target)
    assert not table.is_refused("poison", 1.0)
    assert not table.is_refused("bystander", 1.0)
    report_crash(table, "poison", "r3/1")
    assert table.is_refused("poison", 1.0)
    assert not table.is_refused("bystander", 1.0)


def test_fingerprints_differ_between_workspaces():
    assert calls.fingerprint("a", b"p") != calls.fingerprint("b", b"p")


def token_event(position, attempt_id=ATTEMPT_ID):
    return (
        f'id: {attempt_id}/{position}\ndata: {{"choices":[{{"text":"t"}}]}}\n\n'
    ).encode()


DONE = b"data: [DONE]\n\n"


def check_stream(chunks, offset=0):
    async def run():
        async def source():
            for chunk in chunks:
                yield chunk

        event_runs = events.split_events(source())
        return [
            b async for b in events.check_events(event_runs, ATTEMPT_ID, offset)
        ]

    return asyncio.run(run())


def test_complete_events_are_forwarded_unchanged():
    data = token_event(0) + token_event(1) + DONE
    batches = check_stream([data])
    assert [(b.data, b.tokens, b.done) for b in batches] == [(data, 2, True)]


@settings(max_examples=200, derandomize=True, deadline=None)
@given(strategies.lists(strategies.integers(1, 120), max_size=8))
def test_partial_events_are_buffered_until_complete(chunk_sizes):
    data = b"".join(token_event(n) for n in range(5)) + b": beat\n\n" + DONE
    chunks = []
    start = 0
    for size in chunk_sizes:
        chunks.append(data[start : start + size])
        start += size
    chunks.append(data[start:])
    batches = check_stream([c for c in chunks if c])
    assert sum(batch.tokens for batch in batches) == 5
    assert b"".join(b.data for b in batches).count(b"id: ") == 5
    assert batches[-1].done


INVALID_STREAMS = [
    ("another attempt", [token_event(0, "req.9.x")]),
    (
        "another attempt's id of equal length",
        [token_event(0, "req.2.aabbccdd")],
    ),
    ("a gap", [token_event(0), token_event(2)]),
    ("no id", [b'data: {"choices":[]}\n\n']),
    ("too large", [b"id: " + b"x" * (events.MAX_EVENT_BYTES + 9)]),
]


@pytest.mark.parametrize("name,chunks", INVALID_STREAMS)
def test_invalid_events_and_events_of_another_attempt_are_an_error(
    name, chunks
):
    with pytest.raises(events.StreamError):
        check_stream(chunks)


def test_a_repeated_token_is_passed_on_once():
    batches = check_stream(
        [
            token_event(0) + token_event(1),
            token_event(1) + token_event(2) + DONE,
        ]
    )
    data = b"".join(batch.data for batch in batches)
    assert data.count(f"id: {ATTEMPT_ID}/1\n".encode()) == 1
    assert sum(batch.tokens for batch in batches) == 3


@settings(max_examples=300, derandomize=True, deadline=None)
@given(strategies.lists(strategies.binary(max_size=60), max_size=6))
def test_checking_arbitrary_bytes_raises_only_stream_errors(chunks):
    try:
        start = f"id: {ATTEMPT_ID}/".encode()
        check_stream([prefix + c for c in chunks for prefix in (b"", start)])
    except events.StreamError:
        pass


def test_request_ids_are_bound_to_their_workspace():
    own_secret, other_secret = "ab" * 32, "cd" * 32
    request_id = parsing.new_request_id(own_secret)
    assert parsing.is_request_id_of_workspace(request_id, own_secret)
    assert not parsing.is_request_id_of_workspace(request_id, other_secret)
    assert not parsing.is_request_id_of_workspace("x" * 24, own_secret)
