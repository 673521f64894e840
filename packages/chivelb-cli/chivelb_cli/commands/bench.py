"""``chivelb bench``: benchmarks under load and faults."""

import argparse
import asyncio
import pathlib
import sys

from chivelb_core.document import validation
import msgspec

from chivelb_cli.bench import admission
from chivelb_cli.bench import claim_cost
from chivelb_cli.bench import hop
from chivelb_cli.bench import propagation
from chivelb_cli.bench import records
from chivelb_cli.bench import reverse_proxy
from chivelb_cli.bench import scaling
from chivelb_cli.bench import scenario as scenario_lib
from chivelb_cli.bench import scenario_runner
from chivelb_cli.bench import soak
from chivelb_cli.bench import workloads

EXIT_VIOLATION = 1
EXIT_USAGE = 2
# Prompt tokens per second, the default of ``chivelb lab runner``.
PREFILL_RATE = 8_000.0
# Routing policy and store retention policy of each variant. Policies that never
# load KV cache from a store use stores that retain nothing (``none``). The
# other stores keep the most recently used blocks (``recency``, the LRU of
# ``lru_keeping``) or those with the highest expected saving (``value``).
POLICY_VARIANTS: dict[str, tuple[str, str]] = {
    "random": ("random", "none"),
    "round_robin": ("round_robin", "none"),
    "least_loaded": ("least_loaded", "none"),
    "prefix_affinity": ("prefix_affinity", "none"),
    "recompute_always": ("recompute_always", "none"),
    "load_always": ("load_always", "recency"),
    "lru_keeping": ("expected_cost", "recency"),
    "chivelb": ("expected_cost", "value"),
}


def add_parser(commands) -> None:
    """Adds the subcommand.

    Options of ``policies``: ``--duration`` is the length of each run in
    seconds, ``--load`` a factor on the call rate of the workload, ``--lag``
    the delay of the runners' load reports in seconds, ``--store-bytes`` the
    capacity of each KV cache store in bytes. ``--only`` restricts the run to
    the named variant of ``POLICY_VARIANTS`` and may be repeated.

    ``--out`` is the directory of the results.
    """
    parser = commands.add_parser(
        "bench", help="run benchmarks under load and faults"
    )
    kinds = parser.add_subparsers(dest="kind", required=True)
    run_parser = kinds.add_parser("run", help="run scenario files")
    run_parser.add_argument("files", nargs="+", metavar="FILE")
    run_parser.add_argument("--out", default="results")
    run_parser.add_argument("--seed", type=int)
    run_parser.add_argument(
        "--logs", help="keep process logs in this directory"
    )
    run_parser.set_defaults(run=run_files)
    policies = kinds.add_parser("policies", help="compare all routing policies")
    policies.add_argument("workload", choices=sorted(workloads.SITE_CONFIGS))
    policies.add_argument("--seed", type=int, default=1)
    policies.add_argument("--duration", type=float, default=30.0)
    policies.add_argument("--load", type=float, default=1.0)
    policies.add_argument("--lag", type=float, default=0.2)
    policies.add_argument("--store-bytes", type=int, default=150_000_000)
    policies.add_argument("--only", action="append", default=[])
    policies.add_argument("--out", default="results")
    policies.set_defaults(run=run_policies)
    compare = kinds.add_parser("compare", help="compare two result files")
    compare.add_argument("first")
    compare.add_argument("second")
    compare.set_defaults(run=run_compare)

    admission_parser = kinds.add_parser(
        "admission",
        help="compare admission strategies under mixed request sizes",
    )
    admission_parser.add_argument("--seed", type=int, default=1)
    admission_parser.set_defaults(run=run_admission)
    hop_parser = kinds.add_parser(
        "hop", help="measure the overhead of an instance per request"
    )
    hop_parser.add_argument("--calls", type=int, default=400)
    hop_parser.set_defaults(run=run_hop)
    proxy_parser = kinds.add_parser(
        "forwarder", help="run a minimal HTTP reverse proxy as a baseline"
    )
    proxy_parser.add_argument("--port", type=int, required=True)
    proxy_parser.add_argument("--upstream", required=True)
    proxy_parser.set_defaults(run=reverse_proxy.run)
    scaling_parser = kinds.add_parser(
        "slope", help="run the scaling benchmarks of components"
    )
    scaling_parser.add_argument("names", nargs="*", metavar="NAME")
    scaling_parser.set_defaults(run=run_scaling)
    propagation_parser = kinds.add_parser(
        "spread", help="measure the propagation time of configuration changes"
    )
    propagation_parser.add_argument("--changes", type=int, default=30)
    propagation_parser.add_argument("--dead-voters", type=int, default=0)
    propagation_parser.set_defaults(run=run_propagation)

    report_parser = kinds.add_parser(
        "report", help="write an HTML report with plots"
    )
    report_parser.add_argument("files", nargs="+", metavar="RESULT")
    report_parser.add_argument("--out", default="results/report")
    report_parser.set_defaults(run=run_report)
    claims_parser = kinds.add_parser(
        "claims", help="measure the overhead of idempotency claims"
    )
    claims_parser.add_argument("--calls", type=int, default=300)
    claims_parser.set_defaults(run=run_claims)

    for kind in kinds.choices.values():
        kind.add_argument("--json", action="store_true", help="print JSON")


def add_soak_parser(commands) -> None:
    """Adds ``chivelb soak``."""
    parser = commands.add_parser(
        "soak", help="run long randomised simulations of the core"
    )
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--minutes", type=float, default=1.0)
    parser.set_defaults(run=run_soak)


def run_soak(arguments: argparse.Namespace) -> int:
    """Runs the soak test and prints the step count of each simulation."""
    try:
        steps = soak.run(seed=arguments.seed, minutes=arguments.minutes)
    except soak.SoakError as error:
        print(f"VIOLATION: {error}")
        return EXIT_VIOLATION
    for name, count in steps.items():
        print(f"{name:<16}{count:>10}")
    return 0


def run_admission(arguments: argparse.Namespace) -> int:
    """Compares admission strategies for large requests."""
    for load in (0.6, 0.8, 0.95):
        for strategy in admission.ADMISSION_STRATEGIES:
            result = admission.simulate_strategy(
                strategy, load=load, seed=arguments.seed
            )
            if arguments.json:
                _print_json(result)
                continue
            print(
                f"load {load:.2f} {result.way:<12} "
                f"large p50 {result.large_p50_s:.2f} "
                f"p95 {result.large_p95_s:.2f} s, "
                f"lost {result.large_lost:.2f} | small "
                f"p95 {result.small_p95_s:.2f} s | "
                f"token capacity used {result.used:.2f}"
            )
    return 0


def run_hop(arguments: argparse.Namespace) -> int:
    """Compares an instance with direct calls and a minimal reverse proxy.

    In the output, as in the JSON keys, ``entry`` is the instance and
    ``forwarder`` the reverse proxy.
    """
    result = asyncio.run(hop.run(calls=arguments.calls))
    if arguments.json:
        _print_json(result)
        return 0
    for name in ("direct", "forwarder", "entry"):
        measured = getattr(result, name)
        print(
            f"{name:<10} first token p50 "
            f"{measured.first_token_p50_s * 1e3:.2f} ms"
            f"  {measured.requests_per_s:.0f} requests/s"
            f"  {measured.requests_per_cpu_s:.0f} requests per CPU second"
        )
    direct, proxy_result, entry = (
        result.direct,
        result.forwarder,
        result.entry,
    )
    instance_added_s = entry.first_token_p50_s - direct.first_token_p50_s
    proxy_added_s = proxy_result.first_token_p50_s - direct.first_token_p50_s
    print(
        f"added median latency: entry {instance_added_s * 1e3:.2f} ms, "
        f"forwarder {proxy_added_s * 1e3:.2f} ms, "
        f"ratio {instance_added_s / proxy_added_s:.2f}; requests/s ratio "
        f"{entry.requests_per_s / proxy_result.requests_per_s:.2f}, "
        "per CPU second "
        f"{entry.requests_per_cpu_s / proxy_result.requests_per_cpu_s:.2f}"
    )
    streams = result.streams
    print(
        f"streams: {streams.tokens_per_s:.0f} of {streams.wanted_per_s:.0f} "
        f"tokens/s, {streams.cpu_share:.2f} of a core, gap p95 "
        f"{streams.gap_p95_s * 1e3:.0f} ms"
    )
    return 0


def run_report(arguments: argparse.Namespace) -> int:
    """Writes an HTML report with plots of result files."""
    # Imported lazily: only this command needs the plotting library.
    from chivelb_cli.bench import report

    try:
        results = [
            scenario_runner.read_result(pathlib.Path(name))
            for name in arguments.files
        ]
    except (OSError, msgspec.MsgspecError) as error:
        print(f"cannot read a result file: {error}", file=sys.stderr)
        return EXIT_USAGE
    print(report.write_report(results, pathlib.Path(arguments.out)))
    return EXIT_VIOLATION if any(r.violations for r in results) else 0


def run_claims(arguments: argparse.Namespace) -> int:
    """Measures the latency that an idempotency claim adds to a call."""
    cost = asyncio.run(claim_cost.run(calls=arguments.calls))
    if arguments.json:
        _print_json(cost)
        return 0
    print(
        f"without idempotency key p50 {cost.plain_p50_s * 1e3:.1f} p95 "
        f"{cost.plain_p95_s * 1e3:.1f} ms; claimed p50 "
        f"{cost.claimed_p50_s * 1e3:.1f} p95 {cost.claimed_p95_s * 1e3:.1f} "
        f"ms; {cost.claimed_per_s:.0f} claimed calls/s"
    )
    return 0


def run_scaling(arguments: argparse.Namespace) -> int:
    """Runs scaling benchmarks and prints their results as Markdown."""
    names = arguments.names or list(scaling.SCALING_BENCHMARKS)
    for name in names:
        if name not in scaling.SCALING_BENCHMARKS:
            print(
                validation.describe_choices(
                    name, list(scaling.SCALING_BENCHMARKS)
                ),
                file=sys.stderr,
            )
            return EXIT_USAGE
        curve = scaling.SCALING_BENCHMARKS[name]()
        if arguments.json:
            _print_json(curve)
        else:
            print(scaling.format_markdown(curve), flush=True)
    return 0


def run_propagation(arguments: argparse.Namespace) -> int:
    """Measures how fast changes are in force on nine instances."""
    result = asyncio.run(
        propagation.run(
            changes=arguments.changes, dead_voters=arguments.dead_voters
        )
    )
    if arguments.json:
        _print_json(result)
        return 0
    # "half" stands for more than half of the instances, as defined in
    # ``PropagationResult``.
    print(
        f"accepted p50 {result.accepted_p50_s:.3f} s; in force on half of the "
        f"instances p50 {result.median_p50_s:.3f} s, on all p50 "
        f"{result.last_p50_s:.3f} s, worst {result.last_worst_s:.3f} s"
    )
    return 0


def run_files(arguments: argparse.Namespace) -> int:
    """Runs scenario files in sequence and writes their results."""
    has_violations = False
    for name in arguments.files:
        try:
            scenario = scenario_lib.read_scenario(pathlib.Path(name))
        except scenario_lib.ScenarioError as error:
            print(error, file=sys.stderr)
            return EXIT_USAGE
        if arguments.seed is not None:
            scenario.seed = arguments.seed
        folder = None
        if arguments.logs:
            folder = pathlib.Path(arguments.logs) / scenario.name
        result, notes = asyncio.run(
            scenario_runner.run_scenario(scenario, folder=folder)
        )
        for note in notes:
            print(f"  {note}")
        print_summary(result, as_json=arguments.json)
        out = pathlib.Path(arguments.out) / f"{scenario.name}.json"
        scenario_runner.write_result(result, out)
        has_violations = has_violations or bool(result.violations)
    return EXIT_VIOLATION if has_violations else 0


def run_policies(arguments: argparse.Namespace) -> int:
    """Runs all policy variants on one workload, in sequence."""
    results = []
    for name, (policy, keeping) in POLICY_VARIANTS.items():
        if arguments.only and name not in arguments.only:
            continue
        scenario = scenario_lib.Scenario(
            name=f"{arguments.workload}-{name}",
            workload=arguments.workload,
            policy=policy,
            keeping=keeping,
            seed=arguments.seed,
            duration_s=arguments.duration,
            load=arguments.load,
            load_lag_s=arguments.lag,
            store_bytes=arguments.store_bytes,
        )
        result, _ = asyncio.run(scenario_runner.run_scenario(scenario))
        results.append(result)
        print_summary(result, as_json=arguments.json)
        out = pathlib.Path(arguments.out) / f"{scenario.name}.json"
        scenario_runner.write_result(result, out)
    lower_bounds = workloads.compute_lower_bounds(
        scenario_runner.plan_workload_calls(scenario),
        warm_s=scenario.warm_s,
        prefill_rate=PREFILL_RATE,
    )
    print(
        "lower bounds of any policy: recomputed "
        f"{lower_bounds.recomputed_share:.3f}, ttft p50 "
        f"{lower_bounds.first_token_p50_s * 1e3:.0f} p95 "
        f"{lower_bounds.first_token_p95_s * 1e3:.0f} ms"
    )
    return EXIT_VIOLATION if any(r.violations for r in results) else 0


def _print_json(value: object) -> None:
    print(msgspec.json.encode(value).decode(), flush=True)


def print_summary(result: records.Result, *, as_json: bool = False) -> None:
    """Prints the metrics of a result, then one line per violation."""
    summary = result.summary
    if as_json:
        header = {"name": result.name, "seed": result.seed}
        metrics = msgspec.to_builtins(summary)
        _print_json({**header, **metrics, "violations": result.violations})
        return
    print(
        f"{result.name:<28} sent {summary.sent:<5} "
        f"answered {summary.answered:<5} "
        f"refused {summary.refused:<4} unknown {summary.unknown:<3} "
        f"lost {summary.lost} "
        f"wrong {summary.wrong} doubled {summary.doubled} | ttft p50 "
        f"{summary.first_token_p50_s * 1e3:.0f} p95 "
        f"{summary.first_token_p95_s * 1e3:.0f} ms | gap p95 "
        f"{summary.token_gap_p95_s * 1e3:.0f} ms | recomputed "
        f"{summary.recomputed_share:.3f} | "
        f"link {summary.link_bytes / 1e6:.0f} MB",
        flush=True,
    )
    for violation in result.violations:
        print(f"  VIOLATION: {violation}")


def run_compare(arguments: argparse.Namespace) -> int:
    """Prints two results side by side with the ratio of each metric."""
    first = scenario_runner.read_result(pathlib.Path(arguments.first))
    second = scenario_runner.read_result(pathlib.Path(arguments.second))
    print(f"{'':<22}{first.name:>24}{second.name:>24}{'ratio':>10}")
    for field in msgspec.structs.fields(records.Summary):
        before = getattr(first.summary, field.name)
        after = getattr(second.summary, field.name)
        ratio = f"{after / before:.2f}" if before else "-"
        print(f"{field.name:<22}{before:>24.4g}{after:>24.4g}{ratio:>10}")
    violations = first.violations + second.violations
    return EXIT_VIOLATION if violations else 0
