"""Evacuation of an availability zone in a fleet of instances, end to end."""

import asyncio
import re

from chivelb_cli import fleet as fleet_lib
from chivelb_cli import main as cli
from chivelb_cli.commands import operate
import sites

NAMES = ["z1-1", "z2-1", "z3-1"]


async def evacuate(capsys, fleet, name, *arguments):
    """Runs ``chivelb evacuate`` against an instance."""
    where = ["--url", fleet.instances[name].url]
    where += ["--key", fleet_lib.OPERATOR_KEY]
    code = await asyncio.to_thread(cli.main, ["evacuate", *arguments, *where])
    assert code == operate.EXIT_OK, capsys.readouterr()
    return capsys.readouterr().out


async def shown_status(capsys, fleet, name):
    """Returns the output of ``chivelb status``."""
    where = ["--url", fleet.instances[name].url]
    where += ["--key", fleet_lib.OPERATOR_KEY]
    await asyncio.to_thread(cli.main, ["status", *where])
    return capsys.readouterr().out


async def wait_evacuated(session, fleet, zones):
    for name in NAMES:

        async def known(name=name):
            status = await sites.status_of(session, fleet, name)
            return status and set(status["here"]["evacuated_zones"]) == zones

        await sites.wait_for(known, f"{name} to know {zones}")


async def visit(session, fleet, label):
    """Calls the runners and the portals through each instance."""
    replies = []
    for name in NAMES:
        url = fleet.instances[name].url
        status, reply, _ = await sites.complete(session, url)
        replies.append((status, reply))
        replies.append(
            await sites.check_in(session, url, f"{label}-{name}", label)
        )
    return replies


# Guards against requests to a zone that is evacuated, and against an order that
# is lost with an instance or never ends.
def test_a_zone_is_evacuated_and_returns(tmp_path, capsys):
    async def scenario(session, fleet):
        for zone in ("z1", "z2"):
            sites.start_runner(fleet, f"runner-{zone}", zone)
            sites.start_portal(fleet, f"portal-{zone}", zone)
        await fleet.wait_targets(session, 4)
        shown = await evacuate(capsys, fleet, "z3-1", "z1")
        assert shown == "zone z1 is evacuated\n"
        await wait_evacuated(session, fleet, {"z1"})
        shown = await shown_status(capsys, fleet, "z2-1")
        assert re.search(r"evacuated zones:\n +z1 +since version 2\n", shown)
        ran = await sites.state_of(session, fleet, "runner-z1")
        replies = await visit(session, fleet, "one")
        assert {status for status, _ in replies} == {200}
        assert await sites.executions(session, fleet, "portal-z1") == []
        assert await sites.state_of(session, fleet, "runner-z1") == ran

        await evacuate(capsys, fleet, "z1-1", "z2")
        await wait_evacuated(session, fleet, {"z1", "z2"})
        for status, reply in await visit(session, fleet, "two"):
            assert status == 503
            assert reply["error"]["type"] == "no_target"
            assert "evacuated" in reply["error"]["message"]

        # An instance that restarts serves by the orders.
        fleet.kill("z1-1")
        fleet.start_instance("z1-1")
        await fleet.wait_ready(session)
        await fleet.wait_targets(session, 4)
        replies = await visit(session, fleet, "three")
        assert {status for status, _ in replies} == {503}

        for zone in ("z1", "z2"):
            shown = await evacuate(capsys, fleet, "z2-1", zone, "--stop")
            assert shown == f"zone {zone} is not evacuated\n"
        await wait_evacuated(session, fleet, set())
        replies = await visit(session, fleet, "four")
        assert {status for status, _ in replies} == {200}
        where = ["--url", fleet.instances["z1-1"].url, "--key", "x"]
        wrong_key = await asyncio.to_thread(
            cli.main, ["evacuate", "z1", *where]
        )
        assert wrong_key == operate.EXIT_REFUSED

    sites.run_scenario(tmp_path, scenario)
