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
@click.option("--trace", "traced", is_flag=True, help="Every line that goes into the digest, with its time.")
@click.option("--json", "as_json", is_flag=True)
def replay(scenario: Path, seed: int, variant: str, until: float | None, traced: bool, as_json: bool) -> None:
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
    lines: list[str] = []
    found = play(chosen, seed, trace=lines if traced else None)
    rate = found.events / found.real_seconds
    if as_json:
        click.echo(json.dumps({"digest": found.digest, "worth": found.worth, "kinds": found.kinds,
                               "breaches": found.breaches, "callbacks_a_second": rate,
                               "devices": found.devices, "trace": lines}))  # fmt: skip
    else:
        for line in lines:
            click.echo(line)
        for key, value in found.devices.items():
            click.echo(f"devices {key:>20}  {value:g}")
        click.echo(f"digest {found.digest}\n"
                   f"worth {found.worth:.4f} of {found.asked} asks: {found.kinds}\n"
                   f"{found.seconds:.0f} s in {found.real_seconds:.1f} s, "
                   f"{rate:,.0f} callbacks a second")  # fmt: skip
        for text in found.breaches:
            click.secho(text, fg="red")
    raise SystemExit(1 if found.breaches else 0)


@lab.command()
@click.argument("port", type=click.IntRange(0, 65535))
@click.option("--form", type=click.Choice(["openai", "platform"]), default="openai", show_default=True)
@click.option(
    "--fault", type=click.Choice(["errors", "silent", "stalls", "garbles"]), help="What ails it, all along."
)
@click.option("--slots", default=16, show_default=True, type=click.IntRange(1))
@click.option("--queue", default=32, show_default=True, type=click.IntRange(0))
@click.option("--speed", default=1.0, show_default=True, type=click.FloatRange(0.01, 100))
@click.option("--cold", is_flag=True, help="Begin cold, as after a start.")
@click.option("--json", "as_json", is_flag=True, help="Its books as one JSON object at its end.")
def serve(
    port: int, form: str, fault: str | None, slots: int, queue: int, speed: float, cold: bool, as_json: bool
) -> None:
    """One model server on loopback with the laboratory's engine, until Ctrl-C; then its books."""
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
        done = asyncio.Event()
        for number in (signal.SIGINT, signal.SIGTERM):
            asyncio.get_running_loop().add_signal_handler(number, done.set)
        await done.wait()
        server.stop()
        return server

    server = asyncio.run(main())
    counters = server.engine.counters
    books = {name: getattr(counters, name) for name in counters.__slots__} | {"requests": server.requests}
    if as_json:
        click.echo(json.dumps(books))
    else:
        for name, value in books.items():
            click.echo(f"{name:>14}  {value:g}")


@lab.command()
@click.argument("scenario", type=file_argument)
@click.argument("seed", type=int)
@click.option("--variant", default="base", show_default=True)
@click.option("--most", default=60, show_default=True, help="Runs tried.")
@click.option("--json", "as_json", is_flag=True)
def shrink(scenario: Path, seed: int, variant: str, most: int, as_json: bool) -> None:
    """Make a run that breaks a rule smaller, while it still breaks the same one."""
    from pearstall.lab.shrink import shrink as make_smaller

    def progress(tries: int, size: str) -> None:
        click.echo(f"{tries} runs: {size}", err=True)

    try:
        chosen = _plan(scenario).named(variant)
    except KeyError:
        raise click.BadParameter(f"no variant is called {variant!r}") from None
    found = make_smaller(chosen, seed, most, progress)
    if found is None:
        click.echo(json.dumps({"breach": None}) if as_json else f"seed {seed} breaks no rule")
        return
    faults = [f"{one.kind} at {one.at:g} s" for one in found.scenario.faults]
    if as_json:
        click.echo(json.dumps({"breach": found.breach, "size": found.size, "faults": faults, "tries": found.tries}))
    else:
        click.echo(f"{found.breach}\n{found.size}\n{', '.join(faults) or 'no fault'} ({found.tries} runs)")


@lab.command()
@click.argument("scenario", type=file_argument)
@click.argument("changes", nargs=-1, required=True, metavar="NAME=V,V,...")
@click.option("--seeds", type=Seeds(), default="8", show_default=True)
@click.option("--into", type=file_argument, help="The file of results.")
@click.option("--workers", default=0)
@click.option("--halve", "halving", is_flag=True, help="Successive halving: many points on few seeds first.")
@click.option("--by", default="worth", show_default=True, help="The measure that --halve goes by.")
@click.option("--least", is_flag=True, help="Less of it is better.")
@click.option("--json", "as_json", is_flag=True)
@click.pass_context
def sweep(
    context: click.Context, scenario: Path, changes: tuple[str, ...], seeds: list[int], into: Path | None,
    workers: int, halving: bool, by: str, least: bool, as_json: bool,
) -> None:  # fmt: skip
    """A grid over constants of choice.py: PACE=3,4 MAX_EJECTION_PERCENT=10,40. Writes the scenario that it runs."""
    import itertools

    axes = []
    for change in changes:
        name, equals, values = change.partition("=")
        if not equals or not values:
            raise click.BadParameter(f"NAME=V,V is wanted, not {change!r}")
        axes.append([(name, value) for value in values.split(",")])
    lines = []
    for point in itertools.product(*axes):
        label = " ".join(f"{name}={value}" for name, value in point)
        inner = "; ".join(f'constant "{name}" {value}' for name, value in point)
        lines.append(f'variant "{label}" {{ {inner}; }}')
    file = scenario.with_name(f"{scenario.stem}-sweep.kdl")
    kept = [line for line in scenario.read_text().splitlines() if not line.startswith("variant ")]
    file.write_text("\n".join([*kept, *lines, ""]))
    results = into or file.with_suffix(".sqlite")
    if not halving:
        context.invoke(run_experiment, scenario=file, seeds=seeds, into=results, workers=workers, only=(),
                       report=None, as_json=as_json)  # fmt: skip
        return
    from pearstall.lab.experiments import Store, halve

    plan = _plan(file)
    with Store(results) as store:
        held = store.about("scenario")
        if held is not None and held != file.read_text():
            raise click.ClickException(f"{results} holds results of another scenario; name another file with --into")
        order = halve(str(file), [one.name for one in plan.variants], seeds, store, by, least, workers,
                      lambda line: click.echo(line, err=True))  # fmt: skip
    if as_json:
        click.echo(json.dumps({"order": [{"variant": name, by: mean, "seeds": n} for name, mean, n in order]}))
    for name, mean, count in order if not as_json else ():
        click.echo(f"{name:<40} {by} {mean:.4f} over {count} seeds")


@lab.command()
@click.argument("scenario", type=file_argument)
@click.argument("seed", type=int, default=1)
@click.option("--variant", default="base", show_default=True)
@click.option("--pace", default=2.0, show_default=True, help="Simulated seconds a second; 0: as fast as it goes.")
def watch(scenario: Path, seed: int, variant: str, pace: float) -> None:
    """A run, live in the terminal: servers by load and state, answers, refusals."""
    from pearstall.lab.watch import watch as look

    try:
        _plan(scenario).named(variant)
    except KeyError:
        raise click.BadParameter(f"no variant is called {variant!r}") from None
    raise SystemExit(look(str(scenario), variant, seed, pace))
