"""Announces a simulated target to instances, with failover between them."""

import argparse
import asyncio
from collections.abc import Callable
import contextlib

import aiohttp
from chivelb_core import targets
import msgspec

ANNOUNCE_TIMEOUT_S = 1.0


class AnnounceReply(msgspec.Struct):
    """Reply of an instance to an announcement.

    Attributes:
        listing: Whether the next announcement must contain a listing of all
            cached blocks.
        draining: Whether the instance is shutting down.
    """

    listing: bool = False
    draining: bool = False


def make_record(
    arguments: argparse.Namespace, *, incarnation: int, port: int, **fields
) -> targets.TargetRecord:
    """Returns the record of a simulated target.

    Args:
        arguments: Command-line arguments of the target.
        incarnation: Its incarnation.
        port: Port that it listens on.
        fields: Further fields of the record.
    """
    return targets.TargetRecord(
        identity=arguments.identity,
        incarnation=incarnation,
        address=f"{arguments.host}:{port}",
        zone=arguments.zone,
        lease_s=arguments.lease,
        **fields,
    )


class Announcer:
    """Announces a target periodically.

    Attributes:
        instance_urls: Base URLs of the instances, in failover order.
        period_s: Seconds between announcements.
        last_status: HTTP status of the newest reply.
    """

    def __init__(
        self,
        instance_urls: list[str],
        build_record: Callable[[], targets.TargetRecord],
        pop_due_events: Callable[[], list],
        build_listing: Callable[[], object],
        *,
        period_s: float,
        target_key: str = "",
    ) -> None:
        """Creates an announcer.

        Args:
            instance_urls: Base URLs of the instances, in failover order.
            build_record: Returns the current target record.
            pop_due_events: Returns cache events due for publication and
                removes them.
            build_listing: Returns a listing of all cached blocks.
            period_s: Seconds between announcements.
            target_key: Authentication key of targets; empty for none.
        """
        self.instance_urls = instance_urls
        self.build_record = build_record
        self.pop_due_events = pop_due_events
        self.build_listing = build_listing
        self.period_s = period_s
        self.target_key = target_key
        self.last_status = 0
        self._sequence = 0
        self._instance_index = 0
        self._listing_requested = False

    @classmethod
    def from_arguments(
        cls,
        arguments: argparse.Namespace,
        build_record: Callable[[], targets.TargetRecord],
        pop_due_events: Callable[[], list] = list,
        build_listing: Callable[[], object] = lambda: None,
    ) -> "Announcer":
        """Creates the announcer that the options of a target describe.

        Args:
            arguments: Command-line arguments of the target.
            build_record: Returns the current target record.
            pop_due_events: Returns cache events due for publication and
                removes them; by default there are none.
            build_listing: Returns a listing of all cached blocks; by default
                there is none.
        """
        return cls(
            arguments.announce,
            build_record,
            pop_due_events,
            build_listing,
            period_s=arguments.announce_period,
            target_key=arguments.target_key,
        )

    async def run(self) -> None:
        """Announces the target until cancelled."""
        async with aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=ANNOUNCE_TIMEOUT_S)
        ) as session:
            while True:
                await self.announce(session)
                await asyncio.sleep(self.period_s)

    async def announce(self, session: aiohttp.ClientSession) -> None:
        """Announces the target once.

        Instances are tried in turn until one accepts the announcement. When
        that instance is draining, the next announcement goes to the one
        after it.
        """
        if not self.instance_urls:
            return
        record = self.build_record()
        self._sequence += 1
        record.sequence = self._sequence
        body = {"record": msgspec.to_builtins(record)}
        if record.role != "plain":
            body["events"] = msgspec.to_builtins(self.pop_due_events())
            if self._listing_requested:
                body["listing"] = msgspec.to_builtins(self.build_listing())
        for _ in range(len(self.instance_urls)):
            instance_url = self.instance_urls[
                self._instance_index % len(self.instance_urls)
            ]
            reply = await self._post(session, instance_url, body)
            if reply is not None:
                self._listing_requested = reply.listing
                if reply.draining:
                    self._instance_index += 1
                return
            self._instance_index += 1
            self._listing_requested = True

    async def _post(
        self, session: aiohttp.ClientSession, instance_url: str, body: dict
    ) -> AnnounceReply | None:
        headers = {"X-Target-Key": self.target_key} if self.target_key else {}
        with contextlib.suppress(
            aiohttp.ClientError, TimeoutError, msgspec.MsgspecError
        ):
            async with session.post(
                f"{instance_url}/targets/announce",
                data=msgspec.json.encode(body),
                headers=headers,
            ) as response:
                self.last_status = response.status
                if response.status == 200:
                    return msgspec.json.decode(
                        await response.read(), type=AnnounceReply
                    )
        return None
