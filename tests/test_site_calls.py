"""Calls end to end, through a fleet of instances and simulated targets.

``sites.check_in`` sends a call with an idempotency key to a plain service, the
portal. The fault ``cross`` makes a target answer with the id of another
attempt.
"""

import asyncio
import contextlib
import json
import signal
import subprocess

from chivelb_cli import fleet as fleet_lib
import msgspec
import pytest
import sites

ONE_MEBIBYTE = 1 << 20
# One fleet serves the tests of this file.
pytestmark = pytest.mark.xdist_group("calls")


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    fleet = sites.make_fleet(
        tmp_path_factory.mktemp("calls"), voters=1, zones=["z1"]
    )
    sites.start_instances(fleet)
    sites.start_runner(fleet, "runner-1", "z1", decode_rate=200)
    sites.start_runner(fleet, "runner-2", "z1", decode_rate=200)
    sites.start_portal(fleet, "portal-1", "z1")
    try:
        yield fleet
    finally:
        fleet.stop()


def run(fleet, scenario):
    async def main():
        import aiohttp

        timeout = aiohttp.ClientTimeout(total=60)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            await fleet.wait_ready(session)
            await fleet.wait_targets(session, 3)
            await scenario(session, fleet.instances["z1-1"].url)

    asyncio.run(main())


def test_completions_and_chat_responses_are_correct_without_streaming(fleet):
    async def scenario(session, url):
        status, reply, _ = await sites.complete(session, url)
        assert status == 200
        assert sites.text_of(reply) == sites.expected_answer()
        assert reply["usage"]["completion_tokens"] == 8
        async with session.post(
            f"{url}/v1/chat/completions",
            json={
                "model": sites.SERVICE,
                "messages": [{"role": "user", "content": "price this"}],
                "max_tokens": 4,
            },
            headers=sites.headers(),
        ) as response:
            chat = msgspec.json.decode(await response.read())
        wanted = sites.expected_answer("<user>price this\n", 4)
        assert chat["choices"][0]["message"]["content"] == wanted

    run(fleet, scenario)


def test_a_workspace_never_gets_anothers_response_or_service(fleet):
    async def scenario(session, url):
        _, mine, _ = await sites.complete(session, url, workspace="joinery")
        _, theirs, _ = await sites.complete(session, url, workspace="kitchens")
        assert sites.text_of(mine) == sites.expected_answer()
        assert sites.text_of(theirs) == sites.expected_answer(
            workspace="kitchens"
        )
        # Cached blocks of the other workspace are not reused.
        assert theirs["usage"]["prompt_tokens_details"]["cached_tokens"] == 0

    run(fleet, scenario)


BAD_REQUESTS = [
    ("bad JSON", b"{", {}, 400, "bad_json"),
    ("not an object", b"[1]", {}, 400, "bad_json"),
    ("deep nesting", b"[" * 100_000, {}, 400, "bad_json"),
    ("bad UTF-8", b'{"model":"\xff"}', {}, 400, "bad_encoding"),
    ("no model", b"{}", {}, 400, "bad_field"),
    (
        "wrong service",
        b'{"model":"estimator","prompt":"x"}',
        {},
        404,
        "not_found",
    ),
    (
        "lone surrogate",
        b'{"model":"estimator-lm","prompt":"\\ud800"}',
        {},
        400,
        None,
    ),
    (
        "no tokens",
        b'{"model":"estimator-lm","prompt":"x","max_tokens":0}',
        {},
        400,
        "bad_field",
    ),
    (
        "boolean tokens",
        b'{"model":"estimator-lm","prompt":"x","max_tokens":true}',
        {},
        400,
        "bad_field",
    ),
    (
        "unknown class",
        b'{"model":"estimator-lm","prompt":"x","class":"vip"}',
        {},
        400,
        "bad_field",
    ),
    ("too large", b"x" * (2 * ONE_MEBIBYTE), {}, 413, "body_too_large"),
    (
        "too many headers",
        b"{}",
        {f"X-Extra-{n}": "1" for n in range(80)},
        431,
        "bad_headers",
    ),
    (
        "bad event id",
        b'{"model":"estimator-lm","prompt":"x"}',
        {"Last-Event-ID": "nonsense"},
        400,
        "bad_field",
    ),
    (
        "another workspace's event id",
        b'{"model":"estimator-lm","prompt":"x"}',
        {"Last-Event-ID": "0123456789abcdef01234567.1.aabbccdd/3"},
        400,
        "bad_field",
    ),
]


@pytest.mark.parametrize("name,body,more,status,kind", BAD_REQUESTS)
def test_bad_input_gets_a_coded_error(fleet, name, body, more, status, kind):
    async def scenario(session, url):
        async with session.post(
            f"{url}/v1/completions", data=body, headers=sites.headers(**more)
        ) as response:
            reply = msgspec.json.decode(await response.read())
            assert response.status == status
            if kind is not None:
                assert reply["error"]["type"] == kind
            assert reply["error"]["ran"] == "not run"

    run(fleet, scenario)


@pytest.mark.parametrize("value", ["", "Basic x", "Bearer", "Bearer wrong"])
def test_a_call_with_an_invalid_api_key_is_rejected(fleet, value):
    async def scenario(session, url):
        async with session.post(
            f"{url}/v1/completions",
            json=sites.body_of(),
            headers={"Authorization": value},
        ) as response:
            assert response.status == 401

    run(fleet, scenario)


def test_a_slow_request_body_is_rejected(fleet):
    async def scenario(session, url):
        port = fleet.instances["z1-1"].http_port
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        key = sites.headers()["Authorization"]
        writer.write(
            b"POST /v1/completions HTTP/1.1\r\nHost: x\r\n"
            + f"Authorization: {key}\r\n".encode()
            + b"Content-Length: 1000\r\n\r\n{"
        )
        head = await asyncio.wait_for(reader.readline(), 30)
        assert b"408" in head
        writer.close()

    run(fleet, scenario)


def test_plain_services_get_the_call_and_its_workspace(fleet):
    async def scenario(session, url):
        async with session.put(
            f"{url}/s/{sites.PORTAL}/quotes/7?draft=1",
            data=b"hello",
            headers=sites.headers(),
        ) as response:
            reply = msgspec.json.decode(await response.read())
        assert reply["path"] == "/quotes/7"
        assert reply["workspace"] == "joinery"
        assert reply["body"] == "hello"

    run(fleet, scenario)


def test_a_call_that_may_not_be_repeated_runs_once_for_its_key(fleet):
    async def scenario(session, url):
        replies = await asyncio.gather(
            *(sites.check_in(session, url, "once", "m-once") for _ in range(5))
        )
        ran = (await sites.executions(session, fleet)).count("m-once")
        assert ran == 1
        assert sum(status == 200 for status, _ in replies) >= 1
        assert all(status in (200, 409) for status, _ in replies)
        status, again = await sites.check_in(session, url, "once", "m-once")
        assert status == 200 and again["body"] == "m-once"
        assert (await sites.executions(session, fleet)).count("m-once") == 1

    run(fleet, scenario)


def test_an_idempotency_key_reused_for_another_body_is_rejected(fleet):
    async def scenario(session, url):
        await sites.check_in(session, url, "reused", "m-first")
        status, reply = await sites.check_in(session, url, "reused", "m-other")
        assert (status, reply["error"]["type"]) == (422, "key_reused")
        assert "m-other" not in await sites.executions(session, fleet)
        # Keys are scoped by workspace.
        status, _ = await sites.check_in(
            session, url, "reused", "m-third", "kitchens"
        )
        assert status == 200

    run(fleet, scenario)


def test_a_response_with_the_id_of_another_attempt_is_dropped(fleet):
    async def scenario(session, url):
        await sites.set_faults(session, fleet, "portal-1", cross=True)
        status, reply = await sites.check_in(session, url, "cross", "m-cross")
        assert (status, reply["error"]["ran"]) == (502, "unknown")
        await sites.set_faults(session, fleet, "portal-1", cross=False)
        # The call ran, so it must not be executed again.
        status, reply = await sites.check_in(session, url, "cross", "m-cross")
        assert (status, reply["error"]["type"]) == (409, "claim_in_progress")
        assert (await sites.executions(session, fleet)).count("m-cross") == 1

    run(fleet, scenario)


def test_a_call_rejected_by_the_target_did_not_run_and_may_be_resent(fleet):
    async def scenario(session, url):
        await sites.set_faults(session, fleet, "portal-1", refuse=True)
        status, reply = await sites.check_in(session, url, "ref", "m-ref")
        assert (status, reply["error"]["ran"]) == (503, "not run")
        await sites.set_faults(session, fleet, "portal-1", refuse=False)
        assert "m-ref" not in await sites.executions(session, fleet)
        status, _ = await sites.check_in(session, url, "ref", "m-ref")
        assert status == 200
        assert (await sites.executions(session, fleet)).count("m-ref") == 1

    run(fleet, scenario)


def test_streams_with_the_id_of_another_attempt_are_dropped(fleet):
    async def scenario(session, url):
        await sites.set_faults(session, fleet, "runner-1", cross=True)
        replies = await asyncio.gather(
            *(
                sites.complete(session, url, prompt=f"{n} " + sites.PROMPT)
                for n in range(6)
            )
        )
        await sites.set_faults(session, fleet, "runner-1", cross=False)
        for number, (status, reply, _) in enumerate(replies):
            if status == 200:
                wanted = sites.expected_answer(f"{number} " + sites.PROMPT)
                assert sites.text_of(reply) == wanted
        assert any(status == 200 for status, _, _ in replies)

    run(fleet, scenario)


def test_late_responses_are_awaited(fleet):
    async def scenario(session, url):
        for name in ("runner-1", "runner-2"):
            await sites.set_faults(session, fleet, name, late_s=0.8)
        status, reply, _ = await sites.complete(session, url, prompt="late")
        for name in ("runner-1", "runner-2"):
            await sites.set_faults(session, fleet, name, late_s=0.0)
        assert status == 200
        assert sites.text_of(reply) == sites.expected_answer("late")

    run(fleet, scenario)


def test_streams_that_go_silent_are_resumed_without_a_lost_token(fleet):
    async def scenario(session, url):
        call = asyncio.create_task(
            sites.complete(session, url, prompt="silent", tokens=120)
        )
        await asyncio.sleep(0.25)
        for name in ("runner-1", "runner-2"):
            await sites.admin(session, fleet, name, "hang")
        status, reply, _ = await call
        for name in ("runner-1", "runner-2"):
            await sites.set_faults(session, fleet, name, hang=False)
        assert status == 200
        assert sites.text_of(reply) == sites.expected_answer("silent", 120)

    run(fleet, scenario)


async def read_events(response, count):
    """Reads a number of events and returns their ids and texts."""
    ids, texts = [], []
    async for line in response.content:
        if line.startswith(b"id: "):
            ids.append(line[4:].strip().decode())
        elif line.startswith(b"data: {"):
            texts.append(msgspec.json.decode(line[6:])["choices"][0]["text"])
            if len(texts) == count:
                break
    return ids, texts


def test_a_caller_resumes_its_stream_by_the_last_event(fleet):
    async def scenario(session, url):
        body = sites.body_of("resumed", 60, stream=True)
        async with session.post(
            f"{url}/v1/completions", json=body, headers=sites.headers()
        ) as response:
            ids, texts = await read_events(response, 9)
        async with session.post(
            f"{url}/v1/completions",
            json=body,
            headers=sites.headers(**{"Last-Event-ID": ids[-1]}),
        ) as response:
            assert response.status == 200
            _, rest = await read_events(response, 51)
        whole = "".join(texts + rest)
        assert whole == sites.expected_answer("resumed", 60)

    run(fleet, scenario)


def test_metrics_and_logs_hold_no_prompt_and_no_secret(fleet):
    async def scenario(session, url):
        await sites.complete(session, url, prompt="very private words")
        async with session.get(f"{url}/metrics") as response:
            text = await response.text()
        assert (
            'chivelb_first_token_seconds_bucket{class_name="interactive"'
            in text
        )
        log = (fleet.folder / "z1-1.log").read_text()
        for line in log.splitlines():
            if line.startswith("{"):
                assert msgspec.json.decode(line)["event"]
        key = sites.headers()["Authorization"]
        for secret in ("very private", key, "cache_secret"):
            assert secret not in text
            assert secret not in log

    run(fleet, scenario)


BAD_ANNOUNCEMENTS = [b"", b"{", b'{"record":{}}', b'{"record":3}', b"[]"]


@pytest.mark.parametrize("body", BAD_ANNOUNCEMENTS)
def test_bad_announcements_are_explained(fleet, body):
    async def scenario(session, url):
        async with session.post(
            f"{url}/targets/announce", data=body
        ) as response:
            reply = msgspec.json.decode(await response.read())
            assert response.status == 400
            assert reply["error"]["ran"] == "not run"

    run(fleet, scenario)


@pytest.mark.parametrize("path", ["document", "status", "history", "snapshot"])
def test_operators_need_their_key(fleet, path):
    async def scenario(session, url):
        async with session.get(f"{url}/operator/{path}") as response:
            assert response.status == 401
        reply = (
            await fleet_lib.operator_get(session, url, f"/operator/{path}")
            if path != "snapshot"
            else True
        )
        assert reply is not None

    run(fleet, scenario)


# Time from SIGTERM until a process would be killed.
STOP_GRACE_S = 3.0


def run_during_stop(tmp_path, tokens, scenario, *, before=None, **options):
    """Runs a scenario after SIGTERM to an instance with a call in progress.

    Args:
        tmp_path: Directory of the site.
        tokens: Length of the answer of the call in progress.
        scenario: Run after SIGTERM.
        before: Run before SIGTERM, with the session and the fleet.
        options: Options of the fleet.
    """

    async def with_call_in_progress(session, fleet):
        sites.start_runner(fleet, "runner-1", "z1")
        await fleet.wait_targets(session, 1)
        url = fleet.instances["z1-1"].url
        call = asyncio.create_task(
            sites.complete(session, url, prompt="stop", tokens=tokens)
        )
        await asyncio.sleep(0.3)
        if before is not None:
            await before(session, fleet)
        process = fleet.process("z1-1")
        process.send_signal(signal.SIGTERM)
        await scenario(session, fleet, process, call)

    sites.run_scenario(
        tmp_path, with_call_in_progress, voters=1, zones=["z1"], **options
    )


def test_a_planned_stop_aborts_no_request(tmp_path):
    async def scenario(session, fleet, process, call):
        await asyncio.sleep(0.1)
        url = fleet.instances["z1-1"].url
        async with session.get(f"{url}/ready") as response:
            assert response.status == 503
        status, reply, _ = await call
        assert status == 200
        assert sites.text_of(reply) == sites.expected_answer("stop", 60)
        assert await asyncio.to_thread(process.wait, 20) == 0

    run_during_stop(tmp_path, 60, scenario)


# Guards against a request on a connection kept open that is sent to a target
# after the time for new requests, when the process may end before its answer.
@pytest.mark.parametrize("model", [True, False])
def test_a_request_late_in_a_planned_stop_is_refused_as_not_run(
    tmp_path, model
):
    async def send(session, url):
        if model:
            return await sites.complete(session, url, tokens=1)
        async with session.post(
            f"{url}/s/{sites.PORTAL}/quotes", headers=sites.headers()
        ) as response:
            reply = msgspec.json.decode(await response.read())
            return response.status, reply, response.headers

    async def open_connection(session, fleet):
        sites.start_portal(fleet, "portal-1", "z1")
        await fleet.wait_targets(session, 2)
        url = fleet.instances["z1-1"].url
        status, _, _ = await send(session, url)
        assert status == 200

    async def scenario(session, fleet, process, call):
        # The port is closed by now: this uses the connection kept open.
        await asyncio.sleep(0.8)
        url = fleet.instances["z1-1"].url
        status, reply, headers = await send(session, url)
        assert status == 503
        assert reply["error"]["type"] == "stopping"
        assert reply["error"]["ran"] == "not run"
        assert headers["Connection"] == "close"
        status, reply, _ = await call
        assert status == 200
        assert await asyncio.to_thread(process.wait, 20) == 0

    run_during_stop(tmp_path, 150, scenario, before=open_connection)


# Guards against requests that are cut without an answer when the supervisor
# kills the process at the end of the grace period.
@pytest.mark.parametrize("stream", [True, False])
def test_a_call_at_a_target_at_the_end_of_a_stop_may_have_run(tmp_path, stream):
    calls = []

    async def send(session, url):
        async with session.post(
            f"{url}/v1/completions",
            json=sites.body_of(prompt="more", tokens=4000, stream=stream),
            headers=sites.headers(),
        ) as response:
            return response.status, await response.read()

    async def begin_call(session, fleet):
        url = fleet.instances["z1-1"].url
        calls.append(asyncio.create_task(send(session, url)))
        await asyncio.sleep(0.3)

    async def scenario(session, fleet, process, call):
        # The supervisor kills the process at the end of the grace period.
        with contextlib.suppress(subprocess.TimeoutExpired):
            await asyncio.to_thread(process.wait, STOP_GRACE_S)
        process.kill()
        status, body = await calls[0]
        assert status == (200 if stream else 502)
        assert b'"type":"outcome_unknown"' in body
        assert b"[DONE]" not in body
        status, reply, _ = await call
        assert status == 502
        assert reply["error"]["ran"] == "unknown"

    run_during_stop(
        tmp_path,
        4000,
        scenario,
        before=begin_call,
        http={"stop_grace_s": STOP_GRACE_S},
    )


def test_a_second_signal_logs_the_number_of_aborted_calls(tmp_path):
    async def scenario(session, fleet, process, call):
        await asyncio.sleep(0.6)
        process.send_signal(signal.SIGTERM)
        assert await asyncio.to_thread(process.wait, 20) == 3
        with pytest.raises(Exception):  # noqa: B017
            await call
        log = (fleet.folder / "z1-1.log").read_text()
        lines = [json.loads(line) for line in log.splitlines()]
        assert [line["cut"] for line in lines if "cut" in line] == [1]

    run_during_stop(tmp_path, 600, scenario)
