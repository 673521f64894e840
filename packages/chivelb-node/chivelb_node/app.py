"""Entry point of ``chivelbd``: wires up the services of one instance."""

import argparse
import asyncio
import logging
import random
import signal
import sys

import mode

from chivelb_node import context as context_lib
from chivelb_node import crash_watch
from chivelb_node import settings as settings_lib
from chivelb_node.control import claim_client
from chivelb_node.control import claim_keeper
from chivelb_node.control import replica as replica_lib
from chivelb_node.control import rollout
from chivelb_node.control import voter_service
from chivelb_node.edge import announcements
from chivelb_node.edge import callers
from chivelb_node.edge import claimed_calls
from chivelb_node.edge import console
from chivelb_node.edge import dispatch
from chivelb_node.edge import model_calls
from chivelb_node.edge import operators
from chivelb_node.edge import plain_calls
from chivelb_node.edge import resumed_streams
from chivelb_node.edge import server as server_lib
from chivelb_node.edge import status as status_lib
from chivelb_node.links import announcement_forwarding
from chivelb_node.links import cache as cache_lib
from chivelb_node.links import gossip as gossip_lib
from chivelb_node.links import hub as hub_lib
from chivelb_node.links import load_sharing
from chivelb_node.links import runners
from chivelb_node.links import store_owner
from chivelb_node.links import suspect_sharing
from chivelb_node.storage import journal
from chivelb_node.telemetry import logs
from chivelb_node.wire import authentication

EXIT_OK = 0
EXIT_SETTINGS = 2
EXIT_INTERRUPTED = 3
EXIT_CRASH = 4
EXIT_START = 5
_log = logs.get_logger("app")


class Instance(mode.Service):
    """All services of one chivelb instance.

    Attributes:
        context: State shared by the services.
        hub: Links to peer instances.
        gossip: Cluster membership.
        replica: Local replica of the configuration document.
        claims: Client of the claim keepers.
        loads: Exchange of target loads between instances.
        announcement_forwarder: Exchange of target announcements between
            instances.
        voter_service: Voter of the control group; None when this instance has
            no vote.
        claim_keeper_service: Claim keeper; None when this instance keeps no
            claims.
        server: The HTTP server; None until started.
        services: Services that have been started.
    """

    def __init__(self, settings: settings_lib.Settings) -> None:
        """Creates the long-lived services without starting them.

        Args:
            settings: Validated settings.
        """
        super().__init__()
        self.context = context_lib.InstanceContext(settings, random.Random())
        key_ring = None
        if settings.peers.keys_file:
            key_ring = authentication.KeyRing(settings.peers.keys_file)
        elif not settings.peers.authenticated:
            key_ring = authentication.KeyRing(None)
        self.hub = hub_lib.Hub(self.context, key_ring)
        self.gossip = gossip_lib.Gossip(self.context, self.hub)
        self.replica = replica_lib.ReplicaService(
            self.context, self.hub, self.gossip
        )
        self.gossip.rank_for(self.context.cold_targets, lambda name: True)
        self.claims = claim_client.ClaimClient(self.context, self.hub)
        self.loads = load_sharing.LoadReporting(
            self.context, self.hub, self.gossip
        )
        self.shared_suspects = suspect_sharing.SuspectSharing(
            self.context, self.hub, self.gossip
        )
        self.announcement_forwarder = (
            announcement_forwarding.AnnouncementForwarder(
                self.context, self.hub, self.gossip, self.loads
            )
        )
        self.voter_service: voter_service.VoterService | None = None
        self.claim_keeper_service: claim_keeper.ClaimKeeperService | None = None
        if settings.instance.name in self.replica.voter_client.voters():
            self.voter_service = voter_service.VoterService(
                self.context,
                self.hub,
                self.replica.push_latest,
                self.gossip.control_instances,
            )
            self.replica.voter_client.voter_service = self.voter_service
        if settings.instance.name in self.claims.keepers:
            self.claim_keeper_service = claim_keeper.ClaimKeeperService(
                self.context, self.hub
            )
        self.server: server_lib.HttpServer | None = None
        self.services: list[mode.Service] = []

    async def on_start(self) -> None:
        """Starts the services, peer links first and the HTTP server last."""
        sessions = runners.SessionService()
        session = sessions.session
        cache = cache_lib.CacheService(
            self.context, self.hub, self.gossip, session
        )
        owner = store_owner.StoreOwnerService(
            self.context, self.hub, self.gossip, session, cache.reuse_model
        )
        dispatcher = dispatch.Dispatcher(self.context, cache.best_store)
        model_executor = model_calls.ModelCalls(
            self.context,
            dispatcher,
            session,
            cache,
            self.shared_suspects.broadcast_observation,
        )
        claimed_executor = claimed_calls.ClaimedCalls(
            self.claims, model_executor
        )
        plain_executor = plain_calls.PlainCalls(
            self.context, self.claims, session
        )
        resume_executor = resumed_streams.ResumedStreams(self.context, session)
        self.server = server_lib.HttpServer(
            self.context,
            [
                callers.CallerHandlers(
                    self.context,
                    model_executor,
                    plain_executor,
                    claimed_executor,
                    resume_executor,
                ),
                announcements.AnnouncementHandlers(
                    self.context, self.announcement_forwarder, cache
                ),
                *self._operator_handlers(),
            ],
        )
        rollouts = None
        if self.voter_service is not None:
            rollouts = rollout.DocumentRolloutService(
                self.context, self.voter_service, session
            )
        optional_services = [
            sessions,
            self.hub,
            self.gossip,
            self.claim_keeper_service,
            self.voter_service,
            self.replica,
            self.claims,
            self.loads,
            self.shared_suspects,
            self.announcement_forwarder,
            owner,
            cache,
            dispatcher,
            claimed_executor,
            plain_executor,
            rollouts,
            self.server,
        ]
        self.services = [
            service for service in optional_services if service is not None
        ]
        for service in self.services:
            await self.add_runtime_dependency(service)

    def _operator_handlers(self) -> list:
        reporter = status_lib.StatusReporter(
            self.context,
            self.hub,
            self.gossip,
            self.replica,
            self.claims,
            self.claim_keeper_service,
        )
        handlers = operators.OperatorHandlers(
            self.context, self.replica, reporter, self.announcement_forwarder
        )
        return [
            handlers,
            console.ConsoleHandlers(self.context, handlers, reporter),
        ]


async def serve(settings: settings_lib.Settings) -> int:
    """Runs an instance until it is asked to stop.

    The first SIGTERM or SIGINT starts a graceful shutdown. A second signal
    aborts the requests still in progress, which is logged and reported by
    the exit code.

    Args:
        settings: Validated settings.

    Returns:
        The exit code.
    """
    instance = Instance(settings)
    stop_requested = instance.context.stop_requested
    second_signal = asyncio.Event()

    def handle_signal() -> None:
        (second_signal if stop_requested.is_set() else stop_requested).set()

    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, handle_signal)
    await instance.start()
    if not await crash_watch.wait_for_stop(stop_requested, instance.services):
        await instance.stop()
        return EXIT_CRASH
    drain = asyncio.create_task(instance.server.drain())
    interrupt = asyncio.create_task(second_signal.wait())
    await asyncio.wait({drain, interrupt}, return_when=asyncio.FIRST_COMPLETED)
    code = EXIT_OK
    if not drain.done():
        code = EXIT_INTERRUPTED
        _log.warning(
            "second signal received; aborting requests in progress",
            cut=instance.context.in_progress,
        )
    for task in (drain, interrupt):
        task.cancel()
    await instance.stop()
    return code


def main(argv: list[str] | None = None) -> int:
    """Runs ``chivelbd``.

    Args:
        argv: Arguments without the program name; ``sys.argv[1:]`` when
            None.

    Returns:
        The exit code.
    """
    parser = argparse.ArgumentParser(
        prog="chivelbd", description="Runs one chivelb instance."
    )
    parser.add_argument("--settings", required=True, help="INI file")
    arguments = parser.parse_args(argv)
    result = settings_lib.read_settings(arguments.settings)
    if result.is_error():
        for message in result.error:
            print(message, file=sys.stderr)
        return EXIT_SETTINGS
    settings = result.ok
    writer = logs.configure(settings.instance.name, settings.instance.log_level)
    logging.getLogger("mode").setLevel(logging.CRITICAL)
    try:
        return asyncio.run(serve(settings))
    except (
        OSError,
        authentication.AuthenticationError,
        journal.JournalError,
    ) as error:
        # Such as a port in use, an unreadable key file or a corrupt journal.
        print(f"{arguments.settings}: can't start: {error}", file=sys.stderr)
        return EXIT_START
    finally:
        writer.flush()


if __name__ == "__main__":
    sys.exit(main())
