"""How an entry instance follows a busy, unreachable or restarted source."""

import asyncio

import builders
from chivelb_core.kv_cache import parts as parts_lib
from chivelb_node.links import part_events
from chivelb_node.wire import messages
import pytest

SOURCE = "127.0.0.1:7001"


class FakeHub:
    """Records the messages sent to peers."""

    def __init__(self):
        self.sent = []

    def register_handler(self, message_type, handler):
        pass

    def broadcast(self, peers, message):
        self.sent.append(message)


class FakeGossip:
    def zone_members(self, zone):
        return ["i1", "i2"]

    def is_control_instance(self, name):
        return False


class FakeSource:
    """Answers polls with the given results, then blocks."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.done = asyncio.Event()

    async def poll(self, address, since, wait_s):
        if not self.answers:
            self.done.set()
            await asyncio.Event().wait()
        return self.answers.pop(0)

    async def fetch_listing(self, address):
        return None


def page(number, *parts):
    events = [parts_lib.PartUpdate(key, 10) for key in parts]
    return part_events.EventPage(1, number, False, events)


@pytest.fixture(autouse=True)
def no_delays(monkeypatch):
    monkeypatch.setattr(part_events, "RETRY_DELAY_S", 0.0)
    monkeypatch.setattr(part_events, "POLL_DELAY_S", 0.0)


def follow(*answers):
    async def run():
        hub = FakeHub()
        source = FakeSource(*answers)
        follower = part_events.CacheEventFollower(
            builders.make_context(), hub, FakeGossip(), source
        )
        task = asyncio.create_task(follower._follow(SOURCE))
        async with asyncio.timeout(5):
            await source.done.wait()
        task.cancel()
        return follower.directory.source(SOURCE), hub.sent

    return asyncio.run(run())


def unreachable_reports(sent):
    return [m for m in sent if isinstance(m, messages.SourceUnreachable)]


def test_a_busy_source_is_not_reported_as_unreachable(capsys):
    source, sent = follow(page(1, "a"), part_events.PollFailure.BUSY)
    assert source.last_message_at > 0
    assert not unreachable_reports(sent)
    output = capsys.readouterr().out
    assert "source has no free poll slot" in output
    assert "source unreachable" not in output


def test_an_unreachable_source_is_reported_to_peers(capsys):
    source, sent = follow(page(1, "a"), part_events.PollFailure.UNREACHABLE)
    assert source.last_message_at == float("-inf")
    assert unreachable_reports(sent)
    assert capsys.readouterr().out.count("source unreachable") == 1


def test_a_source_that_responds_again_is_reachable_again(capsys):
    source, _ = follow(
        page(1, "a"), part_events.PollFailure.UNREACHABLE, page(2, "b")
    )
    assert source.parts == {"a": 10, "b": 10}
    assert source.last_message_at > 0
    assert "source reachable again" in capsys.readouterr().out


def test_a_new_epoch_of_a_source_discards_the_parts_of_the_old():
    restarted = part_events.EventPage(
        2, 1, False, [parts_lib.PartUpdate("c", 5)]
    )
    source, _ = follow(page(1, "a"), restarted, restarted)
    assert source.parts == {"c": 5}


# Guards against a number that goes back: the response to an earlier poll, sent
# once more, is no page behind the one that was read last.
def test_a_page_of_an_earlier_poll_is_not_applied(capsys):
    source, _ = follow(page(4, "a"), page(9, "b"), page(4, "a"), page(10, "c"))
    assert source.next == 10
    assert source.parts == {"a": 10, "b": 10, "c": 10}
    output = capsys.readouterr().out
    assert output.count("page of an earlier poll") == 1


def test_updates_of_several_sources_reach_peers_in_one_message():
    sender, receiver = FakeHub(), FakeHub()
    source = FakeSource()

    async def run():
        follower = part_events.CacheEventFollower(
            builders.make_context(), sender, FakeGossip(), source
        )
        for address in ("127.0.0.1:7001", "127.0.0.1:7002"):
            follower._apply_page(address, page(1, "a", "b"), 0, 1.0)
        follower._flush_updates()
        other = part_events.CacheEventFollower(
            builders.make_context(), receiver, FakeGossip(), source
        )
        (batch,) = sender.sent
        other._on_batch("i2", batch)
        return other.directory

    directory = asyncio.run(run())
    assert set(directory.tokens_by_source["a"]) == set(directory.sources)
    directory.check_invariants()


def test_a_page_without_events_is_sent_only_to_show_that_a_source_responds():
    hub = FakeHub()

    async def run():
        follower = part_events.CacheEventFollower(
            builders.make_context(), hub, FakeGossip(), FakeSource()
        )
        for now in (1.0, 1.1, 1.2, 1.9):
            follower._apply_page(SOURCE, page(1), 0, now)
        return len(follower._outgoing)

    assert asyncio.run(run()) == 2


def test_a_malformed_batch_is_logged_and_ignored(capsys):
    async def run():
        follower = part_events.CacheEventFollower(
            builders.make_context(), FakeHub(), FakeGossip(), FakeSource()
        )
        follower._on_batch("i2", messages.PartUpdateBatch(b"\xff"))
        return follower.directory.sources

    assert asyncio.run(run()) == {}
    assert "cannot decode cache events" in capsys.readouterr().out
