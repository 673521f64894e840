"""Command-line options of the simulated targets."""

import argparse

from chivelb_cli.lab import runner
from chivelb_cli.lab import service
from chivelb_cli.lab import store
from chivelb_cli.lab import weights


def add_parsers(parent: argparse.ArgumentParser) -> None:
    """Adds ``chivelb lab runner|store|weights|service``.

    Options of a store: ``--capacity`` in bytes, ``--link-rate`` in bytes per
    second, and ``--event-lag``, the delay of cache events in seconds.

    Options of a service, which is one target of a plain (non-model) service:
    ``--work-s`` is the time of each request in seconds and ``--slots`` the
    number of concurrent requests that it announces.

    Options of the weight store: ``--load-s`` is the time of a download in
    seconds. Downloads slow down when more than ``--at-once`` run
    concurrently. A version named by ``--missing`` is not found; the option may
    be repeated.
    """
    kinds = parent.add_subparsers(dest="kind", required=True)
    runner_parser = kinds.add_parser("runner", help="simulate a model runner")
    _add_common(runner_parser)
    _add_target(runner_parser)
    _add_runner(runner_parser)
    runner_parser.set_defaults(run=runner.run)
    store_parser = kinds.add_parser("store", help="simulate a KV cache store")
    _add_common(store_parser)
    _add_target(store_parser)
    store_parser.add_argument("--capacity", type=int, default=2**30)
    store_parser.add_argument("--link-rate", type=float, default=100e6)
    store_parser.add_argument("--event-lag", type=float, default=0.05)
    store_parser.set_defaults(run=store.run)
    service_parser = kinds.add_parser(
        "service", help="simulate a target of a plain service"
    )
    _add_common(service_parser)
    _add_target(service_parser)
    service_parser.add_argument("--work-s", type=float, default=0.005)
    service_parser.add_argument("--slots", type=int, default=64)
    service_parser.set_defaults(run=service.run)
    weights_parser = kinds.add_parser(
        "weights", help="simulate the weight store"
    )
    _add_common(weights_parser)
    weights_parser.add_argument("--at-once", type=int, default=3)
    weights_parser.add_argument("--load-s", type=float, default=1.0)
    weights_parser.add_argument("--missing", action="append", default=[])
    weights_parser.set_defaults(run=weights.run)


def _add_common(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--json", action="store_true", help="print JSON")


def _add_target(parser: argparse.ArgumentParser) -> None:
    """Adds the options of targets that announce themselves.

    ``--service`` names the configured service that the target belongs to; the
    default is a placeholder for stores, which belong to none. ``--announce``
    is the base URL of an instance and may be repeated, in failover order.
    ``--announce-period`` is the time between announcements and ``--lease`` the
    validity of an announcement, both in seconds.
    """
    parser.add_argument("--identity", required=True)
    parser.add_argument("--zone", required=True)
    parser.add_argument("--service", default="kept")
    parser.add_argument("--announce", action="append", default=[])
    parser.add_argument("--announce-period", type=float, default=0.25)
    parser.add_argument("--lease", type=float, default=2.0)
    parser.add_argument("--target-key", default="")


def _add_runner(parser: argparse.ArgumentParser) -> None:
    """Adds the options of a runner.

    - ``--version``: weight version that is active at the start.
    - ``--slots``: maximum number of sequences in the batch.
    - ``--max-waiting``: maximum number of sequences that wait for a slot.
    - ``--room-tokens``: announced KV cache capacity in tokens.
    - ``--prefill-rate``: prompt tokens per second over all sequences.
    - ``--decode-rate``: tokens per second of a sequence that runs alone.
    - ``--cache-blocks``: capacity of the prefix cache in blocks.
    - ``--event-lag``: delay of cache events in seconds.
    - ``--load-lag``: age in seconds of the load (running and waiting
      sequences, pending prompt tokens) in an announcement.
    - ``--load-s``: time in seconds to load weights when there is no weight
      store.
    - ``--link-rate``: bandwidth of the link to the stores in bytes per second.
    - ``--bytes-per-token``: announced size of a token's KV cache in bytes.
    - ``--weights``: base URL of the weight store; empty for none.
    - ``--cold-s``: time in seconds for which it reports to be cold after its
      start.
    - ``--ignore-fencing``: accept orders with a stale fencing token.
    """
    parser.add_argument("--model", default="lm")
    parser.add_argument("--version", default="v1")
    parser.add_argument("--slots", type=int, default=8)
    parser.add_argument("--max-waiting", type=int, default=16)
    parser.add_argument("--room-tokens", type=int, default=65_536)
    parser.add_argument("--prefill-rate", type=float, default=8_000.0)
    parser.add_argument("--decode-rate", type=float, default=50.0)
    parser.add_argument("--cache-blocks", type=int, default=256)
    parser.add_argument("--event-lag", type=float, default=0.1)
    parser.add_argument("--load-lag", type=float, default=0.2)
    parser.add_argument("--load-s", type=float, default=1.0)
    parser.add_argument("--link-rate", type=float, default=100e6)
    parser.add_argument("--bytes-per-token", type=int, default=1_024)
    parser.add_argument("--weights", default="")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--cold-s", type=float, default=0.0)
    parser.add_argument(
        "--ignore-fencing", dest="checks_fencing", action="store_false"
    )
