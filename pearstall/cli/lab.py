"""`pearstall lab`: experiments on loopback."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path

import click


@click.group()
def lab() -> None:
    """Experiments with stand-in servers and shaped links, on loopback."""


@lab.command(name="poor-links")
@click.option("--devices", default=60, show_default=True, type=click.IntRange(1, 5000))
@click.option("--asks", default=1000, show_default=True, type=click.IntRange(1, 1_000_000))
@click.option("--seed", default=1, show_default=True)
@click.option("--linger", default=20.0, show_default=True, help="Seconds that an ask runs on unread.")
@click.option("--json", "as_json", is_flag=True, help="The report as one JSON object.")
@click.option("--plots", type=click.Path(file_okay=False, path_type=Path), help="A folder for the plots.")
def poor_links(devices: int, asks: int, seed: int, linger: float, as_json: bool, plots: Path | None) -> None:
    """Devices on bad links reconnect and change wire at random; a ledger holds everyone to account."""
    from pearstall.lab.poor_links import run

    with click.progressbar(length=asks, label="answers held", file=None, hidden=as_json) as bar:
        done = 0

        def progress(count: int) -> None:
            nonlocal done
            bar.update(count - done)
            done = count

        report, ledger = asyncio.run(run(devices, asks, seed, linger=linger, progress=progress))
    if plots is not None:
        from pearstall.lab.plots import poor_links_plots

        made = poor_links_plots(report, ledger, plots)
        if not as_json:
            click.echo("plots: " + ", ".join(map(str, made)))
    if as_json:
        click.echo(json.dumps(report.as_dict()))
    else:
        for key, value in report.as_dict().items():
            if key != "breaches":
                click.echo(f"{key:>14}  {value}")
        for breach in report.breaches:
            click.secho(str(breach), fg="red")
        click.secho(f"{len(report.breaches)} breaches", fg="red" if report.breaches else "green")
    raise SystemExit(1 if report.breaches else 0)
