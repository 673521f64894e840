from chivelb_node import settings as settings_lib
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import pytest


def errors_of(text):
    result = settings_lib.parse_settings(text, "x.ini")
    return result.error if result.is_error() else []


def test_the_example_is_valid():
    assert errors_of(settings_lib.render_example()) == []


BASE = "[instance]\nname = a\nzone = z\n"
CASES = [
    ("[instanc]\n", ["x.ini", "[instanc]", "did you mean 'instance'?"]),
    (BASE + "nam = b\n", ["[instance] nam", "did you mean 'name'?"]),
    (BASE + "log_level = loud\n", ["[instance] log_level", "'loud'"]),
    (BASE + "[http]\ndrain_grace_s = soon\n", ["[http] drain_grace_s"]),
    (BASE + "[http]\nlisten = here\n", ["[http] listen", "host:port"]),
    (BASE + "[peers]\nseeds = b\n", ["seeds", "name@zone@host:port"]),
    (
        BASE + "[peers]\nlisten = 127.0.0.1:1\n",
        ["[peers] listen", "keys_file"],
    ),
    (
        BASE + "[control]\nvoters = b\n",
        ["[control] voters", "'b' is neither"],
    ),
    (BASE + "[control]\nvoters = a\n", ["requires [instance] data_dir"]),
    (
        BASE + "[control]\nheartbeat_s = 0.9\n",
        ["heartbeat_s", "election_timeout_s"],
    ),
    (
        BASE + "[control]\nfault_tolerance = -1\n",
        ["[control] fault_tolerance", "0 or above"],
    ),
    (
        BASE + "[forwarding]\nweights_apply_s = 0\n",
        ["[forwarding] weights_apply_s", "above 0"],
    ),
    (BASE + "zones = z\n", ["[instance] zones", "'z'", "zone=region"]),
    (BASE + "zones = z=local, z=south\n", ["[instance] zones", "'z'", "twice"]),
    (BASE + "zones = y=local\n", ["[instance] zones", "z=local"]),
    (BASE + "zones = z=south\n", ["[instance] zones", "z=local"]),
    (
        BASE + "[http]\nbuffer_bytes = 1000\n",
        ["[http] buffer_bytes", "at least 16777216"],
    ),
    (
        BASE + "[http]\nmax_connections = -1\n",
        ["[http] max_connections", "0 or above"],
    ),
    (BASE + "[http]\nstalled_body_s = 0\n", ["[http] stalled_body_s"]),
    (BASE + "[http]\nunread_response_s = 0\n", ["[http] unread_response_s"]),
    ("[http]\n", ["[instance]: section is missing"]),
    ("no section\n", ["x.ini"]),
    (BASE + BASE, ["x.ini"]),
]


@pytest.mark.parametrize("text,parts", CASES)
def test_an_error_names_file_section_key_and_choices(text, parts):
    message = "\n".join(errors_of(text))
    for part in parts:
        assert part in message


def test_the_zones_are_read_with_their_regions():
    text = BASE + "region = north\nzones = z = north, y=north, x=south\n"
    settings = settings_lib.parse_settings(text).ok
    zones = settings_lib.parse_zones(settings.instance.zones)
    assert zones == {"z": "north", "y": "north", "x": "south"}


def test_a_missing_file_is_an_error(tmp_path):
    result = settings_lib.read_settings(tmp_path / "none.ini")
    assert result.is_error()


@settings(max_examples=300, derandomize=True, deadline=None)
@given(strategies.text(max_size=120))
def test_parsing_arbitrary_text_gives_settings_or_an_error(text):
    for candidate in (text, BASE + text):
        result = settings_lib.parse_settings(candidate)
        assert result.is_ok() or result.error
