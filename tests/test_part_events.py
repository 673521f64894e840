"""What an entry believes of a source that is busy, silent or back."""

import asyncio

import builders
from chivelb_core.kept import parts as parts_lib
from chivelb_node.links import part_events
from chivelb_node.wire import messages
import pytest

SOURCE = "127.0.0.1:7001"


class FakeHub:
    """Records what peers are told."""

    def __init__(self):
        self.told = []

    def handle(self, message_type, handler):
        pass

    def send_all(self, peers, message):
        self.told.append(message)


class FakeGossip:
    def zone_members(self, zone):
        return ["i1", "i2"]

    def is_control_instance(self, name):
        return False


class FakeSource:
    """Answers polls in turn, and then no more."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.done = asyncio.Event()

    async def poll(self, address, since, wait_s):
        if not self.answers:
            self.done.set()
            await asyncio.Event().wait()
        return self.answers.pop(0)

    async def list_parts(self, address):
        return None


def page(number, *parts):
    events = [parts_lib.PartEvent(key, 10) for key in parts]
    return part_events.EventPage(1, number, False, events)


@pytest.fixture(autouse=True)
def no_pauses(monkeypatch):
    monkeypatch.setattr(part_events, "RETRY_PAUSE_S", 0.0)
    monkeypatch.setattr(part_events, "POLL_PAUSE_S", 0.0)


def follow(*answers):
    async def run():
        hub = FakeHub()
        source = FakeSource(*answers)
        follower = part_events.PartFollower(
            builders.make_context(), hub, FakeGossip(), source
        )
        task = asyncio.create_task(follower._follow(SOURCE))
        async with asyncio.timeout(5):
            await source.done.wait()
        task.cancel()
        return follower.directory.source(SOURCE), hub.told

    return asyncio.run(run())


def silences(told):
    return [m for m in told if isinstance(m, messages.PartSilence)]


def test_a_busy_source_is_not_taken_for_a_lost_one(capsys):
    source, told = follow(page(1, "a"), part_events.NoPage.BUSY)
    assert source.heard_at > 0
    assert not silences(told)
    printed = capsys.readouterr().out
    assert "source busy" in printed
    assert "source lost" not in printed


def test_a_silent_source_is_lost_and_peers_are_told(capsys):
    source, told = follow(page(1, "a"), part_events.NoPage.SILENT)
    assert source.heard_at == float("-inf")
    assert silences(told)
    assert capsys.readouterr().out.count("source lost") == 1


def test_a_source_that_answers_again_is_regained(capsys):
    source, _ = follow(page(1, "a"), part_events.NoPage.SILENT, page(2, "b"))
    assert source.parts == {"a": 10, "b": 10}
    assert source.heard_at > 0
    assert "source regained" in capsys.readouterr().out


def test_a_new_life_of_a_source_holds_nothing_of_the_old():
    reborn = part_events.EventPage(2, 1, False, [parts_lib.PartEvent("c", 5)])
    source, _ = follow(page(1, "a"), reborn, reborn)
    assert source.parts == {"c": 5}
