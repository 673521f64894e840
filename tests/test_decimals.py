"""Numbers that are received as text."""

import builders
from chivelb_core import decimals
from chivelb_core import targets
from chivelb_node import settings as settings_lib
from chivelb_node.links import events
from chivelb_node.links import http_connection
from chivelb_platform import headers
import hypothesis
from hypothesis import strategies
import pytest

# A superscript two and a circled one are digits to str.isdigit(), and int()
# refuses them; it takes the Arabic two, which no protocol here means.
# int() also refuses more than 4,300 digits.
NO_NUMBERS = ("²", "①", "٢", "1²", "9" * 5_000)


# Guards against an exception for a text that only looks like a number.
@hypothesis.settings(max_examples=500, derandomize=True, deadline=None)
@hypothesis.given(
    strategies.text(max_size=30)
    | strategies.text(strategies.characters(categories=["Nd", "No"]))
    | strategies.sampled_from(NO_NUMBERS)
)
def test_any_text_is_a_number_of_ascii_digits_or_none(text):
    number = decimals.parse(text)
    is_number = 0 < len(text) <= 18 and set(text) <= set("0123456789")
    assert number == (int(text) if is_number else None)


# Guards against a 500 for a hint that is no number.
@pytest.mark.parametrize("hint", [*NO_NUMBERS, "", "-1", "9" * 400])
def test_a_length_hint_that_is_no_number_is_unknown(hint):
    prompt = headers.decode_prompt(
        {"X-Model": "m", "X-Token-Usage": "9,5", "X-Length-Hint": hint}
    )
    assert (prompt.tokens, prompt.max_output) == (9, 5)
    assert (
        headers.decode_prompt({"X-Model": "m", "X-Token-Usage": "9,5"})
        == prompt
    )


# Guards against counts of tokens that no float can hold.
@pytest.mark.parametrize(
    ("usage", "parts"),
    [("9" * 400 + ",5", ""), ("9," + "9" * 400, ""), ("9,5", "a:" + "9" * 400)],
)
def test_a_prompt_of_absurd_size_is_malformed(usage, parts):
    assert (
        headers.decode_prompt(
            {"X-Model": "m", "X-Token-Usage": usage, "X-Prefix-Hash": parts}
        )
        is None
    )


@pytest.mark.parametrize("text", NO_NUMBERS)
def test_a_port_that_is_no_number_is_refused(text):
    with pytest.raises(ValueError, match="host:port"):
        settings_lib.split_address(f"10.0.0.1:{text}")
    record = builders.make_record("r", address=f"10.0.0.1:{text}")
    assert any(
        problem.startswith("address")
        for problem in targets.validate_record(record)
    )


@pytest.mark.parametrize("text", NO_NUMBERS)
def test_an_idle_timeout_that_is_no_number_is_ignored(text):
    value = f"timeout={text}".encode()
    idle_s = http_connection._parse_idle_timeout(value)
    assert idle_s == http_connection.MAX_IDLE_S


# Guards against a caller's last event id, or a target's, that ends a stream
# with an exception.
@pytest.mark.parametrize("text", NO_NUMBERS[:-1])
def test_an_event_id_that_is_no_number_is_compared_as_text(text):
    run = b"id: 7\ndata: x\n\n"
    assert not events.is_repeated(run, text)
    assert not events.leaves_out(run, text)
    assert events.ordered_prefix(run, text) == run


# Guards against ids that are too long for a number and end a sound stream, or
# are taken out of order.
@pytest.mark.parametrize("digits", [1, 20, 5_000])
def test_endless_ids_are_compared_too(digits):
    first = b"id: " + b"8" * digits + b"\ndata: x\n\n"
    higher = b"id: " + b"9" * digits + b"\ndata: y\n\n"
    lower = b"id: 00" + b"7" * digits + b"\ndata: y\n\n"
    assert events.ordered_prefix(first + higher, "7") == first + higher
    assert events.ordered_prefix(first + lower, "7") == first
    assert events.ordered_prefix(first + first, "7") == first
    assert events.ordered_prefix(first, "9" * digits) == b""
    assert events.is_repeated(first, "9" * digits)
    assert not events.is_repeated(higher, "8" * digits)
