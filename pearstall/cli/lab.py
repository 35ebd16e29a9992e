"""`pearstall lab`: experiments on loopback."""

from __future__ import annotations

import asyncio
import json
import os
from pathlib import Path
from typing import Any

import click


@click.group()
def lab() -> None:
    """Experiments: on loopback with stand-ins and shaped links, or in virtual time at any size."""


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


class Seeds(click.ParamType[list[int]]):
    """`8` for 1 to 8, or `5-20`, or `3,7,9`."""

    name = "seeds"

    def convert(self, value: object, param: click.Parameter | None, ctx: click.Context | None) -> list[int]:
        if isinstance(value, list):
            return value
        text = str(value)
        try:
            if "," in text:
                return [int(part) for part in text.split(",")]
            first, dash, last = text.partition("-")
            return list(range(int(first), int(last) + 1)) if dash else list(range(1, int(text) + 1))
        except ValueError:
            self.fail(f"a count, a range or a list of seeds is wanted, not {text!r}", param, ctx)


def _plan(path: Path) -> Any:
    from pearstall.config.kdl import Unreadable
    from pearstall.lab.scenarios import read_plan

    try:
        return read_plan(str(path))
    except Unreadable as error:
        raise click.ClickException("\n".join(map(str, error.troubles))) from None


file_argument = click.Path(dir_okay=False, path_type=Path)


@lab.command()
@click.argument("scenario", type=file_argument)
@click.option("--seeds", type=Seeds(), default="8", show_default=True)
@click.option("--json", "as_json", is_flag=True)
def check(scenario: Path, seeds: list[int], as_json: bool) -> None:
    """Read a scenario, and say what it will cost before it runs."""
    from pearstall.lab.scenarios import cost, describe

    plan = _plan(scenario)
    rows = {variant.name: cost(variant.scenario) for variant in plan.variants}
    total = sum(row["core_seconds"] for row in rows.values()) * len(seeds)
    if as_json:
        click.echo(json.dumps({"scenario": plan.base.name, "variants": rows, "core_seconds": total}))
        return
    click.echo(f"{plan.base.name}: {plan.base.routers} routers, {plan.base.servers} servers, "
               f"{plan.base.seconds:g} s, {describe(plan.base.rate, plan.base.seconds)}")  # fmt: skip
    for name, row in rows.items():
        click.echo(f"  {name:<20} {row['asks']:>9,} asks, {row['core_seconds']:>8,.0f} s of a core a seed")
    click.echo(f"about {total / (os.cpu_count() or 1):,.0f} s for {len(seeds)} seeds on {os.cpu_count()} cores")


@lab.command(name="run")
@click.argument("scenario", type=file_argument)
@click.option("--seeds", type=Seeds(), default="8", show_default=True, help="A count, a range 5-20, or a list.")
@click.option("--into", type=file_argument, help="The file of results; gone on with where it is there.")
@click.option("--workers", default=0, help="Processes; else one a core.")
@click.option("--only", multiple=True, help="Only these variants.")
@click.option("--report", type=file_argument, help="An HTML report at its end.")
@click.option("--json", "as_json", is_flag=True)
def run_experiment(
    scenario: Path, seeds: list[int], into: Path | None, workers: int, only: tuple[str, ...], report: Path | None,
    as_json: bool,
) -> None:  # fmt: skip
    """Run seeds times variants in virtual time, and compare each variant with the base."""
    from pearstall.lab.experiments import Store, compare, run_all
    from pearstall.lab.report import write_report

    plan = _plan(scenario)
    for name in only:
        if name not in [variant.name for variant in plan.variants]:
            raise click.BadParameter(f"no variant is called {name!r}", param_hint="--only")
    file = into or Path(f"{plan.base.name}.sqlite")
    with Store(file) as store:
        held = store.about("scenario")
        if held is not None and held != scenario.read_text():
            raise click.ClickException(f"{file} holds results of another scenario; name another file with --into")

        def progress(done: int, of: int, left: float) -> None:
            if not as_json:
                click.echo(f"\r{done} of {of} runs, {left:,.0f} s left   ", nl=done == of, err=True)

        try:
            run_all(plan, seeds, store, workers, progress, list(only) or None)
        except KeyboardInterrupt:
            raise click.ClickException(f"interrupted; the same command goes on with {file}") from None
        breaches = [
            text for name in store.variants() for one in store.results(name).values() for text in one["breaches"]
        ]
        comparisons = [compare(store, name) for name in store.variants() if name != "base"]
        if report is not None:
            write_report(store, report, plan.base.name)
        if as_json:
            worth = {name: {s: one["worth"] for s, one in store.results(name).items()} for name in store.variants()}
            click.echo(json.dumps({"worth": worth, "breaches": breaches,
                                   "comparisons": [one.as_dict() for one in comparisons]}))  # fmt: skip
        else:
            _show(store, comparisons, breaches)
    raise SystemExit(1 if breaches else 0)


def _show(store: Any, comparisons: list[Any], breaches: list[str]) -> None:
    for name in store.variants():
        worths = [one["worth"] for one in store.results(name).values()]
        click.echo(f"{name:<20} worth {sum(worths) / len(worths):.4f} over {len(worths)} seeds")
    for comparison in comparisons:
        click.secho(f"\n{comparison.other} against {comparison.base}, {comparison.pairs} seeds", bold=True)
        for one in comparison:
            dim = one.says in ("none shown", "too few pairs")
            line = f"  {one.measure:<26}{one.base:>9.4f}{one.other:>9.4f}{one.mean:>+9.4f}"
            line += f"  [{one.low:+.4f}, {one.high:+.4f}]"
            click.secho(f"{line}  {one.says}", dim=dim)
    for text in breaches[:20]:
        click.secho(text, fg="red")
    click.secho(f"\n{len(breaches)} breaches", fg="red" if breaches else "green")


@lab.command()
@click.argument("results", type=click.Path(exists=True, dir_okay=False, path_type=Path))
@click.option("--base", default="base", show_default=True)
@click.option("--json", "as_json", is_flag=True)
def compare(results: Path, base: str, as_json: bool) -> None:
    """Compare variants of a file of results, paired by seed."""
    from pearstall.lab.experiments import Store
    from pearstall.lab.experiments import compare as compare_pairs

    with Store(results) as store:
        if base not in store.variants():
            raise click.ClickException(f"no variant {base!r} is in there; there is {', '.join(store.variants())}")
        found = [compare_pairs(store, name, base) for name in store.variants() if name != base]
        if as_json:
            click.echo(json.dumps([one.as_dict() for one in found]))
        else:
            _show(store, found, [])


@lab.command()
@click.argument("results", type=click.Path(exists=True, dir_okay=False, path_type=Path))
@click.argument("page", type=file_argument)
def report(results: Path, page: Path) -> None:
    """Write the HTML report of a file of results."""
    from pearstall.lab.experiments import Store
    from pearstall.lab.report import write_report

    with Store(results) as store:
        click.echo(str(write_report(store, page)))


@lab.command()
@click.argument("scenario", type=file_argument)
@click.argument("seed", type=int)
@click.option("--variant", default="base", show_default=True)
@click.option("--until", type=float, help="Seconds of the run.")
@click.option("--json", "as_json", is_flag=True)
def replay(scenario: Path, seed: int, variant: str, until: float | None, as_json: bool) -> None:
    """One seed again, to the last event: its digest is the same each time."""
    import msgspec

    from pearstall.lab.world import play

    plan = _plan(scenario)
    try:
        chosen = plan.named(variant)
    except KeyError:
        raise click.BadParameter(f"no variant is called {variant!r}") from None
    if until is not None:
        chosen = msgspec.structs.replace(chosen, seconds=min(until, chosen.seconds))
    found = play(chosen, seed)
    rate = found.events / found.real_seconds
    if as_json:
        click.echo(json.dumps({"digest": found.digest, "worth": found.worth, "kinds": found.kinds,
                               "breaches": found.breaches, "callbacks_a_second": rate}))  # fmt: skip
    else:
        click.echo(f"digest {found.digest}\n"
                   f"worth {found.worth:.4f} of {found.asked} asks: {found.kinds}\n"
                   f"{found.seconds:.0f} s in {found.real_seconds:.1f} s, "
                   f"{rate:,.0f} callbacks a second")  # fmt: skip
        for text in found.breaches:
            click.secho(text, fg="red")
    raise SystemExit(1 if found.breaches else 0)
