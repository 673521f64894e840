"""Entry point of ``chivelbd``: builds the services of one instance."""

import argparse
import asyncio
import logging
import random
import signal
import sys

import mode

from chivelb_node import context as context_lib
from chivelb_node import settings as settings_lib
from chivelb_node.control import claiming
from chivelb_node.control import keeping
from chivelb_node.control import replica as replica_lib
from chivelb_node.control import rollout
from chivelb_node.control import voting
from chivelb_node.edge import announcements
from chivelb_node.edge import callers
from chivelb_node.edge import claimed
from chivelb_node.edge import console
from chivelb_node.edge import dispatch
from chivelb_node.edge import model_calls
from chivelb_node.edge import operators
from chivelb_node.edge import plain_calls
from chivelb_node.edge import resume
from chivelb_node.edge import server as server_lib
from chivelb_node.edge import status as status_lib
from chivelb_node.links import cache as cache_lib
from chivelb_node.links import gossip as gossip_lib
from chivelb_node.links import hub as hub_lib
from chivelb_node.links import loads as loads_lib
from chivelb_node.links import runners
from chivelb_node.links import sharing as sharing_lib
from chivelb_node.links import store_owner
from chivelb_node.storage import journal
from chivelb_node.telemetry import logs
from chivelb_node.wire import sealing

EXIT_OK = 0
EXIT_SETTINGS = 2
EXIT_CUT = 3
EXIT_CRASH = 4
EXIT_START = 5
CRASH_POLL_S = 0.2
_log = logs.get_logger("app")


class Instance(mode.Service):
    """One entry instance.

    Attributes:
        context: Aggregates shared by the services.
        server: The HTTP server.
    """

    def __init__(self, settings: settings_lib.Settings) -> None:
        """Creates all services; nothing runs yet.

        Args:
            settings: Checked settings.
        """
        super().__init__()
        self.context = context_lib.InstanceContext(settings, random.Random())
        ring = None
        if settings.peers.keys_file:
            ring = sealing.KeyRing(settings.peers.keys_file)
        elif not settings.peers.authenticated:
            ring = sealing.KeyRing(None)
        self.hub = hub_lib.Hub(self.context, ring)
        self.gossip = gossip_lib.Gossip(self.context, self.hub)
        self.replica = replica_lib.ReplicaService(
            self.context, self.hub, self.gossip
        )
        self.claims = claiming.ClaimClient(self.context, self.hub)
        self.loads = loads_lib.LoadSharing(self.context, self.hub, self.gossip)
        self.sharing = sharing_lib.SharingService(
            self.context, self.hub, self.gossip, self.loads
        )
        self.voting: voting.VotingService | None = None
        self.keeping: keeping.KeeperService | None = None
        if settings.instance.name in self.replica.voters():
            self.voting = voting.VotingService(
                self.context, self.hub, self.replica.push
            )
            self.replica.voting = self.voting
        if settings.instance.name in self.claims.keepers:
            self.keeping = keeping.KeeperService(self.context, self.hub)
        self.server: server_lib.HttpServer | None = None
        self.parts: list[mode.Service] = []

    async def on_start(self) -> None:
        """Starts the services, from the links up to the HTTP server."""
        sessions = runners.SessionService()
        session = sessions.session
        cache = cache_lib.CacheService(
            self.context, self.hub, self.gossip, session
        )
        owner = store_owner.StoreOwnerService(
            self.context, self.hub, self.gossip, session, cache.returns
        )
        dispatcher = dispatch.Dispatcher(self.context, cache.best_store)
        runner = model_calls.ModelCalls(
            self.context,
            dispatcher,
            session,
            cache,
            self.loads.spread_sighting,
        )
        claimed_calls = claimed.ClaimedCalls(self.claims, runner)
        plain = plain_calls.PlainCalls(self.context, self.claims, session)
        resumed = resume.ResumedCalls(self.context, session)
        self.server = server_lib.HttpServer(
            self.context,
            [
                callers.CallerHandlers(
                    self.context, runner, plain, claimed_calls, resumed
                ),
                announcements.AnnouncementHandlers(
                    self.context, self.sharing, cache
                ),
                *self._operator_handlers(),
            ],
        )
        rollouts = None
        if self.voting is not None:
            rollouts = rollout.RolloutService(
                self.context, self.voting, session
            )
        services = [
            sessions,
            self.hub,
            self.gossip,
            self.keeping,
            self.voting,
            self.replica,
            self.claims,
            self.loads,
            self.sharing,
            owner,
            cache,
            dispatcher,
            claimed_calls,
            plain,
            rollouts,
            self.server,
        ]
        self.parts = [part for part in services if part is not None]
        for part in self.parts:
            await self.add_runtime_dependency(part)

    async def wait_for_crash(self) -> None:
        """Returns when a task of any service has failed."""
        while not any(part.crashed for part in self.parts):
            await asyncio.sleep(CRASH_POLL_S)

    def _operator_handlers(self) -> list:
        reporter = status_lib.StatusReporter(
            self.context,
            self.hub,
            self.gossip,
            self.replica,
            self.claims,
            self.keeping,
        )
        handlers = operators.OperatorHandlers(
            self.context, self.replica, reporter, self.sharing
        )
        return [
            handlers,
            console.ConsoleHandlers(self.context, handlers, reporter),
        ]


async def serve(settings: settings_lib.Settings) -> int:
    """Runs an instance until it is asked to stop.

    The first SIGTERM or SIGINT stops gracefully; a second one cuts what is
    still in progress and says so.

    Args:
        settings: Checked settings.

    Returns:
        The exit code.
    """
    instance = Instance(settings)
    asked = instance.context.stop_asked
    again = asyncio.Event()

    def on_signal() -> None:
        (again if asked.is_set() else asked).set()

    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, on_signal)
    await instance.start()
    crash = asyncio.create_task(instance.wait_for_crash())
    waiting = asyncio.create_task(asked.wait())
    await asyncio.wait({crash, waiting}, return_when=asyncio.FIRST_COMPLETED)
    waiting.cancel()
    if crash.done():
        # A part that failed can't be relied on; a supervisor starts anew.
        _log.error("a service crashed; the process ends")
        await instance.stop()
        return EXIT_CRASH
    crash.cancel()
    drain = asyncio.create_task(instance.server.drain())
    cut = asyncio.create_task(again.wait())
    await asyncio.wait({drain, cut}, return_when=asyncio.FIRST_COMPLETED)
    code = EXIT_OK
    if not drain.done():
        code = EXIT_CUT
        _log.warning(
            "second signal: cutting requests in progress",
            cut=instance.context.in_progress,
        )
    for task in (drain, cut):
        task.cancel()
    await instance.stop()
    return code


def main(argv: list[str] | None = None) -> int:
    """Runs ``chivelbd``.

    Args:
        argv: Arguments without the program's name; those of the process
            when None.

    Returns:
        The exit code.
    """
    parser = argparse.ArgumentParser(
        prog="chivelbd", description="One entry instance of chivelb."
    )
    parser.add_argument("--settings", required=True, help="INI file")
    arguments = parser.parse_args(argv)
    result = settings_lib.read_settings(arguments.settings)
    if result.is_error():
        for fault in result.error:
            print(fault, file=sys.stderr)
        return EXIT_SETTINGS
    settings = result.ok
    writer = logs.configure(settings.instance.name, settings.instance.log_level)
    logging.getLogger("mode").setLevel(logging.CRITICAL)
    try:
        return asyncio.run(serve(settings))
    except (OSError, sealing.SealError, journal.JournalError) as error:
        # A port in use, unreadable keys or a damaged file.
        print(f"{arguments.settings}: can't start: {error}", file=sys.stderr)
        return EXIT_START
    finally:
        writer.flush()


if __name__ == "__main__":
    sys.exit(main())
