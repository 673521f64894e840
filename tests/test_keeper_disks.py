"""Claim keepers whose disk is full, or fails, for a while."""

import asyncio
import contextlib

import builders
from chivelb_core.claims import messages
from chivelb_node import context as context_lib
from chivelb_node.control import claim_keeper
import full_disks
import pytest
import replicas

WAIT_S = 10.0


@pytest.fixture(autouse=True)
def short_pauses(monkeypatch):
    monkeypatch.setattr(claim_keeper, "DISK_RETRY_S", 0.05)
    monkeypatch.setattr(claim_keeper, "RETRY_PERIOD_S", 0.05)


@contextlib.asynccontextmanager
async def running_keeper(directory):
    context = builders.make_context()
    context.settings.instance.name = "k1"
    context.settings.instance.data_dir = str(directory)
    context.settings.control.keepers = ["k1"]
    hub = replicas.MemoryHub("k1", replicas.MemoryNetwork())
    service = claim_keeper.ClaimKeeperService(context, hub)
    await service.start()
    try:
        yield service
    finally:
        await service.stop()


async def until(condition):
    deadline = context_lib.monotonic() + WAIT_S
    while not condition():
        assert context_lib.monotonic() < deadline
        await asyncio.sleep(0.01)


async def claim(service, claim_id, key="key"):
    request = messages.ClaimRequest(key, "digest", claim_id)
    return await service._on_claim("client", request)


# Guards against a keeper that grants nothing any more after its disk was full
# for a while, and against one that grants what it did not store.
def test_a_keeper_serves_again_once_its_disk_has_room(tmp_path):
    async def run():
        async with running_keeper(tmp_path) as service:
            await until(lambda: service.serving)
            assert (await claim(service, "c1")).granted
            for number in (2, 3):
                full_disks.fill(tmp_path)
                replies = await asyncio.gather(
                    *(
                        claim(service, f"c{number}", f"key-{number}-{each}")
                        for each in range(3)
                    )
                )
                assert not any(reply.granted for reply in replies)
                assert all("disk" in reply.refused for reply in replies)
                await until(lambda: service.serving)
                assert (await claim(service, f"c{number}")).holder == "c1"
                assert not service._unsynced

        async with running_keeper(tmp_path) as service:
            assert (await claim(service, "late")).holder == "c1"
            # Not granted then, and known since: of nobody else.
            assert (await claim(service, "late", "key-2-0")).holder == "c2"

    asyncio.run(run())


# Guards against a process that ends as its keeper can't write its identity, or
# its compacted journal.
def test_a_keeper_begins_once_its_disk_has_room(tmp_path, monkeypatch):
    disk = full_disks.Disk(monkeypatch)
    disk.room = 0

    async def run():
        async with running_keeper(tmp_path) as service:
            await until(lambda: service.failure)
            assert not service.serving and not service.crashed
            disk.room = 10**6
            await until(lambda: service.serving)
            assert (await claim(service, "c1")).granted
            disk.room = 3
            await service._compact()
            assert not service.serving
            disk.room = 10**6
            await until(lambda: service.serving)
            assert (await claim(service, "c2")).holder == "c1"
            assert not service.crashed

    asyncio.run(run())
