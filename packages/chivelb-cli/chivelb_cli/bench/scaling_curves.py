"""Measurements of one component over several sizes."""

import gc
import statistics
import tracemalloc

import msgspec

REPEATS = 3


class ScalingPoint(msgspec.Struct):
    """Measurements at one size.

    Attributes:
        size: Problem size, in the unit of the curve.
        values: Minimum, median and maximum over the repeats, by name of the
            metric.
    """

    size: int
    values: dict[str, tuple[float, float, float]]


class ScalingCurve(msgspec.Struct):
    """Measurements over several sizes.

    Attributes:
        name: Name of the benchmark.
        unit: What the size counts.
        points: Measurements in ascending order of size.
    """

    name: str
    unit: str
    points: list[ScalingPoint]


def _min_median_max(values: list[float]) -> tuple[float, float, float]:
    return min(values), statistics.median(values), max(values)


def measure(name: str, unit: str, sizes: list[int], run_once) -> ScalingCurve:
    """Measures ``REPEATS`` runs at each size.

    Args:
        name: Name of the benchmark.
        unit: What the size counts.
        sizes: Sizes in ascending order.
        run_once: Called with a size and a seed; returns the values of one run
            by name of the metric.
    """
    points = []
    for size in sizes:
        runs = [run_once(size, seed) for seed in range(REPEATS)]
        values = {
            key: _min_median_max([run[key] for run in runs]) for key in runs[0]
        }
        points.append(ScalingPoint(size, values))
    return ScalingCurve(name, unit, points)


def measure_memory(build) -> tuple[object, int]:
    """Returns what ``build`` returns, and the memory that it holds in bytes."""
    gc.collect()
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    built = build()
    gc.collect()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return built, after - before


def format_markdown(curve: ScalingCurve) -> str:
    """Formats a scaling curve as a Markdown table.

    Each cell holds the median and, in parentheses, minimum and maximum.
    """
    names = list(curve.points[0].values)
    header_row = f"| {curve.unit} | " + " | ".join(names) + " |"
    separator_row = "| ---: |" + " ---: |" * len(names)
    lines = [
        f"**{curve.name}** (median, minimum to maximum of {REPEATS} runs)",
        "",
    ]
    lines += [header_row, separator_row]
    for point in curve.points:
        cells = [
            f"{median:.3g} ({minimum:.3g} to {maximum:.3g})"
            for minimum, median, maximum in point.values.values()
        ]
        lines.append(f"| {point.size} | " + " | ".join(cells) + " |")
    return "\n".join(lines) + "\n"
