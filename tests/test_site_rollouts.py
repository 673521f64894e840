"""Weight rollouts on running instances and simulated runners."""

import asyncio

import pytest
import sites

NAMES = ["z1-1", "z2-1", "z3-1"]
run_scenario = sites.run_scenario


def start_runners_with_weights(fleet, count=4, **options):
    weights = fleet.start_weight_store(load_s=0.5, at_once=1)
    for number in range(count):
        sites.start_runner(
            fleet,
            f"runner-{number}",
            sites.ZONES[number % 3],
            weights=weights.url,
            **options,
        )


async def order_rollout(session, fleet, name, version="v2"):
    model = {
        "versions": ["v1", "v2"],
        "current": version,
        "loads_at_once": 1,
        "min_ready": 2,
    }
    base = await sites.version_of(session, fleet, name)
    change = {
        "change_id": f"swap-{version}",
        "base_version": base,
        "operations": [{"path": "models/lm", "value": model}],
    }
    return await sites.fleet_lib.operator_post(
        session, fleet.instances[name].url, "/operator/changes", change
    )


async def all_runners_updated(session, fleet, count=4, version="v2"):
    states = [
        await sites.state_of(session, fleet, f"runner-{n}")
        for n in range(count)
    ]
    return all(s["version"] == version for s in states) and states


@pytest.mark.parametrize("fencing", [True, False])
def test_a_rollout_survives_the_death_of_its_controller(tmp_path, fencing):
    async def scenario(session, fleet):
        options = {} if fencing else {"ignore_fencing": True}
        start_runners_with_weights(fleet, **options)
        await fleet.wait_targets(session, 4)
        leader = await sites.wait_leader(session, fleet, NAMES)
        # The whole response to a call that overlaps the rollout is computed by
        # one weight version.
        survivor = next(name for name in NAMES if name != leader)
        overlapping_call = asyncio.create_task(
            sites.complete(
                session,
                fleet.instances[survivor].url,
                prompt="across",
                tokens=300,
            )
        )
        status, reply = await order_rollout(session, fleet, survivor)
        assert status == 200, reply

        async def first_runner_updated():
            states = [
                await sites.state_of(session, fleet, f"runner-{n}")
                for n in range(4)
            ]
            return any(s["version"] == "v2" for s in states)

        await sites.wait_for(first_runner_updated, "the first load", 30.0)
        fleet.kill(leader)
        states = await sites.wait_for(
            lambda: all_runners_updated(session, fleet),
            "the rollout to finish",
            60.0,
        )
        for state in states:
            # No order was executed twice.
            assert len(state["orders"]) == 1
        loads = await sites.state_of(session, fleet, "weights")
        assert loads["most_at_once"] == 1
        assert len(loads["loads"]) == 4
        status, reply, _ = await overlapping_call
        assert status == 200
        text = sites.text_of(reply)
        assert text in (
            sites.expected_answer("across", 300),
            sites.expected_answer("across", 300, version="v2"),
        )
        status, reply, _ = await sites.complete(
            session, fleet.instances[survivor].url
        )
        assert sites.text_of(reply) == sites.expected_answer(version="v2")

    # Two per zone: runners in the zone of the killed controller still have
    # an instance to announce themselves to.
    run_scenario(tmp_path, scenario, per_zone=2)


def test_a_rollout_stops_at_a_failed_load(tmp_path):
    async def scenario(session, fleet):
        weights = fleet.start_weight_store(load_s=0.2, missing="v2")
        for number in range(3):
            sites.start_runner(
                fleet, f"runner-{number}", "z1", weights=weights.url
            )
        await fleet.wait_targets(session, 3)
        status, _ = await order_rollout(session, fleet, "z1-1")
        assert status == 200

        async def rollout_stopped():
            logs = [fleet.folder / f"{name}.log" for name in NAMES]
            return any("rollout stopped" in log.read_text() for log in logs)

        await sites.wait_for(rollout_stopped, "the rollout to stop", 30.0)
        await asyncio.sleep(1.0)
        orders = [
            (await sites.state_of(session, fleet, f"runner-{n}"))["orders"]
            for n in range(3)
        ]
        assert sum(map(len, orders)) == 1
        status, reply, _ = await sites.complete(
            session, fleet.instances["z1-1"].url
        )
        assert status == 200
        assert sites.text_of(reply) == sites.expected_answer()

    run_scenario(tmp_path, scenario)
