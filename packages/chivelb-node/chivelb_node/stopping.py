"""Time limits of a stopping instance: which requests begin, and all end.

Whoever serves callers asks here, so that each request is answered whole or was
never sent to a target.
"""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
import math

from chivelb_core import codes

from chivelb_node.edge import responses

# Time before the end of the grace period at which requests in progress are
# answered as unknown, as a share of the period; it is for these answers and for
# the end of the process.
MARGIN_SHARE = 0.05
# Lower bound of that time in seconds, within ``MAX_MARGIN_SHARE``.
MIN_MARGIN_S = 0.3
MAX_MARGIN_SHARE = 0.15
# Limit on the time for new requests, as a share of the grace period.
MAX_SERVING_SHARE = 0.5
DETAILS = {
    codes.OUTCOME_UNKNOWN: "the instance stopped before the answer was complete"
}


class Stop:
    """When the requests of an instance may begin and must end.

    Both times are infinite until a stop begins. They are compared with the
    clock when a request is sent, so that they hold after a pause too.

    Attributes:
        clock: Returns the monotonic time in seconds.
        starts_until: Time until which requests may be sent to a target for the
            first time, in seconds.
        ends_at: Time at which requests in progress are ended, in seconds.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        """Creates the limits of an instance that is not stopping."""
        self.clock = clock
        self.starts_until = math.inf
        self.ends_at = math.inf
        self._timeouts: dict[asyncio.Timeout, Callable[[], float]] = {}

    def begin(self, *, serving_s: float, grace_s: float) -> None:
        """Begins a stop.

        Args:
            serving_s: Time for which new requests are served, in seconds.
            grace_s: Time after which the process is killed, in seconds.
        """
        now = self.clock()
        serving_s = min(serving_s, grace_s * MAX_SERVING_SHARE)
        self.starts_until = now + serving_s
        margin_s = max(grace_s * MARGIN_SHARE, MIN_MARGIN_S)
        margin_s = min(margin_s, grace_s * MAX_MARGIN_SHARE)
        self.ends_at = now + grace_s - margin_s
        for timeout, ends_at in self._timeouts.items():
            self._schedule(timeout, ends_at())

    def may_start(self) -> bool:
        """Returns whether a request may be sent to a target now."""
        return self.clock() < self.starts_until

    def has_ended(self) -> bool:
        """Returns whether nothing may be sent to targets any more."""
        return self.clock() >= self.ends_at

    def check_start(self) -> None:
        """Checks whether a request may be sent to a target now.

        Raises:
            responses.RequestError: It may not; it has not run.
        """
        if not self.may_start():
            raise responses.RequestError(codes.STOPPING)

    @contextlib.asynccontextmanager
    async def before_start(self) -> AsyncIterator[None]:
        """Limits what precedes the first send of a request to a target.

        ``check_start`` is still due before it is sent.

        Raises:
            responses.RequestError: It took too long to send the request now;
                it has not run.
        """
        async with self._limit(lambda: self.starts_until, codes.STOPPING):
            yield

    @contextlib.asynccontextmanager
    async def until_end(
        self, code: codes.ResultCode = codes.OUTCOME_UNKNOWN
    ) -> AsyncIterator[None]:
        """Limits what is done for a request that may be at a target.

        Args:
            code: Result code of a request that is not done then.

        Raises:
            responses.RequestError: The stop has ended.
        """
        async with self._limit(lambda: self.ends_at, code):
            yield

    @contextlib.asynccontextmanager
    async def _limit(
        self, ends_at: Callable[[], float], code: codes.ResultCode
    ) -> AsyncIterator[None]:
        timeout = asyncio.timeout(None)
        try:
            async with timeout:
                self._timeouts[timeout] = ends_at
                self._schedule(timeout, ends_at())
                try:
                    yield
                finally:
                    del self._timeouts[timeout]
        except TimeoutError:
            if not timeout.expired():
                raise
            detail = DETAILS.get(code, "")
            raise responses.RequestError(code, detail) from None

    def _schedule(self, timeout: asyncio.Timeout, ends_at: float) -> None:
        if math.isinf(ends_at) or timeout.expired():
            return
        loop = asyncio.get_running_loop()
        timeout.reschedule(loop.time() + ends_at - self.clock())
