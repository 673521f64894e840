"""Targets that ask for rest, or leave, in their answers.

Load pattern: more calls than the targets of a service take; each of them turns
requests away and asks who sent them for some seconds of rest.
"""

import scripted
import wire_calls


def answer(status, *headers, body=b"ok"):
    """Returns a complete response; ``status`` is its code and reason."""
    lines = [f"HTTP/1.1 {status}".encode(), *headers]
    lines.append(b"Content-Length: %d" % len(body))
    return [b"\r\n".join(lines) + b"\r\n\r\n" + body]


def refusal(*values):
    rests = [b"Retry-After: " + value.encode() for value in values]
    return answer("503 Busy", b"X-Not-Executed: 1", *rests, body=b"")


def ok(*headers):
    return answer("200 OK", b"X-Request-Id: r-1", *headers)


def send(count, *targets):
    """Sends requests one after the other and returns what callers got."""
    request = wire_calls.make_request(wire_calls.STREAM_PATH)
    received = wire_calls.run_calls([request] * count, targets, idle_s=0.3)
    return [each.data for each in received]


# Guards against a target that gets requests from an instance that it has asked
# for rest (BUDGET): more than two in that time break the users' rule.
def test_a_target_that_asks_for_rest_gets_no_further_requests():
    resting = scripted.ScriptedTarget(*[refusal("3")] * 20)
    received = send(20, resting)
    assert len(resting.requests) == 1
    assert all(data.startswith(b"HTTP/1.1 503") for data in received)


# Guards against a target that gets requests from an instance after it has said
# that it leaves (DRAIN).
def test_a_target_that_says_that_it_leaves_gets_no_further_requests():
    leaving = scripted.ScriptedTarget(*[ok(b"Server-Leaving: 1")] * 5)
    staying = scripted.ScriptedTarget(*[ok()] * 5)
    received = send(5, leaving, staying)
    assert len(leaving.requests) == 1
    assert len(staying.requests) == 4
    assert all(data.startswith(b"HTTP/1.1 200") for data in received)
