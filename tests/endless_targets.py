"""Runs of a connection pool against targets that send bytes without end."""

import asyncio

from chivelb_node.links import http_pool

# More than any limit on bytes that are not passed on, socket buffers included.
MAX_ACCEPTED_BYTES = 8 << 20
NO_TIME_LIMIT_S = 600.0
# A test that is not ended by what it tests fails after this time.
GIVE_UP_S = 60.0


def run_with_pool(target, scenario):
    """Runs a scenario with a pool while a scripted target serves."""

    async def run():
        pool = http_pool.HttpPool()
        async with target.serve():
            try:
                async with asyncio.timeout(GIVE_UP_S):
                    return await scenario(pool)
            finally:
                pool.close()

    return asyncio.run(run())
