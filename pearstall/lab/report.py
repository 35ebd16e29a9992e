"""The report of an experiment as one self-contained HTML file: differences with intervals, and plots."""

from __future__ import annotations

import html
import io
from pathlib import Path
from typing import Any

import numpy as np

from pearstall.lab.experiments import Comparison, Store, compare
from pearstall.lab.plots import figure

STYLE = """
body { font: 15px/1.5 system-ui, sans-serif; max-width: 62rem; margin: 2rem auto; padding: 0 1rem; color: #222; }
h1 { font-size: 1.5rem; } h2 { font-size: 1.15rem; margin-top: 2.2rem; }
table { border-collapse: collapse; font-variant-numeric: tabular-nums; }
td, th { padding: .2rem .8rem .2rem 0; text-align: right; border-bottom: 1px solid #e4e4e4; }
td:first-child, th:first-child { text-align: left; }
.more, .less { font-weight: 600; } .none { color: #888; }
pre { background: #f6f6f4; padding: 1rem; overflow-x: auto; font-size: 13px; }
.bad { color: #b00020; } .good { color: #146c2e; } figure { margin: 1rem 0; }
figcaption { color: #666; font-size: 13px; }
svg { max-width: 100%; height: auto; }
"""


def svg(chart: Any) -> str:
    import matplotlib.pyplot as plt

    out = io.StringIO()
    chart.savefig(out, format="svg", metadata={"Date": None})
    plt.close(chart)
    text = out.getvalue()
    return text[text.index("<svg") :]


def _band(axes: Any, rows: list[list[float]], label: str) -> None:
    """Plots the mean over seeds, and the range from the 10th to the 90th percentile."""
    length = min(map(len, rows))
    values = np.array([row[:length] for row in rows])
    times = np.arange(length)
    (line,) = axes.plot(times, values.mean(axis=0), label=label)
    if len(rows) > 2:
        low, high = np.quantile(values, [0.1, 0.9], axis=0)
        axes.fill_between(times, low, high, alpha=0.15, color=line.get_color(), linewidth=0)


def _ratio(result: dict[str, Any], numerator: str, denominator: str) -> list[float]:
    series = result["series"]
    return [a / b if b else float("nan") for a, b in zip(series[numerator], series[denominator], strict=True)][:-1]


def _over_time(store: Store, names: list[str]) -> str:
    chart, (worth, tries) = figure(9.5, 3.2, 2)
    chart2, (refused, runs) = figure(9.5, 3.2, 2)
    for name in names:
        results = list(store.results(name).values())
        _band(worth, [_ratio(one, "worth", "asked") for one in results], name)
        _band(tries, [one["series"]["tries"][:-1] for one in results], name)
        _band(refused, [one["series"]["refused"][:-1] for one in results], name)
        _band(runs, [one["series"]["executions"][:-1] for one in results], name)
    for axes, title in (
        (worth, "worth earned, as a share of the worth asked for"), (tries, "client tries per second"),
        (refused, "refusals per second"), (runs, "executions per second"),
    ):  # fmt: skip
        axes.set_title(title)
        axes.set_xlabel("seconds")
        axes.set_ylim(bottom=0)
    worth.legend(fontsize=8)
    return svg(chart) + svg(chart2)


def _latency(store: Store, names: list[str]) -> str:
    classes = sorted({klass for name in names for one in store.results(name).values() for klass in one["first"]})
    chart, panels = figure(9.5, 3.2, max(1, len(classes)))
    for axes, klass in zip(np.atleast_1d(panels), classes, strict=False):
        for name in names:
            waits = [wait for one in store.results(name).values() for wait in one["first"].get(klass, [])]
            if waits:
                ordered = np.sort(waits)
                axes.step(ordered, 1 - np.arange(len(ordered)) / len(ordered), where="post", label=name)
        axes.set_yscale("log")
        axes.set_title(klass)
        axes.set_xlabel("seconds from the first try to the first token")
        axes.set_ylabel("share of asks that wait longer")
    np.atleast_1d(panels)[0].legend(fontsize=8)
    return svg(chart)


def _spread(store: Store, names: list[str]) -> str:
    chart, (loads, ejections) = figure(9.5, 3.2, 2)
    for name in names:
        values = np.sort([load for one in store.results(name).values() for load in one["loads"]])
        loads.step(values, (np.arange(len(values)) + 1) / len(values), where="post", label=name)
    loads.set_xlabel("utilization of a server")
    loads.set_ylabel("share of servers")
    loads.legend(fontsize=8)
    correct, wrong = [], []
    for name in names:
        hits = misses = 0
        for one in store.results(name).values():
            sick = {(server, since, until) for since, until, server in one["sick"]}
            for at, _, server in one["ejections"]:
                hit = any(server == other and since <= at <= until + 1 for other, since, until in sick)
                hits, misses = hits + hit, misses + (not hit)
        count = max(1, len(store.results(name)))
        correct.append(hits / count)
        wrong.append(misses / count)
    ejections.bar(names, correct, label="of a faulty server")
    ejections.bar(names, wrong, bottom=correct, label="of a healthy one")
    ejections.set_ylabel("ejections per run")
    ejections.legend(fontsize=8)
    return svg(chart)


def _table(comparison: Comparison) -> str:
    rows = []
    for one in comparison:
        css_class = {"more": "more", "less": "less"}.get(one.says, "none")
        rows.append(
            f"<tr><td>{html.escape(one.measure)}</td><td>{one.base:.4f}</td><td>{one.other:.4f}</td>"
            f"<td>{one.mean:+.4f}</td><td>{one.low:+.4f} to {one.high:+.4f}</td>"
            f'<td class="{css_class}">{one.says}</td></tr>'
        )
    return (
        f"<h2>{html.escape(comparison.other)} against {html.escape(comparison.base)}, {comparison.pairs} seeds</h2>"
        "<table><tr><th>measure</th><th>base</th><th>other</th><th>difference</th><th>95% interval</th><th></th></tr>"
        + "".join(rows)
        + "</table>"
    )


def write_report(store: Store, file: Path, title: str = "") -> Path:
    names = store.variants()
    if not names:
        raise ValueError("the file holds no run")
    seeds = sorted({seed for name in names for seed in store.results(name)})
    parts = [f"<h1>{html.escape(title or store.path.stem)}</h1>"]
    breaches = [(name, text) for name in names for one in store.results(name).values() for text in one["breaches"]]
    real = sum(one["real_seconds"] for name in names for one in store.results(name).values())
    virtual = sum(one["seconds"] for name in names for one in store.results(name).values())
    parts.append(
        f"<p>{len(names)} variants, {len(seeds)} seeds ({seeds[0]} to {seeds[-1]}); {virtual:,.0f} simulated "
        "seconds in "
        f"{real:,.0f} core seconds. Curves are means over seeds, bands the range from the 10th to the 90th "
        "percentile.</p>"
    )
    if breaches:
        parts.append(f'<p class="bad">{len(breaches)} rule breaches:</p><pre>')
        parts += [html.escape(f"{name}: {text}\n") for name, text in breaches[:20]]
        parts.append("</pre>")
    else:
        parts.append('<p class="good">No run broke a rule.</p>')
    parts += [_table(compare(store, name)) for name in names if name != "base"]
    parts.append("<h2>Over time</h2><figure>" + _over_time(store, names) + "</figure>")
    parts.append("<h2>Waits</h2><figure>" + _latency(store, names))
    parts.append(
        "<figcaption>Measured from the scheduled time of the request, client retries included, so that "
        "waits behind a slow answer count in full (no coordinated omission).</figcaption></figure>"
    )
    parts.append("<h2>Servers</h2><figure>" + _spread(store, names) + "</figure>")
    parts.append(f"<h2>Scenario</h2><pre>{html.escape(store.about('scenario') or '')}</pre>")
    file.parent.mkdir(parents=True, exist_ok=True)
    file.write_text(
        f'<!doctype html><html lang="en"><meta charset="utf-8"><title>{html.escape(title or store.path.stem)}</title>'
        f"<style>{STYLE}</style><body>{''.join(parts)}</body></html>"
    )
    return file
