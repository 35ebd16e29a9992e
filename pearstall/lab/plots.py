"""Plots of the laboratory's reports, as SVG files. matplotlib comes with the `lab` extra."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from pearstall.lab.ledger import Ledger
    from pearstall.lab.poor_links import Report

STYLE: Any = {
    "svg.hashsalt": "pearstall", "font.size": 9, "axes.spines.top": False, "axes.spines.right": False,
    "axes.grid": True, "grid.alpha": 0.3,
}  # fmt: skip


def figure(width: float = 7.0, height: float = 3.2, columns: int = 1) -> tuple[Any, Any]:
    import matplotlib

    matplotlib.use("svg")
    import matplotlib.pyplot as plt

    plt.rcParams.update(STYLE)
    return plt.subplots(1, columns, figsize=(width, height), layout="constrained")


def save(drawing: Any, file: Path) -> Path:
    import matplotlib.pyplot as plt

    file.parent.mkdir(parents=True, exist_ok=True)
    drawing.savefig(file, metadata={"Date": None})
    plt.close(drawing)
    return file


def shares(axes: Any, values: list[float], label: str) -> None:
    """Draws the cumulative distribution of `values`; `label` names the x axis."""
    ordered = sorted(values)
    axes.step(ordered, [(n + 1) / len(ordered) for n in range(len(ordered))], where="post")
    axes.set_xlabel(label)
    axes.set_ylabel("share")
    axes.set_ylim(0, 1.02)


def poor_links_plots(report: Report, ledger: Ledger, folder: Path) -> list[Path]:
    """Plots the time to an answer, executions per ask, how connections ended, and attempts by wire."""
    drawing, (left, right) = figure(columns=2)
    shares(left, report.waits, "seconds from the ask to its final record")
    left.set_xscale("log")
    counts = [len(entry.executions) for entry in ledger.entries.values()]
    bins = range(max(counts, default=0) + 2)
    right.hist(counts, bins=bins, align="left", rwidth=0.8)
    right.set_xticks(list(bins)[:-1])
    right.set_xlabel("executions per ask")
    right.set_ylabel("asks")
    out = [save(drawing, folder / "poor-links-answers.svg")]
    drawing, (left, right) = figure(columns=2)
    ends = report.link_ends
    left.bar(list(ends), list(ends.values()))
    left.set_ylabel("connections")
    left.set_title("how connections ended")
    right.bar(list(report.by_wire), list(report.by_wire.values()))
    right.set_ylabel("attempts")
    right.set_title("attempts by wire")
    out.append(save(drawing, folder / "poor-links-links.svg"))
    return out
