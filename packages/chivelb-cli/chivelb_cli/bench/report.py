"""HTML report with plots of the results of benchmark runs."""

import html
import pathlib

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot  # noqa: E402

from chivelb_cli.bench import records  # noqa: E402

FIGURE_INCHES = (9, 4.5)
DOTS_PER_INCH = 110


def write_report(
    results: list[records.Result], folder: pathlib.Path
) -> pathlib.Path:
    """Writes ``index.html`` and its plots.

    Args:
        results: Results of the runs, in the order of the report.
        folder: Directory of the page and the plots; created if missing.

    Returns:
        Path of the page.
    """
    folder.mkdir(parents=True, exist_ok=True)
    _plot_first_token(results, folder / "first_token.png")
    _plot_reuse_and_links(results, folder / "reuse.png")
    rows = "".join(_row(result) for result in results)
    header_cells = "".join(
        f"<th>{name}</th>"
        for name in (
            "run",
            "seed",
            "commit",
            "sent",
            "answered",
            "refused",
            "unknown",
            "lost",
            "wrong",
            "doubled",
            "p50 ms",
            "p95 ms",
            "recomputed",
            "link MB",
            "violations",
        )
    )
    page = folder / "index.html"
    page.write_text(
        "<!doctype html><meta charset=utf-8><title>chivelb bench</title>"
        "<style>body{font:15px sans-serif;margin:2em}td,th{padding:.3em .7em;"
        "border:1px solid #bbb;text-align:right}table{border-collapse:"
        "collapse}</style><h1>Runs</h1>"
        f"<table><tr>{header_cells}</tr>{rows}</table>"
        "<h2>Time to first token</h2><img src=first_token.png>"
        "<h2>Recomputed prompt tokens and link traffic</h2><img src=reuse.png>",
        encoding="utf-8",
    )
    return page


def _row(result: records.Result) -> str:
    s = result.summary
    cells = [
        result.name,
        result.seed,
        result.commit,
        s.sent,
        s.answered,
        s.refused,
        s.unknown,
        s.lost,
        s.wrong,
        s.doubled,
        f"{s.first_token_p50_s * 1e3:.0f}",
        f"{s.first_token_p95_s * 1e3:.0f}",
        f"{s.recomputed_share:.3f}",
        f"{s.link_bytes / 1e6:.0f}",
        "; ".join(result.violations) or "none",
    ]
    cells_html = "".join(f"<td>{html.escape(str(cell))}</td>" for cell in cells)
    return f"<tr>{cells_html}</tr>"


def _plot_first_token(
    results: list[records.Result], path: pathlib.Path
) -> None:
    figure, axes = pyplot.subplots(figsize=FIGURE_INCHES)
    for result in results:
        first_token_times = sorted(
            call.first_token_s
            for call in result.calls
            if call.first_token_s is not None and not call.plain
        )
        shares = [
            (n + 1) / len(first_token_times)
            for n in range(len(first_token_times))
        ]
        axes.plot(first_token_times, shares, label=result.name)
    axes.set_xscale("log")
    axes.set_xlabel("seconds to first token")
    axes.set_ylabel("share of calls")
    axes.legend(fontsize="small")
    axes.grid(alpha=0.3)
    figure.savefig(path, dpi=DOTS_PER_INCH, bbox_inches="tight")
    pyplot.close(figure)


def _plot_reuse_and_links(
    results: list[records.Result], path: pathlib.Path
) -> None:
    figure, (reuse_axes, link_axes) = pyplot.subplots(
        1, 2, figsize=FIGURE_INCHES
    )
    names = [result.name for result in results]
    reuse_axes.barh(names, [r.summary.recomputed_share for r in results])
    reuse_axes.set_xlabel("share of prompt tokens recomputed")
    link_axes.barh(names, [r.summary.link_bytes / 1e6 for r in results])
    link_axes.set_xlabel("MB over links")
    link_axes.set_yticks([])
    figure.savefig(path, dpi=DOTS_PER_INCH, bbox_inches="tight")
    pyplot.close(figure)
