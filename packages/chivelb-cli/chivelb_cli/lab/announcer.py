"""Announces a stand-in to the entry instances, in turn when one is away."""

import asyncio
from collections.abc import Callable
import contextlib

import aiohttp
from chivelb_core import targets
import msgspec

TIMEOUT_S = 1.0


class AnnounceReply(msgspec.Struct):
    """An entry's answer.

    Attributes:
        listing: Whether it wants a listing of the cache.
        draining: Whether it is stopping.
    """

    listing: bool = False
    draining: bool = False


class Announcer:
    """Repeats announcements.

    Attributes:
        entries: Base URLs of the entry instances.
        period_s: Seconds between announcements.
        last_status: Status of the newest answer.
    """

    def __init__(
        self,
        entries: list[str],
        describe: Callable[[], targets.TargetRecord],
        take_events: Callable[[], list],
        listing: Callable[[], object],
        *,
        period_s: float,
        target_key: str = "",
    ) -> None:
        """Creates an announcer.

        Args:
            entries: Base URLs of the entry instances.
            describe: Returns the newest record.
            take_events: Returns the events that are due.
            listing: Returns all that is cached.
            period_s: Seconds between announcements.
            target_key: Key that targets announce with.
        """
        self.entries = entries
        self.describe = describe
        self.take_events = take_events
        self.listing = listing
        self.period_s = period_s
        self.target_key = target_key
        self.last_status = 0
        self._sequence = 0
        self._turn = 0
        self._wanted = False

    async def run(self) -> None:
        """Announces for ever."""
        async with aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=TIMEOUT_S)
        ) as session:
            while True:
                await self.announce(session)
                await asyncio.sleep(self.period_s)

    async def announce(self, session: aiohttp.ClientSession) -> None:
        """Announces once; the next entry takes over when one fails."""
        if not self.entries:
            return
        record = self.describe()
        self._sequence += 1
        record.sequence = self._sequence
        body = {"record": msgspec.to_builtins(record)}
        if record.role != "plain":
            body["events"] = msgspec.to_builtins(self.take_events())
            if self._wanted:
                body["listing"] = msgspec.to_builtins(self.listing())
        for _ in range(len(self.entries)):
            entry = self.entries[self._turn % len(self.entries)]
            reply = await self._post(session, entry, body)
            if reply is not None:
                self._wanted = reply.listing
                if reply.draining:
                    self._turn += 1
                return
            self._turn += 1
            self._wanted = True

    async def _post(
        self, session: aiohttp.ClientSession, entry: str, body: dict
    ) -> AnnounceReply | None:
        headers = {"X-Target-Key": self.target_key} if self.target_key else {}
        with contextlib.suppress(
            aiohttp.ClientError, TimeoutError, msgspec.MsgspecError
        ):
            async with session.post(
                f"{entry}/targets/announce",
                data=msgspec.json.encode(body),
                headers=headers,
            ) as response:
                self.last_status = response.status
                if response.status == 200:
                    return msgspec.json.decode(
                        await response.read(), type=AnnounceReply
                    )
        return None
