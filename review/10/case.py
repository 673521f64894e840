"""A runner of a new version joins while the entry of some streams is frozen."""

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))
import harness  # noqa: E402

STREAMS = 24
EVENTS = 100
EVENT_S = 0.1
BUDGET_S = 15.0
FREEZE_S = 5.0
JOIN_AFTER_S = 1.0
# "Requesters abandon a stream ... after a gap of two seconds, four times the
# objective or eight times that pause, whichever is longest."
GAP_S = 2.4
TRIES = 3
ROUTES = [
    harness.route(
        "r-a", "/full/", "streaming", "lm", Resumable=True, TimeoutMs=15_000
    )
]
SERVICES = [harness.lm_service("lm")]


async def read_events(fleet, entry, data, timeout_s):
    """Reads a stream until its end, or a gap of ``GAP_S``."""
    got = bytearray()
    last = time.monotonic()

    def on_body(chunk):
        nonlocal last
        got.extend(chunk)
        last = time.monotonic()

    task = asyncio.create_task(
        harness.call(
            entry.ip, fleet.front, data, timeout_s=timeout_s, on_body=on_body
        )
    )
    while not task.done():
        await asyncio.wait({task}, timeout=0.05)
        if not task.done() and time.monotonic() - last > GAP_S:
            task.cancel()
            break
    try:
        response = await task
    except asyncio.CancelledError:
        response = harness.Response(0, {}, b"", f"abandoned after {GAP_S} s")
    return response, harness.event_lines(bytes(got))


async def read_stream(fleet, record, number, first_entry):
    """Reads a stream and takes it up where it broke.

    Returns:
        The number of events, of tries to take it up, and whether one went on.
    """
    deadline = time.monotonic() + BUDGET_S
    events, first_id, entry, taken_up, went_on = [], "", first_entry, 0, False
    others = [e for e in fleet.entries() if e is not first_entry]
    parts = [("5c1e07a2", 800), (f"{number:08x}", 250)]
    for _ in range(TRIES + 1):
        left_s = deadline - time.monotonic()
        if left_s < 0.1:
            break
        request_id = harness.new_id()
        extra = []
        if events:
            taken_up += 1
            extra = [("Last-Event-Id", events[-1][0]), ("Resumes", first_id)]
        response, found = await read_events(
            fleet,
            entry,
            harness.stream_request(
                f"/full/{number}",
                request_id=request_id,
                tokens=(1_050, EVENTS),
                parts=parts,
                deadline_ms=int(left_s * 1000),
                extra=extra,
            ),
            left_s,
        )
        record(
            f"stream {number} at {entry.name}"
            + (f" taken up after event {events[-1][0]}" if events else "")
            + f": {response}, {len(found)} events"
        )
        went_on = went_on or bool(events and found)
        if found and not events:
            first_id = request_id
        events += found
        if response.is_whole and response.status == 200:
            break
        entry = others[number % len(others)]
        pause_s = float(response.headers.get("retry-after", 0.1))
        await asyncio.sleep(
            max(0.0, min(pause_s, (deadline - time.monotonic()) / 3))
        )
    return len(events), taken_up, went_on


async def scenario(fleet, record):
    """Plays the case and returns its result."""
    await fleet.start_all()
    operator = harness.Operator(fleet, record)
    if not await operator.order(
        "/configuration/replace", harness.manifest(7, ROUTES, SERVICES)
    ):
        raise harness.CaseError("the manifest was not acknowledged")
    for number in range(3):
        await harness.Runner(
            fleet,
            record,
            identity=f"i-{number}",
            service="lm",
            zone=fleet.zones[number],
            event_s=EVENT_S,
        ).start()
    for entry in fleet.entries():
        await harness.wait_ready(fleet, entry)
    await asyncio.sleep(12.0)
    first, others = fleet.entries()[0], fleet.entries()[1:]
    streams = [
        asyncio.create_task(read_stream(fleet, record, number, first))
        for number in range(STREAMS)
    ]
    await asyncio.sleep(1.5)
    if harness.has_trouble:
        fleet.freeze(first)
    await asyncio.sleep(JOIN_AFTER_S)
    await harness.Runner(
        fleet,
        record,
        identity="i-new",
        service="lm",
        version="v2",
        event_s=EVENT_S,
    ).start()
    await asyncio.sleep(1.0)
    new_streams = [
        asyncio.create_task(
            read_stream(
                fleet, record, STREAMS + number, others[number % len(others)]
            )
        )
        for number in range(STREAMS)
    ]
    await asyncio.sleep(FREEZE_S - JOIN_AFTER_S - 1.0)
    if harness.has_trouble:
        fleet.thaw(first)
    results = await asyncio.gather(*streams)
    new_results = await asyncio.gather(*new_streams)
    taken_up = [r for r in results if r[1]]
    went_on = sum(r[2] for r in taken_up)
    begun = sum(r[0] > 0 for r in new_results)
    record(
        f"streams taken up: {len(taken_up)}, of these went on: {went_on}; "
        f"tries to take one up: {sum(r[1] for r in taken_up)}; "
        f"new streams: {len(new_results)}, of these began: {begun}"
    )
    if len(taken_up) < 12:
        return harness.HELD
    share_on = went_on / len(taken_up)
    share_new = begun / len(new_results)
    return harness.BROKEN if share_on < share_new / 2 else harness.HELD


harness.run_case(FOLDER, scenario, controls=3, entries=3)
