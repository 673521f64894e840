"""Orders that a simulated runner gets from successive controllers."""

import argparse
import asyncio

from chivelb_cli.lab import options
from chivelb_cli.lab import runner as runner_lib
import msgspec


class FakeRequest:
    """A request of which only the body is read."""

    def __init__(self, **fields):
        self.body = msgspec.json.encode(fields)

    async def read(self):
        return self.body


class PendingLoads:
    """Loads of weights that the test ends, each with a result."""

    def __init__(self):
        self.pending = []

    async def load(self, version):
        future = asyncio.get_running_loop().create_future()
        self.pending.append(future)
        if not await future:
            raise runner_lib.LoadError(version)


def make_runner(loads):
    parser = argparse.ArgumentParser()
    options.add_parsers(parser)
    arguments = parser.parse_args(["runner", "--identity", "r", "--zone", "z1"])
    runner = runner_lib.Runner(arguments)
    runner.download_weights = loads.load
    return runner


async def order(runner, *, token, order_id="o", version="v2"):
    """Returns the state that the runner answers an order with."""
    request = FakeRequest(
        token=token, order_id=order_id, kind="swap", version=version
    )
    response = await runner.execute_order(request)
    return msgspec.json.decode(response.body)["state"]


async def settle(runner):
    """Lets the tasks of the runner go on as far as they can."""
    for _ in range(10):
        await asyncio.sleep(0)


def run(scenario):
    loads = PendingLoads()

    async def body():
        await scenario(make_runner(loads), loads)

    asyncio.run(body())


# Guards against a rollout that stops for good: both orders are read in one
# step of the event loop, as after a pause of the runner's process.
def test_an_order_that_is_repeated_before_its_load_started_has_not_failed():
    async def scenario(runner, loads):
        assert await order(runner, token=1) == "accepted"
        assert await order(runner, token=4) == "loading"
        await settle(runner)
        assert await order(runner, token=4) == "loading"
        loads.pending[0].set_result(True)
        await settle(runner)
        assert await order(runner, token=4) == "done"
        assert len(runner.orders) == len(loads.pending) == 1

    run(scenario)


def test_a_load_that_was_replaced_does_not_end_the_next_one():
    async def scenario(runner, loads):
        await order(runner, token=1)
        await settle(runner)
        await order(runner, token=1, order_id="p", version="v3")
        await settle(runner)
        assert runner.readiness == "loading"
        state = await order(runner, token=1, order_id="p", version="v3")
        assert state == "loading"

    run(scenario)
