"""`pearstall model`: every ordering of a few events, on the real objects."""

from __future__ import annotations

import json
from dataclasses import asdict
from pathlib import Path
from typing import Any

import click

from pearstall.models.catalogue import MODULES


@click.group()
def model() -> None:
    """Exhaustive small models of an attempt, a device's session and the list of servers."""


names = click.Choice(list(MODULES))


@model.command(name="list")
@click.option("--json", "as_json", is_flag=True)
def list_models(as_json: bool) -> None:
    """The machines, their shapes and their properties."""
    from pearstall.models.catalogue import model as find

    found = [find(name) for name in MODULES]
    if as_json:
        rows = [
            {
                "model": one.name,
                "says": one.says,
                "shapes": list(one.shapes),
                "properties": [asdict(prop) for prop in one.properties],
            }
            for one in found
        ]
        click.echo(json.dumps(rows))
        return
    for one in found:
        click.secho(f"{one.name}: {one.says}", bold=True)
        for shape, (shallow, deep) in one.depths.items():
            click.echo(f"  shape {shape!r}, {shallow} events deep; {deep} with --deep")
        for prop in one.properties:
            click.echo(f"  {prop.name:<22} {prop.says}  ({prop.source})")


@model.command()
@click.argument("name", type=names, required=False)
@click.option("--shape", help="Only this one.")
@click.option("--deep", is_flag=True, help="The long part, which CI leaves out.")
@click.option("--depth", type=click.IntRange(1, 40), help="Events; else as `model list` says.")
@click.option("--workers", default=0, type=click.IntRange(0, 256), help="Processes; else one a core.")
@click.option("--no-reduce", is_flag=True, help="Without the reduction of independent events.")
@click.option("--keep", type=click.Path(file_okay=False, path_type=Path), help="A folder for a breach's sequence.")
@click.option("--json", "as_json", is_flag=True)
def check(
    name: str | None,
    shape: str | None,
    deep: bool,
    depth: int | None,
    workers: int,
    no_reduce: bool,
    keep: Path | None,
    as_json: bool,
) -> None:
    """Search all states, breadth first. Ends with 1 on a breach, and where a property was never put to the test."""
    from pearstall.models import catalogue

    chosen = [name] if name else list(MODULES)
    shapes = [(one, each) for one in chosen for each in catalogue.model(one).shapes if shape in (None, each)]
    if not shapes:
        raise click.BadParameter(
            f"no shape is called {shape!r}; `pearstall model list` names them", param_hint="--shape"
        )

    def progress(found: Any, left: int) -> None:
        click.echo(
            f"\r{found.model}, {found.shape}: depth {found.depth}, {found.states:,} states, "
            f"{found.transitions / max(0.001, found.seconds):,.0f} steps a second, {left} parts of this depth "
            "left   ",
            nl=False,
            err=True,
        )

    found = []
    for one, each in shapes:
        found.append(
            catalogue.check(
                one,
                each,
                deep,
                workers,
                depth or 0,
                not no_reduce,
                (lambda found, left: None) if as_json else progress,
            )
        )
        if not as_json:
            click.echo("\r" + " " * 110 + "\r", nl=False, err=True)
            _show(found[-1])
    failed = any(row.breach for row in found)
    idle = (
        {} if shape else {one: catalogue.untested(one, [row for row in found if row.model == one]) for one in chosen}
    )
    if keep is not None:
        for row in found:
            if row.breach is not None:
                click.echo(f"kept in {catalogue.keep(row.breach, keep)}", err=True)
    if as_json:
        click.echo(json.dumps({"searches": [row.as_dict() for row in found], "untested": idle}))
    else:
        for one, missing in idle.items():
            for prop in missing:
                click.secho(f"{one}: {prop} was never put to the test", fg="red")
        click.echo(
            f"{sum(row.states for row in found):,} states, {sum(row.transitions for row in found):,} steps in "
            f"{sum(row.seconds for row in found):.0f} s"
        )
    raise SystemExit(1 if failed or any(idle.values()) else 0)


def _show(found: Any) -> None:
    whole = ", all there are" if found.whole else ""
    click.echo(
        f"{found.model}, {found.shape}: {found.states:,} states{whole}, {found.transitions:,} steps and "
        f"{found.slept:,} spared, depth {found.depth}, {found.seconds:.1f} s"
    )
    if found.breach is not None:
        click.secho(found.breach.what, fg="red")
        for number, event in enumerate(found.breach.sequence, 1):
            click.echo(f"  {number}. {event}")


@model.command()
@click.argument("name", type=names)
@click.option("--json", "as_json", is_flag=True)
def explain(name: str, as_json: bool) -> None:
    """What a machine is, and the rules that its properties stand for."""
    from importlib import import_module

    from pearstall.models.catalogue import model as find

    found = find(name)
    about = (import_module(MODULES[name]).__doc__ or "").strip()
    if as_json:
        click.echo(json.dumps({"about": about, "properties": [asdict(one) for one in found.properties]}))
        return
    click.echo(about + "\n")
    for one in found.properties:
        click.echo(f"{one.name:<22} {one.says}\n{'':<22} stands for: {one.source}")


@model.command()
@click.argument("file", type=click.Path(exists=True, dir_okay=False, path_type=Path))
@click.option("--json", "as_json", is_flag=True)
def replay(file: Path, as_json: bool) -> None:
    """A kept sequence, step by step. Ends with 1 where it still breaks something."""
    from pearstall.models import catalogue
    from pearstall.models.explore import breaks

    try:
        kept = catalogue.read_kept(file)
    except ValueError as error:
        raise click.ClickException(str(error)) from None
    what = breaks(catalogue.machine(kept), kept.sequence)
    rows = catalogue.steps(kept)
    if as_json:
        click.echo(json.dumps({"breaks": what, "steps": rows}))
    else:
        for number, (event, state) in enumerate(rows):
            click.secho(f"{number}. {event or 'in the beginning'}", bold=True)
            click.echo(f"   {state}")
        click.secho(what or "breaks nothing", fg="red" if what else "green")
    raise SystemExit(1 if what else 0)


@model.command()
def diagram() -> None:
    """The table of an ask's states, in DOT."""
    from pearstall.models.catalogue import diagram as draw

    click.echo(draw())
