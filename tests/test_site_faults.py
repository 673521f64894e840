"""Lost processes, disks and links in a fleet of instances, end to end."""

import asyncio
import shutil

import pytest
import sites

NAMES = ["z1-1", "z2-1", "z3-1"]


run_scenario = sites.run_scenario


async def start_portal(session, fleet, **options):
    sites.start_portal(fleet, "portal-1", "z1", **options)
    await fleet.wait_targets(session, 1)


def test_a_key_runs_once_despite_a_lost_keeper_and_a_partition(tmp_path):
    async def scenario(session, fleet):
        await start_portal(session, fleet)
        urls = [fleet.instances[name].url for name in NAMES]
        # The same key through all instances at once.
        replies = await asyncio.gather(
            *(sites.check_in(session, url, "k1", "m1") for url in urls)
        )
        assert any(status == 200 for status, _ in replies)
        assert (await sites.executions(session, fleet)).count("m1") == 1
        # One keeper is down.
        fleet.kill("z3-1")
        status, reply = await sites.check_in(session, urls[0], "k2", "m2")
        assert status == 200, reply
        fleet.start_instance("z3-1")
        await fleet.wait_ready(session)
        status, again = await sites.check_in(session, urls[2], "k2", "m2")
        assert status == 200 and again["body"] == "m2"
        assert (await sites.executions(session, fleet)).count("m2") == 1
        # Network partition: the minority rejects a call without running it.
        await sites.partition_zone(session, fleet, "z3")
        status, reply = await sites.check_in(session, urls[2], "k3", "m3")
        assert (status, reply["error"]["ran"]) == (503, "not run")
        status, reply = await sites.check_in(session, urls[0], "k3", "m3")
        assert status == 200, reply
        fleet.heal_partitions()

        async def resent():
            status, _ = await sites.check_in(session, urls[2], "k3", "m3")
            return status == 200

        await sites.wait_for(resent, "the recorded outcome on the other side")
        assert (await sites.executions(session, fleet)).count("m3") == 1

    run_scenario(tmp_path, scenario)


def test_claims_survive_a_keepers_lost_disk(tmp_path):
    async def scenario(session, fleet):
        await start_portal(session, fleet)
        urls = [fleet.instances[name].url for name in NAMES]
        for number in range(10):
            status, _ = await sites.check_in(
                session, urls[0], f"k{number}", f"m{number}"
            )
            assert status == 200
        # Each keeper in turn loses its data and copies the others' claims.
        for restarted in NAMES:
            fleet.kill(restarted)
            shutil.rmtree(fleet.instances[restarted].data_dir)
            fleet.start_instance(restarted)

            async def serving(restarted=restarted):
                status = await sites.status_of(session, fleet, restarted)
                return status and status["here"]["keeper"] == "serving"

            await sites.wait_for(serving, f"keeper {restarted}", 30.0)
        for number in range(10):
            status, reply = await sites.check_in(
                session, urls[1], f"k{number}", f"m{number}"
            )
            assert status == 200, reply
        runs = await sites.executions(session, fleet)
        assert sorted(runs) == [f"m{number}" for number in range(10)]

    run_scenario(tmp_path, scenario)


def test_two_lost_keepers_wait_until_an_operator_accepts_the_loss(tmp_path):
    async def scenario(session, fleet):
        await start_portal(session, fleet)
        await sites.check_in(session, fleet.instances["z1-1"].url, "k", "m")
        # Gives the keepers time to see each other serving.
        await asyncio.sleep(1.5)
        lost = NAMES[1:]
        for name in lost:
            fleet.kill(name)
            shutil.rmtree(fleet.instances[name].data_dir + "/claims")
        for name in lost:
            fleet.start_instance(name)

        async def waiting():
            for name in lost:
                status = await sites.status_of(session, fleet, name)
                if not status or not status["here"]["faults"]:
                    return False
            return True

        await sites.wait_for(
            waiting, "both keepers to list a fault in their status", 30.0
        )
        url = fleet.instances["z1-1"].url
        status, reply = await sites.check_in(session, url, "k2", "m2")
        assert (status, reply["error"]["type"]) == (503, "claim_unavailable")
        for name in lost:
            path = f"{fleet.instances[name].data_dir}/claims/identity"
            with open(path, "w") as file:
                file.write("accepted\n")
        await sites.wait_keepers(session, fleet)
        status, reply = await sites.check_in(session, url, "k2", "m2")
        assert status == 200, reply

    run_scenario(tmp_path, scenario)


def test_an_entry_instance_killed_during_a_call_runs_nothing_twice(tmp_path):
    async def scenario(session, fleet):
        await start_portal(session, fleet, work_s=0.6)
        urls = [fleet.instances[name].url for name in NAMES]
        call = asyncio.create_task(
            sites.check_in(session, urls[1], "killed", "m-killed")
        )
        await asyncio.sleep(0.3)
        fleet.kill("z2-1")
        with pytest.raises(Exception):  # noqa: B017
            await call
        # The call was dispatched, but no outcome was recorded: its result is
        # reported as unknown, and it is never executed again.
        status, reply = await sites.check_in(
            session, urls[0], "killed", "m-killed"
        )
        assert (status, reply["error"]["ran"]) == (409, "unknown")
        await asyncio.sleep(0.8)
        assert (await sites.executions(session, fleet)).count("m-killed") == 1

    run_scenario(tmp_path, scenario)


def test_a_claimed_call_goes_on_when_its_caller_leaves(tmp_path):
    async def scenario(session, fleet):
        await start_portal(session, fleet, work_s=0.5)
        url = fleet.instances["z1-1"].url
        call = asyncio.create_task(
            sites.check_in(session, url, "left", "m-left")
        )
        await asyncio.sleep(0.2)
        call.cancel()

        async def recorded():
            status, reply = await sites.check_in(
                session, fleet.instances["z2-1"].url, "left", "m-left"
            )
            return status == 200 and reply["body"] == "m-left"

        await sites.wait_for(recorded, "the recorded outcome")
        assert (await sites.executions(session, fleet)).count("m-left") == 1

    run_scenario(tmp_path, scenario)


def test_a_model_call_that_may_not_be_repeated_runs_once(tmp_path):
    async def scenario(session, fleet):
        sites.start_runner(fleet, "runner-1", "z1")
        await fleet.wait_targets(session, 1)
        replies = []
        for name in NAMES:
            replies.append(
                await sites.complete(
                    session,
                    fleet.instances[name].url,
                    prompt="quotation letter",
                    repeatable=False,
                    more={"Idempotency-Key": "letter-1"},
                )
            )
        texts = {sites.text_of(reply) for _, reply, _ in replies}
        assert texts == {sites.expected_answer("quotation letter")}
        state = await sites.state_of(session, fleet, "runner-1")
        assert len(state["attempts"]) == 1

    run_scenario(tmp_path, scenario)


def test_a_runner_killed_in_a_stream_is_replaced_without_a_lost_token(
    tmp_path,
):
    async def scenario(session, fleet):
        for number in (1, 2):
            sites.start_runner(fleet, f"runner-{number}", "z1")
        await fleet.wait_targets(session, 2)
        call = asyncio.create_task(
            sites.complete(
                session, fleet.instances["z1-1"].url, prompt="long", tokens=80
            )
        )
        await asyncio.sleep(0.6)
        for number in (1, 2):
            state = await sites.state_of(session, fleet, f"runner-{number}")
            if state["running"]:
                fleet.kill(f"runner-{number}")
                break
        status, reply, _ = await call
        assert status == 200, reply
        assert sites.text_of(reply) == sites.expected_answer("long", 80)

    run_scenario(tmp_path, scenario, voters=1, zones=["z1"])


def test_a_suspect_prompt_is_rejected_after_crashes_of_two_targets(tmp_path):
    async def scenario(session, fleet):
        for number in range(4):
            sites.start_runner(
                fleet, f"runner-{number}", sites.ZONES[number % 3]
            )
        await fleet.wait_targets(session, 4)
        for number in range(4):
            await sites.set_faults(
                session, fleet, f"runner-{number}", crash_on="poison"
            )
        concurrent_calls = [
            asyncio.create_task(
                sites.complete(
                    session,
                    fleet.instances[NAMES[n % 3]].url,
                    prompt=f"good {n}",
                    tokens=40,
                )
            )
            for n in range(6)
        ]
        await asyncio.sleep(0.2)
        replies = []
        for attempt in range(5):
            name = NAMES[attempt % 3]
            replies.append(
                await sites.complete(
                    session, fleet.instances[name].url, prompt="poison pill"
                )
            )
            await asyncio.sleep(0.1)
        crashed = sum(
            fleet.process(f"runner-{n}").poll() is not None for n in range(4)
        )
        assert crashed == 2
        assert replies[-1][0] == 503
        assert replies[-1][1]["error"]["type"] == "suspect"
        for number, concurrent_call in enumerate(concurrent_calls):
            status, reply, _ = await concurrent_call
            assert status == 200, reply
            wanted = sites.expected_answer(f"good {number}", 40)
            assert sites.text_of(reply) == wanted
        # Prompts that ran concurrently with the poison prompt are not refused.
        for name in NAMES:
            status, _, _ = await sites.complete(
                session, fleet.instances[name].url, prompt="good 1"
            )
            assert status == 200

    run_scenario(tmp_path, scenario)


def test_a_leaving_target_gets_no_new_work(tmp_path):
    async def scenario(session, fleet):
        for number in (1, 2):
            sites.start_runner(fleet, f"runner-{number}", "z1")
        await fleet.wait_targets(session, 2)
        await sites.admin(session, fleet, "runner-1", "leave")

        async def known_everywhere():
            for name in NAMES:
                status = await sites.status_of(session, fleet, name)
                states = {
                    t["identity"]: t["eligible"]
                    for t in status["here"]["targets"]
                }
                if states.get("runner-1", True):
                    return False
            return True

        # All instances must know of the leaving target within 3 s after the
        # first one was notified.
        await sites.wait_for(
            known_everywhere, "all instances to know of the leaving target", 3.0
        )
        before = await sites.state_of(session, fleet, "runner-1")
        for name in NAMES:
            for number in range(4):
                status, _, _ = await sites.complete(
                    session, fleet.instances[name].url, prompt=f"x{number}"
                )
                assert status == 200
        after = await sites.state_of(session, fleet, "runner-1")
        assert after["attempts"] == before["attempts"]
        # The target restarts at the same address with a new incarnation.
        fleet.kill("runner-1")
        fleet.restart_target("runner-1")

        async def back():
            status = await sites.status_of(session, fleet, "z2-1")
            return all(t["eligible"] for t in status["here"]["targets"])

        await sites.wait_for(back, "the new incarnation")

    run_scenario(tmp_path, scenario)


async def fill_store(session, fleet, url, prompts=6):
    """Sends prompts until the store holds some of their blocks."""
    for number in range(prompts):
        for _ in range(2):
            prompt = f"{number} " + sites.PROMPT
            status, reply, _ = await sites.complete(session, url, prompt=prompt)
            assert status == 200
            assert sites.text_of(reply) == sites.expected_answer(prompt)

    async def filled():
        state = await sites.state_of(session, fleet, "store-1")
        return state["blocks"] >= 4

    await sites.wait_for(filled, "blocks in the store")


async def expect_correct(session, url, prompts=6):
    """Checks all responses and returns the number of cached tokens."""
    cached = 0
    for number in range(prompts):
        prompt = f"{number} " + sites.PROMPT
        status, reply, _ = await sites.complete(session, url, prompt=prompt)
        assert status == 200, reply
        assert sites.text_of(reply) == sites.expected_answer(prompt)
        details = reply["usage"]["prompt_tokens_details"]
        cached += details["cached_tokens"]
    return cached


def start_cache_targets(fleet, **options):
    # Each runner caches less than one prompt, so that the blocks of a repeated
    # prompt must be fetched from the store.
    for number in (1, 2):
        sites.start_runner(
            fleet,
            f"runner-{number}",
            "z1",
            cache_blocks=6,
            prefill_rate=2_000,
            **options,
        )
    fleet.start_target("store", "store-1", "z1", capacity=20_000_000)


def test_repeated_prompts_are_fetched_and_a_lost_store_is_survived(tmp_path):
    async def scenario(session, fleet):
        start_cache_targets(fleet)
        await fleet.wait_targets(session, 3)
        url = fleet.instances["z1-1"].url
        await fill_store(session, fleet, url)
        await asyncio.sleep(1.0)
        assert await expect_correct(session, url) > 0
        assert (await sites.state_of(session, fleet, "store-1"))["reads"] > 0
        await sites.set_faults(session, fleet, "store-1", full=True)
        await expect_correct(session, url)
        await sites.set_faults(session, fleet, "store-1", link_factor=0.01)
        await expect_correct(session, url, prompts=2)
        fleet.kill("store-1")
        await expect_correct(session, url)

    run_scenario(tmp_path, scenario, voters=1, zones=["z1"])


def test_an_owner_of_shards_and_stores_may_die(tmp_path):
    async def scenario(session, fleet):
        start_cache_targets(fleet)
        await fleet.wait_targets(session, 3)
        url = fleet.instances["z1-1"].url
        await fill_store(session, fleet, url)
        owner = (await sites.state_of(session, fleet, "store-1"))["owner"]
        survivors = [n for n in fleet.instances if n != owner]
        fleet.kill(owner)
        await expect_correct(session, fleet.instances[survivors[0]].url)

        async def has_new_owner():
            state = await sites.state_of(session, fleet, "store-1")
            return state["owner"] not in ("", owner)

        await sites.wait_for(has_new_owner, "a new owner of the store", 30.0)
        await expect_correct(session, fleet.instances[survivors[0]].url)

    run_scenario(tmp_path, scenario, zones=["z1"], per_zone=3)


def test_overload_is_rejected_at_once_with_a_retry_after_header(tmp_path):
    async def scenario(session, fleet):
        sites.start_runner(fleet, "runner-1", "z1", slots=2, decode_rate=20)
        await fleet.wait_targets(session, 1)
        url = fleet.instances["z1-1"].url
        base = await sites.version_of(session, fleet, "z1-1")
        await sites.change_limits(session, fleet, "z1-1", "few", base, 4)
        replies = await asyncio.gather(
            *(
                sites.complete(session, url, prompt=f"{n} x", tokens=20)
                for n in range(30)
            )
        )
        rejected = [r for r in replies if r[0] == 429]
        served = [r for r in replies if r[0] == 200]
        assert len(rejected) + len(served) == 30
        assert served and rejected
        waits = {float(r[2]["Retry-After"]) for r in rejected}
        assert len(waits) > 1, "all callers would retry at the same time"

    run_scenario(tmp_path, scenario, voters=1, zones=["z1"])
