"""A stream goes on only at the software version that began it.

Targets of several versions serve one service side by side; what two of them
write does not fit together in one stream.
"""

import pytest
import scripted
import wire_calls

E1, E2, E3 = (scripted.event(number) for number in (1, 2, 3))


def broken(*events, request_id="r-1"):
    """Returns a stream that is reset after some events."""
    steps = scripted.stream(*events, X_Request_Id=request_id)
    return [*steps, 0.05, scripted.RESET]


def whole(*events, request_id="r-1"):
    steps = scripted.stream(*events, X_Request_Id=request_id)
    return [*steps, scripted.END]


def failure(request_id="r-1"):
    return [scripted.answer(b"no", status=500, X_Request_Id=request_id)]


def take_up(*, after=1, resumes="r-1"):
    """Returns the request of a caller that takes up a stream."""
    lines = f"Last-Event-Id: {after}\r\n"
    if resumes:
        lines += f"Resumes: {resumes}\r\n"
    return wire_calls.make_request(
        wire_calls.RESUMABLE_PATH, extra=lines, request_id="r-2"
    )


# Guards against a stream that another software version continued within one
# answer.
def test_within_an_answer_a_stream_goes_on_at_the_version_that_began_it():
    received = wire_calls.run_call(
        wire_calls.make_request(wire_calls.RESUMABLE_PATH),
        broken(E1),
        whole(E2, E3),
        whole(E2, E3),
        software_version=["v1", "v2", "v1"],
    )
    assert received.requests["t1"] == []
    assert received.body == E1 + E2 + E3
    assert received.is_framed_as_complete


# Guards against the same, where no other target has the version.
def test_a_stream_whose_version_has_no_other_target_is_aborted():
    received = wire_calls.run_call(
        wire_calls.make_request(wire_calls.RESUMABLE_PATH),
        broken(E1),
        whole(E2, E3),
        software_version=["v1", "v2"],
    )
    assert received.requests["t1"] == []
    assert received.body == E1
    assert not received.is_framed_as_complete


# Guards against a stream that its caller took up and another software version
# continued.
def test_a_stream_that_its_caller_takes_up_goes_on_at_the_version_that_began():
    first, second = wire_calls.run_calls(
        [wire_calls.make_request(wire_calls.RESUMABLE_PATH), take_up()],
        [
            scripted.ScriptedTarget(
                broken(E1), whole(E2, E3, request_id="r-2")
            ),
            scripted.ScriptedTarget(whole(E2, E3, request_id="r-2")),
            scripted.ScriptedTarget(failure(), whole(E2, E3, request_id="r-2")),
        ],
        software_version=["v1", "v2", "v1"],
    )
    assert first.body == E1
    assert first.requests["t1"] == []
    assert second.body == E2 + E3
    assert second.is_framed_as_complete


# Guards against a guess: a stream whose version is not known any more may go on
# at none of several versions.
@pytest.mark.parametrize("resumes", ["r-unknown", ""])
def test_a_stream_of_an_unknown_version_is_refused_without_a_run(resumes):
    received = wire_calls.run_call(
        take_up(resumes=resumes),
        whole(E2, E3, request_id="r-2"),
        whole(E2, E3, request_id="r-2"),
        software_version=["v1", "v2"],
    )
    assert received.data.startswith(b"HTTP/1.1 503 ")
    assert b"Retry-After" in received.data
    assert received.requests == {"t0": [], "t1": []}


@pytest.mark.parametrize("resumes", ["r-unknown", ""])
def test_a_stream_goes_on_where_all_targets_have_one_version(resumes):
    received = wire_calls.run_call(
        take_up(resumes=resumes),
        whole(E2, E3, request_id="r-2"),
        software_version=["v1"],
    )
    assert received.body == E2 + E3


def test_a_new_request_goes_to_any_version():
    received = wire_calls.run_call(
        wire_calls.make_request(wire_calls.RESUMABLE_PATH),
        [scripted.RESET],
        whole(E1, E2),
        software_version=["v1", "v2"],
    )
    assert received.body == E1 + E2
