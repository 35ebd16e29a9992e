"""`pearstall model`: checks the real objects under every ordering of a few events."""

from __future__ import annotations

import json
from dataclasses import asdict
from pathlib import Path
from typing import Any

import click

from pearstall.models.catalogue import MODULES


@click.group()
def model() -> None:
    """Exhaustive search of small models: an attempt, a device's session, the list of servers."""


model_names = click.Choice(list(MODULES))


@model.command(name="list")
@click.option("--json", "as_json", is_flag=True)
def list_models(as_json: bool) -> None:
    """List the models, their shapes and their properties."""
    from pearstall.models.catalogue import model as find

    listed = [find(name) for name in MODULES]
    if as_json:
        rows = [
            {
                "model": machine.name,
                "says": machine.says,
                "shapes": list(machine.shapes),
                "properties": [asdict(prop) for prop in machine.properties],
            }
            for machine in listed
        ]
        click.echo(json.dumps(rows))
        return
    for machine in listed:
        click.secho(f"{machine.name}: {machine.says}", bold=True)
        for shape, (shallow, deep) in machine.depths.items():
            click.echo(f"  shape {shape!r}, {shallow} events deep; {deep} with --deep")
        for prop in machine.properties:
            click.echo(f"  {prop.name:<22} {prop.says}  ({prop.source})")


@model.command()
@click.argument("name", type=model_names, required=False)
@click.option("--shape", help="Check only this shape.")
@click.option("--deep", is_flag=True, help="Search to the larger depth, which CI leaves out.")
@click.option(
    "--depth", type=click.IntRange(1, 40), help="Depth of the search, in events. Default: as `model list` shows."
)
@click.option("--workers", default=0, type=click.IntRange(0, 256), help="Number of processes. Default: one per core.")
@click.option("--no-reduce", is_flag=True, help="Search without partial-order reduction (of independent events).")
@click.option(
    "--keep",
    type=click.Path(file_okay=False, path_type=Path),
    help="Write the event sequence of a breach to this folder.",
)
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
    """Search all states breadth-first. Exits with 1 on a breach, or if a property was never exercised."""
    from pearstall.models import catalogue

    chosen = [name] if name else list(MODULES)
    shapes = [
        (model_name, candidate)
        for model_name in chosen
        for candidate in catalogue.model(model_name).shapes
        if shape in (None, candidate)
    ]
    if not shapes:
        raise click.BadParameter(
            f"unknown shape {shape!r}; `pearstall model list` lists the shapes", param_hint="--shape"
        )

    def progress(found: Any, left: int) -> None:
        click.echo(
            f"\r{found.model}, {found.shape}: depth {found.depth}, {found.states:,} states, "
            f"{found.transitions / max(0.001, found.seconds):,.0f} steps per second, {left} parts of this depth "
            "left   ",
            nl=False,
            err=True,
        )

    results = []
    for model_name, model_shape in shapes:
        results.append(
            catalogue.check(
                model_name,
                model_shape,
                deep,
                workers,
                depth or 0,
                not no_reduce,
                (lambda found, left: None) if as_json else progress,
            )
        )
        if not as_json:
            click.echo("\r" + " " * 110 + "\r", nl=False, err=True)
            _print_result(results[-1])
    failed = any(row.breach for row in results)
    untested = (
        {}
        if shape
        else {one: catalogue.untested(one, [row for row in results if row.model == one]) for one in chosen}
    )
    if keep is not None:
        for row in results:
            if row.breach is not None:
                click.echo(f"sequence written to {catalogue.keep(row.breach, keep)}", err=True)
    if as_json:
        click.echo(json.dumps({"searches": [row.as_dict() for row in results], "untested": untested}))
    else:
        for model_name, missing in untested.items():
            for prop in missing:
                click.secho(f"{model_name}: {prop} was never exercised", fg="red")
        click.echo(
            f"{sum(row.states for row in results):,} states, {sum(row.transitions for row in results):,} steps in "
            f"{sum(row.seconds for row in results):.0f} s"
        )
    raise SystemExit(1 if failed or any(untested.values()) else 0)


def _print_result(found: Any) -> None:
    complete = ", complete" if found.whole else ""
    click.echo(
        f"{found.model}, {found.shape}: {found.states:,} states{complete}, {found.transitions:,} steps and "
        f"{found.slept:,} pruned, depth {found.depth}, {found.seconds:.1f} s"
    )
    if found.breach is not None:
        click.secho(found.breach.what, fg="red")
        for number, event in enumerate(found.breach.sequence, 1):
            click.echo(f"  {number}. {event}")


@model.command()
@click.argument("name", type=model_names)
@click.option("--json", "as_json", is_flag=True)
def explain(name: str, as_json: bool) -> None:
    """Describe a model, and the rules that its properties check."""
    from importlib import import_module

    from pearstall.models.catalogue import model as find

    machine = find(name)
    description = (import_module(MODULES[name]).__doc__ or "").strip()
    if as_json:
        click.echo(json.dumps({"about": description, "properties": [asdict(prop) for prop in machine.properties]}))
        return
    click.echo(description + "\n")
    for prop in machine.properties:
        click.echo(f"{prop.name:<22} {prop.says}\n{'':<22} checks: {prop.source}")


@model.command()
@click.argument("file", type=click.Path(exists=True, dir_okay=False, path_type=Path))
@click.option("--json", "as_json", is_flag=True)
def replay(file: Path, as_json: bool) -> None:
    """Replay a stored sequence step by step. Exits with 1 if it still breaks a property."""
    from pearstall.models import catalogue
    from pearstall.models.explore import first_breach

    try:
        stored = catalogue.read_kept(file)
    except ValueError as error:
        raise click.ClickException(str(error)) from None
    breach = first_breach(catalogue.machine(stored), stored.sequence)
    rows = catalogue.steps(stored)
    if as_json:
        click.echo(json.dumps({"breaks": breach, "steps": rows}))
    else:
        for number, (event, state) in enumerate(rows):
            click.secho(f"{number}. {event or 'initial state'}", bold=True)
            click.echo(f"   {state}")
        click.secho(breach or "no property is broken", fg="red" if breach else "green")
    raise SystemExit(1 if breach else 0)


@model.command()
def diagram() -> None:
    """Print the state table of an ask in DOT."""
    from pearstall.models.catalogue import diagram as dot_diagram

    click.echo(dot_diagram())
