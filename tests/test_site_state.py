"""Control group of a running fleet: changes, leaders, disks, commands."""

import asyncio
import json
import shutil
import signal

from chivelb_cli import fleet as fleet_lib
from chivelb_cli import main as cli
from chivelb_cli.commands import operate
import pytest
import sites

NAMES = ["z1-1", "z2-1", "z3-1"]


run_scenario = sites.run_scenario


def others(name):
    return [other for other in NAMES if other != name]


def test_one_concurrent_change_wins_and_a_resend_gets_its_first_answer(
    tmp_path,
):
    async def scenario(session, fleet):
        # Concurrent changes with the same base version, at each instance.
        replies = await asyncio.gather(
            *(
                sites.change_limits(session, fleet, name, f"r-{name}", 1, n)
                for n, name in enumerate(NAMES, 10)
            )
        )
        assert sorted(status for status, _ in replies) == [200, 409, 409]
        winner = NAMES[[s for s, _ in replies].index(200)]
        first = replies[NAMES.index(winner)][1]
        await sites.wait_version(session, fleet, NAMES, 2)
        # A resend gets its first answer, even after a leader change.
        leader = await sites.wait_leader(session, fleet, NAMES)
        fleet.kill(leader)
        remaining = others(leader)
        value = 10 + NAMES.index(winner)
        for name in remaining:
            status, again = await sites.change_limits(
                session, fleet, name, f"r-{winner}", 1, value
            )
            assert (status, again) == (200, first)
        status, reply = await sites.change_limits(
            session, fleet, remaining[0], "after", 2, 99
        )
        assert (status, reply["version"]) == (200, 3)
        await sites.wait_version(session, fleet, remaining, 3)
        # Each remaining instance logs the change of the leader. The log
        # writer writes a line up to 50 ms after the event.
        for name in remaining:
            log = tmp_path / f"{name}.log"

            async def follows_another(log=log):
                logged_leaders = [
                    json.loads(line)["leader"]
                    for line in log.read_text().splitlines()
                    if '"leader changed"' in line
                ]
                assert logged_leaders[0] == leader
                return logged_leaders[-1] in remaining

            await sites.wait_for(follows_another, f"{name} to log a leader")
        fleet.start_instance(leader)
        await fleet.wait_ready(session, [leader])
        assert await sites.version_of(session, fleet, leader) == 3

    run_scenario(tmp_path, scenario)


def test_an_isolated_leader_serves_no_read_of_the_current_document(tmp_path):
    async def scenario(session, fleet):
        leader = await sites.wait_leader(session, fleet, NAMES)
        url = fleet.instances[leader].url
        path = "/operator/document?current=1"
        assert await fleet_lib.operator_get(session, url, path)
        zone = fleet.instances[leader].zone
        await sites.partition_zone(session, fleet, zone)

        async def stepped_down():
            status = await sites.status_of(session, fleet, leader)
            return status["here"]["role"] != "leader"

        await sites.wait_for(stepped_down, "the leader to step down")
        assert await fleet_lib.operator_get(session, url, path) is None
        status, reply = await sites.change_limits(
            session, fleet, leader, "minority", 1, 50
        )
        assert (status, reply["error"]["ran"]) == (503, "not run")
        # The majority elects a leader and accepts changes.
        majority = others(leader)
        await sites.wait_leader(session, fleet, majority)
        status, reply = await sites.change_limits(
            session, fleet, majority[0], "majority", 1, 60
        )
        assert status == 200
        assert await sites.version_of(session, fleet, leader) == 1
        fleet.heal_partitions()
        await sites.wait_version(session, fleet, NAMES, 2)

    run_scenario(tmp_path, scenario)


def test_a_paused_leader_is_replaced_and_reverts_nothing(tmp_path):
    async def scenario(session, fleet):
        leader = await sites.wait_leader(session, fleet, NAMES)
        fleet.pause(leader)
        majority = others(leader)
        await sites.wait_leader(session, fleet, majority)
        status, reply = await sites.change_limits(
            session, fleet, majority[0], "while-paused", 1, 60
        )
        assert (status, reply["version"]) == (200, 2)
        fleet.resume(leader)
        await sites.wait_version(session, fleet, NAMES, 2)

    run_scenario(tmp_path, scenario)


def test_lost_disks_come_back_as_new_members(tmp_path):
    async def scenario(session, fleet):
        status, _ = await sites.change_limits(
            session, fleet, NAMES[0], "c1", 1, 60
        )
        assert status == 200
        # A second disk is lost right after the first member was replaced.
        for number, victim in enumerate(NAMES[:2]):
            fleet.kill(victim)
            shutil.rmtree(fleet.instances[victim].data_dir)
            fleet.start_instance(victim)

            async def has_new_member(victim=victim):
                status = await sites.status_of(session, fleet, victim)
                if status is None:
                    return False
                here = status["here"]
                is_new = here["member_id"] not in ("", f"{victim}/1")
                serving_keepers = [
                    i["keeper"] for i in status["instances"]
                ].count("serving")
                return (
                    is_new
                    and here["role"] in ("follower", "leader")
                    and here["log_index"] > 2
                    and serving_keepers == 3
                )

            await sites.wait_for(
                has_new_member, f"{victim} as a new member", 30.0
            )
            await sites.wait_leader(session, fleet, NAMES)
            # Changes are refused until the last membership step is committed.
            for attempt in range(40):
                status, reply = await sites.change_limits(
                    session,
                    fleet,
                    victim,
                    f"d{number}-{attempt}",
                    2 + number,
                    70 + number,
                )
                if status != 503:
                    break
            assert status == 200, reply
            await sites.wait_version(session, fleet, NAMES, 3 + number)

        shown = await fleet_lib.operator_get(
            session, fleet.instances[NAMES[2]].url, "/operator/document"
        )
        assert shown["document"]["limits"]["max_queue"] == 71

    run_scenario(tmp_path, scenario)


def test_a_stopped_instance_catches_up_with_hundreds_of_changes(tmp_path):
    async def scenario(session, fleet):
        late = ["z1-2", "z2-2"]
        for name in late:
            fleet.kill(name)
        for number in range(300):
            status, reply = await sites.change_limits(
                session, fleet, NAMES[0], f"n{number}", number + 1, number + 1
            )
            assert status == 200, reply
        for name in late:
            fleet.start_instance(name)
        await fleet.wait_ready(session, late)
        # A restarted instance is ready only with the newest version.
        for name in late:
            assert await sites.version_of(session, fleet, name) == 301

    run_scenario(tmp_path, scenario, per_zone=2)


def test_a_partitioned_zone_serves_on_and_converges(tmp_path):
    async def scenario(session, fleet):
        for zone in sites.ZONES:
            sites.start_runner(fleet, f"runner-{zone}", zone)
        await fleet.wait_targets(session, 3)
        await sites.partition_zone(session, fleet, "z3")
        for zone in sites.ZONES:
            url = fleet.instances[f"{zone}-1"].url
            status, reply, _ = await sites.complete(session, url)
            assert status == 200
            assert sites.text_of(reply) == sites.expected_answer()
        await sites.wait_leader(session, fleet, NAMES[:2])

        async def accepted():
            status, _ = await sites.change_limits(
                session, fleet, "z1-1", "during-cut", 1, 60
            )
            return status == 200

        await sites.wait_for(accepted, "a change on the larger side")
        status, reply = await sites.change_limits(
            session, fleet, "z3-1", "cut-off", 1, 61
        )
        assert (status, reply["error"]["type"]) == (503, "no_quorum")
        fleet.heal_partitions()
        await sites.wait_version(session, fleet, NAMES, 2)

    run_scenario(tmp_path, scenario)


def test_keys_rotate_and_an_unauthenticated_peer_gets_no_reply(tmp_path):
    async def scenario(session, fleet):
        old_key = fleet.keys_path.read_text()
        new_key = "k2 = " + "cd" * 32 + "\n"
        fleet.keys_path.write_text(new_key + old_key)
        await asyncio.sleep(1.2)
        fleet.keys_path.write_text(old_key + new_key)
        await asyncio.sleep(1.2)
        fleet.keys_path.write_text(new_key)
        await asyncio.sleep(1.2)
        await sites.wait_leader(session, fleet, NAMES)
        status, _ = await sites.change_limits(
            session, fleet, "z1-1", "rotated", 1, 60
        )
        assert status == 200
        await sites.wait_version(session, fleet, NAMES, 2)
        # Garbage instead of a handshake is counted and closes the connection.
        port = fleet.instances["z1-1"].peer_port
        for data in (b"\x00" * 64, b"GET / HTTP/1.1\r\n\r\n", b"\xff\xff"):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(data)
            writer.write_eof()
            assert await asyncio.wait_for(reader.read(), 10) == b""
            writer.close()
        async with session.get(f"{fleet.instances['z1-1'].url}/metrics") as r:
            text = await r.text()
        assert 'chivelb_peer_frames_total{kind="stranger"} 3.0' in text

    run_scenario(tmp_path, scenario)


def chivelb(capsys, fleet, *arguments, name="z1-1"):
    """Runs a command line against an instance; returns code and output."""
    where = ["--url", fleet.instances[name].url]
    where += ["--key", fleet_lib.OPERATOR_KEY]
    code = cli.main([*arguments, *where])
    captured = capsys.readouterr()
    return code, captured.out + captured.err


def test_operator_commands_apply_changes_and_report_errors(tmp_path, capsys):
    async def scenario(session, fleet):
        await asyncio.to_thread(run_commands, fleet)

    def run_commands(fleet):
        import json

        path = fleet.document_path
        code, out = chivelb(capsys, fleet, "diff", str(path))
        assert code == operate.EXIT_OK and "no difference" in out
        document = json.loads(path.read_bytes())
        document["limits"]["max_queue"] = 321
        path.write_text(json.dumps(document))
        code, out = chivelb(capsys, fleet, "diff", str(path))
        assert "+ limits" in out and "models" not in out
        code, out = chivelb(capsys, fleet, "apply", str(path), "--wait")
        assert code == operate.EXIT_OK, out
        assert "version 2 is in force" in out
        document["limits"]["max_queue"] = 322
        path.write_text(json.dumps(document))
        code, out = chivelb(
            capsys, fleet, "apply", str(path), "--base", "1", name="z2-1"
        )
        assert code == operate.EXIT_REFUSED and "change_conflict" in out
        document["models"]["lm"]["current"] = "v9"
        path.write_text(json.dumps(document))
        code, out = chivelb(capsys, fleet, "apply", str(path))
        assert code == operate.EXIT_REFUSED and "models/lm/current" in out
        code, out = chivelb(capsys, fleet, "history")
        assert "limits" in out
        code, out = chivelb(capsys, fleet, "show", "--current", "--json")
        assert code == operate.EXIT_OK
        assert json.loads(out)["current"] is True
        code, out = chivelb(capsys, fleet, "status", "--json")
        assert code == operate.EXIT_OK
        assert json.loads(out)["newest"] == 2
        wrong_key = [
            "status",
            "--url",
            fleet.instances["z1-1"].url,
            "--key",
            "no",
        ]
        assert cli.main(wrong_key) == operate.EXIT_REFUSED
        unreachable = ["status", "--url", "http://127.0.0.1:9"]
        assert cli.main(unreachable) == operate.EXIT_UNREACHABLE
        capsys.readouterr()
        code, out = chivelb(capsys, fleet, "drain", name="z3-1")
        assert code == operate.EXIT_OK
        assert fleet.process("z3-1").wait(20) == 0

    run_scenario(tmp_path, scenario)


def test_two_lost_voters_are_restored_from_a_snapshot(tmp_path, capsys):
    saved = tmp_path / "register"

    async def scenario(session, fleet):
        status, reply = await sites.change_limits(
            session, fleet, "z1-1", "kept", 1, 55
        )
        assert status == 200, reply
        code, out = await asyncio.to_thread(
            chivelb, capsys, fleet, "snapshot", "save", str(saved)
        )
        assert code == operate.EXIT_OK, out
        # All disks are lost; without two of three voters the group can't
        # elect a leader, so that it must be restored.
        for name in NAMES:
            fleet.kill(name)
            shutil.rmtree(fleet.instances[name].data_dir)
        survivor = fleet.instances["z1-1"]
        code = cli.main(
            ["snapshot", "restore", str(saved), "--name", "z1-1"]
            + ["--data-dir", survivor.data_dir, "--above", "7"]
        )
        assert code == operate.EXIT_OK
        capsys.readouterr()
        for name in NAMES:
            fleet.start_instance(name)
        await fleet.wait_ready(session)
        version = await sites.version_of(session, fleet, "z1-1")
        assert version > 7
        shown = await fleet_lib.operator_get(
            session, survivor.url, "/operator/document"
        )
        assert shown["document"]["limits"]["max_queue"] == 55
        status, _ = await sites.change_limits(
            session, fleet, "z1-1", "after-restore", version, 56
        )
        assert status == 200
        await sites.wait_version(session, fleet, NAMES, version + 1)

    run_scenario(tmp_path, scenario)


def test_invalid_settings_end_the_daemon_with_an_error_message(tmp_path):
    import subprocess
    import sys

    path = tmp_path / "bad.ini"
    path.write_text("[instance]\nnam = x\n")
    done = subprocess.run(
        [sys.executable, "-m", "chivelb_node.app", "--settings", str(path)],
        capture_output=True,
        text=True,
    )
    assert done.returncode == 2
    assert "did you mean 'name'?" in done.stderr
    assert "Traceback" not in done.stderr


def test_a_port_in_use_ends_the_daemon_with_a_clear_error(tmp_path):
    import subprocess
    import sys

    async def scenario(session, fleet):
        path = fleet.instances["z1-1"].settings_path
        done = await asyncio.to_thread(
            subprocess.run,
            [sys.executable, "-m", "chivelb_node.app", "--settings", str(path)],
            capture_output=True,
            text=True,
        )
        assert done.returncode == 5
        assert "can't start" in done.stderr
        assert "Traceback" not in done.stderr

    run_scenario(tmp_path, scenario, voters=0, zones=["z1"])


@pytest.mark.parametrize("number", [signal.SIGINT, signal.SIGTERM])
def test_either_signal_stops_an_idle_instance(tmp_path, number):
    async def scenario(session, fleet):
        process = fleet.process("z1-1")
        process.send_signal(number)
        assert await asyncio.to_thread(process.wait, 20) == 0

    run_scenario(tmp_path, scenario, voters=1, zones=["z1"])
