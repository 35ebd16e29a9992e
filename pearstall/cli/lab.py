"""`pearstall lab`: experiments on loopback and in virtual time."""

from __future__ import annotations

import asyncio
import json
import os
from pathlib import Path
from typing import Any

import click


@click.group()
def lab() -> None:
    """Experiments: on loopback with stand-in servers and shaped connections, or in virtual time at any scale."""


@lab.command(name="poor-links")
@click.option("--devices", default=60, show_default=True, type=click.IntRange(1, 5000))
@click.option("--asks", default=1000, show_default=True, type=click.IntRange(1, 1_000_000))
@click.option("--seed", default=1, show_default=True)
@click.option("--linger", default=20.0, show_default=True, help="Seconds that an ask continues without a reader.")
@click.option("--json", "as_json", is_flag=True, help="Print the report as one JSON object.")
@click.option("--plots", type=click.Path(file_okay=False, path_type=Path), help="Write plots to this folder.")
def poor_links(devices: int, asks: int, seed: int, linger: float, as_json: bool, plots: Path | None) -> None:
    """Devices on unreliable connections reconnect and change transport at random; a ledger checks every answer."""
    from pearstall.lab.poor_links import run

    with click.progressbar(length=asks, label="answers received", file=None, hidden=as_json) as bar:
        completed = 0

        def progress(count: int) -> None:
            nonlocal completed
            bar.update(count - completed)
            completed = count

        report, ledger = asyncio.run(run(devices, asks, seed, linger=linger, progress=progress))
    if plots is not None:
        from pearstall.lab.plots import poor_links_plots

        written = poor_links_plots(report, ledger, plots)
        if not as_json:
            click.echo("plots: " + ", ".join(map(str, written)))
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
    """Seeds: `8` for 1 to 8, a range such as `5-20`, or a list such as `3,7,9`."""

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
            self.fail(f"expected a count, a range or a list of seeds, got {text!r}", param, ctx)


def _read_plan(path: Path) -> Any:
    from pearstall.config.kdl import DocumentError
    from pearstall.lab.scenarios import read_plan

    try:
        return read_plan(str(path))
    except DocumentError as error:
        raise click.ClickException("\n".join(map(str, error.diagnostics))) from None


file_argument = click.Path(dir_okay=False, path_type=Path)


@lab.command()
@click.argument("scenario", type=file_argument)
@click.option("--seeds", type=Seeds(), default="8", show_default=True)
@click.option("--json", "as_json", is_flag=True)
def check(scenario: Path, seeds: list[int], as_json: bool) -> None:
    """Check a scenario and estimate the cost of its runs."""
    from pearstall.lab.scenarios import cost, describe

    plan = _read_plan(scenario)
    rows = {variant.name: cost(variant.scenario) for variant in plan.variants}
    total = sum(row["core_seconds"] for row in rows.values()) * len(seeds)
    if as_json:
        click.echo(json.dumps({"scenario": plan.base.name, "variants": rows, "core_seconds": total}))
        return
    click.echo(f"{plan.base.name}: {plan.base.routers} routers, {plan.base.servers} servers, "
               f"{plan.base.seconds:g} s, {describe(plan.base.rate, plan.base.seconds)}")  # fmt: skip
    for name, row in rows.items():
        click.echo(f"  {name:<20} {row['asks']:>9,} asks, {row['core_seconds']:>8,.0f} core-seconds per seed")
    click.echo(f"estimated {total / (os.cpu_count() or 1):,.0f} s for {len(seeds)} seeds on {os.cpu_count()} cores")


@lab.command(name="run")
@click.argument("scenario", type=file_argument)
@click.option("--seeds", type=Seeds(), default="8", show_default=True, help="A count, a range 5-20, or a list.")
@click.option("--into", type=file_argument, help="The results file; an existing one is continued.")
@click.option("--workers", default=0, help="Number of processes. Default: one per core.")
@click.option("--only", multiple=True, help="Run only these variants.")
@click.option("--report", type=file_argument, help="Write an HTML report to this file at the end.")
@click.option("--json", "as_json", is_flag=True)
def run_experiment(
    scenario: Path, seeds: list[int], into: Path | None, workers: int, only: tuple[str, ...], report: Path | None,
    as_json: bool,
) -> None:  # fmt: skip
    """Run each variant with each seed in virtual time, and compare the variants with the base."""
    from pearstall.lab.experiments import Store, compare, run_all
    from pearstall.lab.report import write_report

    plan = _read_plan(scenario)
    for name in only:
        if name not in [variant.name for variant in plan.variants]:
            raise click.BadParameter(f"unknown variant {name!r}", param_hint="--only")
    results_file = into or Path(f"{plan.base.name}.sqlite")
    with Store(results_file) as store:
        stored = store.about("scenario")
        if stored is not None and stored != scenario.read_text():
            raise click.ClickException(
                f"{results_file} holds results of another scenario; choose another file with --into"
            )

        def progress(done: int, total: int, seconds_left: float) -> None:
            if not as_json:
                click.echo(f"\r{done} of {total} runs, {seconds_left:,.0f} s left   ", nl=done == total, err=True)

        try:
            run_all(plan, seeds, store, workers, progress, list(only) or None)
        except KeyboardInterrupt:
            raise click.ClickException(
                f"interrupted; run the same command again to continue {results_file}"
            ) from None
        breaches = [
            text
            for name in store.variants()
            for result in store.results(name).values()
            for text in result["breaches"]
        ]
        comparisons = [compare(store, name) for name in store.variants() if name != "base"]
        if report is not None:
            write_report(store, report, plan.base.name)
        if as_json:
            worth = {
                name: {seed: result["worth"] for seed, result in store.results(name).items()}
                for name in store.variants()
            }
            click.echo(json.dumps({"worth": worth, "breaches": breaches,
                                   "comparisons": [comparison.as_dict() for comparison in comparisons]}))  # fmt: skip
        else:
            _print_comparisons(store, comparisons, breaches)
    raise SystemExit(1 if breaches else 0)


def _print_comparisons(store: Any, comparisons: list[Any], breaches: list[str]) -> None:
    for name in store.variants():
        worths = [result["worth"] for result in store.results(name).values()]
        click.echo(f"{name:<20} worth {sum(worths) / len(worths):.4f} over {len(worths)} seeds")
    for comparison in comparisons:
        click.secho(f"\n{comparison.other} against {comparison.base}, {comparison.pairs} seeds", bold=True)
        for row in comparison:
            dim = row.says in ("none shown", "too few pairs")
            line = f"  {row.measure:<26}{row.base:>9.4f}{row.other:>9.4f}{row.mean:>+9.4f}"
            line += f"  [{row.low:+.4f}, {row.high:+.4f}]"
            click.secho(f"{line}  {row.says}", dim=dim)
    for text in breaches[:20]:
        click.secho(text, fg="red")
    click.secho(f"\n{len(breaches)} breaches", fg="red" if breaches else "green")


@lab.command()
@click.argument("results", type=click.Path(exists=True, dir_okay=False, path_type=Path))
@click.option("--base", default="base", show_default=True)
@click.option("--json", "as_json", is_flag=True)
def compare(results: Path, base: str, as_json: bool) -> None:
    """Compare the variants of a results file, paired by seed."""
    from pearstall.lab.experiments import Store
    from pearstall.lab.experiments import compare as compare_pairs

    with Store(results) as store:
        if base not in store.variants():
            raise click.ClickException(f"unknown variant {base!r}; the file holds {', '.join(store.variants())}")
        comparisons = [compare_pairs(store, name, base) for name in store.variants() if name != base]
        if as_json:
            click.echo(json.dumps([comparison.as_dict() for comparison in comparisons]))
        else:
            _print_comparisons(store, comparisons, [])


@lab.command()
@click.argument("results", type=click.Path(exists=True, dir_okay=False, path_type=Path))
@click.argument("page", type=file_argument)
def report(results: Path, page: Path) -> None:
    """Write the HTML report of a results file."""
    from pearstall.lab.experiments import Store
    from pearstall.lab.report import write_report

    with Store(results) as store:
        click.echo(str(write_report(store, page)))


@lab.command()
@click.argument("scenario", type=file_argument)
@click.argument("seed", type=int)
@click.option("--variant", default="base", show_default=True)
@click.option("--until", type=float, help="Stop after this many simulated seconds.")
@click.option("--trace", "traced", is_flag=True, help="Print every line that goes into the digest, with its time.")
@click.option("--json", "as_json", is_flag=True)
def replay(scenario: Path, seed: int, variant: str, until: float | None, traced: bool, as_json: bool) -> None:
    """Repeat the run of one seed exactly; its digest is the same each time."""
    import msgspec

    from pearstall.lab.world import play

    plan = _read_plan(scenario)
    try:
        chosen = plan.named(variant)
    except KeyError:
        raise click.BadParameter(f"unknown variant {variant!r}") from None
    if until is not None:
        chosen = msgspec.structs.replace(chosen, seconds=min(until, chosen.seconds))
    lines: list[str] = []
    result = play(chosen, seed, trace=lines if traced else None)
    rate = result.events / result.real_seconds
    if as_json:
        click.echo(json.dumps({"digest": result.digest, "worth": result.worth, "kinds": result.kinds,
                               "breaches": result.breaches, "callbacks_a_second": rate,
                               "devices": result.devices, "trace": lines}))  # fmt: skip
    else:
        for line in lines:
            click.echo(line)
        for key, value in result.devices.items():
            click.echo(f"devices {key:>20}  {value:g}")
        click.echo(f"digest {result.digest}\n"
                   f"worth {result.worth:.4f} of {result.asked} asks: {result.kinds}\n"
                   f"{result.seconds:.0f} s in {result.real_seconds:.1f} s, "
                   f"{rate:,.0f} callbacks per second")  # fmt: skip
        for text in result.breaches:
            click.secho(text, fg="red")
    raise SystemExit(1 if result.breaches else 0)


@lab.command()
@click.argument("port", type=click.IntRange(0, 65535))
@click.option("--form", type=click.Choice(["openai", "platform"]), default="openai", show_default=True)
@click.option(
    "--fault", type=click.Choice(["errors", "silent", "stalls", "garbles"]), help="A permanent fault of the server."
)
@click.option("--slots", default=16, show_default=True, type=click.IntRange(1))
@click.option("--queue", default=32, show_default=True, type=click.IntRange(0))
@click.option("--speed", default=1.0, show_default=True, type=click.FloatRange(0.01, 100))
@click.option("--cold", is_flag=True, help="Begin cold, as just after a start.")
@click.option("--json", "as_json", is_flag=True, help="Print its counters as one JSON object at the end.")
def serve(
    port: int, form: str, fault: str | None, slots: int, queue: int, speed: float, cold: bool, as_json: bool
) -> None:
    """Run a model server with the laboratory's engine on loopback until Ctrl-C, then print its counters."""
    from pearstall.lab.engine import EngineSettings
    from pearstall.lab.stations import ModelServer

    async def main() -> ModelServer:
        import signal
        import time

        since = time.time() if cold else 0.0
        server = ModelServer(
            "lab", ("127.0.0.1", port), EngineSettings(slots=slots, queue=queue), form=form, since=since
        )
        server.fault, server.engine.speed = fault or "", speed
        try:
            await server.start()
        except OSError as error:
            raise click.ClickException(f"port {port}: {error.strerror}") from None
        assert isinstance(server.listener, asyncio.Server)
        click.echo(f"model server on 127.0.0.1:{server.listener.sockets[0].getsockname()[1]}", err=True)
        stopped = asyncio.Event()
        for number in (signal.SIGINT, signal.SIGTERM):
            asyncio.get_running_loop().add_signal_handler(number, stopped.set)
        await stopped.wait()
        server.stop()
        return server

    server = asyncio.run(main())
    counters = server.engine.counters
    totals = {name: getattr(counters, name) for name in counters.__slots__} | {"requests": server.requests}
    if as_json:
        click.echo(json.dumps(totals))
    else:
        for name, value in totals.items():
            click.echo(f"{name:>14}  {value:g}")


@lab.command()
@click.argument("scenario", type=file_argument)
@click.argument("seed", type=int)
@click.option("--variant", default="base", show_default=True)
@click.option("--most", default=60, show_default=True, help="The maximum number of runs.")
@click.option("--json", "as_json", is_flag=True)
def shrink(scenario: Path, seed: int, variant: str, most: int, as_json: bool) -> None:
    """Reduce a run that breaks a rule to a smaller one that still breaks the same rule."""
    from pearstall.lab.shrink import shrink as make_smaller

    def progress(tries: int, size: str) -> None:
        click.echo(f"{tries} runs: {size}", err=True)

    try:
        chosen = _read_plan(scenario).named(variant)
    except KeyError:
        raise click.BadParameter(f"unknown variant {variant!r}") from None
    reduced = make_smaller(chosen, seed, most, progress)
    if reduced is None:
        click.echo(json.dumps({"breach": None}) if as_json else f"seed {seed} breaks no rule")
        return
    faults = [f"{fault.kind} at {fault.at:g} s" for fault in reduced.scenario.faults]
    if as_json:
        click.echo(
            json.dumps({"breach": reduced.breach, "size": reduced.size, "faults": faults, "tries": reduced.tries})
        )
    else:
        click.echo(f"{reduced.breach}\n{reduced.size}\n{', '.join(faults) or 'no fault'} ({reduced.tries} runs)")


@lab.command()
@click.argument("scenario", type=file_argument)
@click.argument("changes", nargs=-1, required=True, metavar="NAME=V,V,...")
@click.option("--seeds", type=Seeds(), default="8", show_default=True)
@click.option("--into", type=file_argument, help="The results file.")
@click.option("--workers", default=0)
@click.option("--halve", "halving", is_flag=True, help="Successive halving: start with many points on few seeds.")
@click.option("--by", default="worth", show_default=True, help="The measure that --halve ranks by.")
@click.option("--least", is_flag=True, help="Lower values are better.")
@click.option("--json", "as_json", is_flag=True)
@click.pass_context
def sweep(
    context: click.Context, scenario: Path, changes: tuple[str, ...], seeds: list[int], into: Path | None,
    workers: int, halving: bool, by: str, least: bool, as_json: bool,
) -> None:  # fmt: skip
    """Run a grid over constants of choice.py (PACE=3,4 MAX_EJECTION_PERCENT=10,40), and write out its scenario."""
    import itertools

    axes = []
    for change in changes:
        name, equals, values = change.partition("=")
        if not equals or not values:
            raise click.BadParameter(f"expected NAME=V,V, got {change!r}")
        axes.append([(name, value) for value in values.split(",")])
    lines = []
    for point in itertools.product(*axes):
        label = " ".join(f"{name}={value}" for name, value in point)
        inner = "; ".join(f'constant "{name}" {value}' for name, value in point)
        lines.append(f'variant "{label}" {{ {inner}; }}')
    file = scenario.with_name(f"{scenario.stem}-sweep.kdl")
    base_lines = [line for line in scenario.read_text().splitlines() if not line.startswith("variant ")]
    file.write_text("\n".join([*base_lines, *lines, ""]))
    results = into or file.with_suffix(".sqlite")
    if not halving:
        context.invoke(run_experiment, scenario=file, seeds=seeds, into=results, workers=workers, only=(),
                       report=None, as_json=as_json)  # fmt: skip
        return
    from pearstall.lab.experiments import Store, halve

    plan = _read_plan(file)
    with Store(results) as store:
        stored = store.about("scenario")
        if stored is not None and stored != file.read_text():
            raise click.ClickException(
                f"{results} holds results of another scenario; choose another file with --into"
            )
        order = halve(str(file), [variant.name for variant in plan.variants], seeds, store, by, least, workers,
                      lambda line: click.echo(line, err=True))  # fmt: skip
    if as_json:
        click.echo(json.dumps({"order": [{"variant": name, by: mean, "seeds": n} for name, mean, n in order]}))
    for name, mean, count in order if not as_json else ():
        click.echo(f"{name:<40} {by} {mean:.4f} over {count} seeds")


@lab.command()
@click.argument("scenario", type=file_argument)
@click.argument("seed", type=int, default=1)
@click.option("--variant", default="base", show_default=True)
@click.option("--pace", default=2.0, show_default=True, help="Simulated seconds per second; 0 runs at full speed.")
def watch(scenario: Path, seed: int, variant: str, pace: float) -> None:
    """Show a run live in the terminal: servers by load and state, answers, refusals."""
    from pearstall.lab.watch import watch as run_watch

    try:
        _read_plan(scenario).named(variant)
    except KeyError:
        raise click.BadParameter(f"unknown variant {variant!r}") from None
    raise SystemExit(run_watch(str(scenario), variant, seed, pace))
