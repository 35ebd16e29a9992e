"""`pearstall`: the command line. Each command imports what it needs when it runs."""

from __future__ import annotations

import asyncio
import json
import sys
from pathlib import Path
from typing import Any

import click

from pearstall import signals
from pearstall.cli import keys as key_commands
from pearstall.cli import lab as lab_commands
from pearstall.cli import model as model_commands

BAD_SETTINGS, FAILED = 2, 1
path = click.Path(dir_okay=False, path_type=Path)


@click.group(context_settings={"help_option_names": ["-h", "--help"], "max_content_width": 110})
@click.version_option(package_name="pearstall", message="%(prog)s %(version)s")
def commands() -> None:
    """A router for model servers, and an edge for devices on poor links."""


@commands.command()
@click.option("--config", type=path, help="The platform's configuration (JSON); else what EDGE_CONFIG names.")
@click.option("--operators", type=path, help="The operators' settings (KDL): further fronts, the edge, logging.")
@click.option("--inventory", type=path, help="Model servers in a CSV or YAML file, not from discovery.")
def run(config: Path | None, operators: Path | None, inventory: Path | None) -> None:
    """Run one router until SIGTERM or Ctrl-C."""
    signals.block()
    from pearstall.net.config import ConfigError, read_config
    from pearstall.net.serve import run as serve

    try:
        asyncio.run(serve(read_config(operators=_text(operators), inventory=_text(inventory), config=_text(config))))
    except ConfigError as error:
        click.echo(f"pearstall: {error}", err=True)
        raise SystemExit(BAD_SETTINGS) from None


@commands.command()
@click.option("--config", type=path, help="The platform's configuration (JSON).")
@click.option("--operators", type=path, help="The operators' settings (KDL).")
@click.option("--inventory", type=path, help="A CSV or YAML list of model servers.")
@click.option("--json", "as_json", is_flag=True, help="One JSON object instead of lines.")
def check(config: Path | None, operators: Path | None, inventory: Path | None, as_json: bool) -> None:
    """Read all configuration files and name every problem: file, line, and what was wanted."""
    from pearstall.cli.check import check_files

    if not (config or operators or inventory):
        raise click.UsageError("name a file at least: --config, --operators or --inventory")
    found = check_files(_text(config), _text(operators), _text(inventory))
    if as_json:
        click.echo(json.dumps(found.as_dict()))
    else:
        for one in found.problems:
            click.secho(str(one), fg="red")
        for one in found.warnings:
            click.secho(f"{one} (a warning)", fg="yellow")
        if not found.problems:
            click.echo("; ".join(found.said) or "nothing is wrong")
    raise SystemExit(FAILED if found.problems else 0)


@commands.command()
@click.argument("words", nargs=-1, required=True)
@click.option("--url", default="http://127.0.0.1:8090", show_default=True, help="Where the edge listens.")
@click.option("--token", envvar="PEARSTALL_TOKEN", required=True, help="The device's token; or PEARSTALL_TOKEN.")
@click.option("--wire", type=click.Choice(["ws-json", "ws-msgpack", "sse", "poll"]), default="ws-msgpack",
              show_default=True)  # fmt: skip
@click.option("--model", default="chat", show_default=True)
@click.option("--lane", default="", help="The class, where it isn't the model's.")
@click.option("--id", "id_", default="", help="The ask's id: asked again with the same one, it is resumed.")
@click.option("--remaining", type=float, help="Seconds to wait for the first event.")
@click.option("--drop-after", type=click.IntRange(1), help="Cut the connection after so many events, then resume.")
@click.option("--json", "as_json", is_flag=True, help="One JSON object a line: events, reconnects, the final record.")
def ask(
    words: tuple[str, ...], url: str, token: str, wire: str, model: str, lane: str, id_: str,
    remaining: float | None, drop_after: int | None, as_json: bool,
) -> None:  # fmt: skip
    """Ask as a device would: stream the answer, reconnect when the link drops."""
    from pearstall.cli.ask import run_ask

    body = {"model": model, "messages": [{"role": "user", "content": " ".join(words)}]}
    raise SystemExit(asyncio.run(run_ask(url, token, wire, body, lane, id_, remaining, drop_after, as_json)))


@commands.command()
@click.option("--seed", default=1, show_default=True)
def demo(seed: int) -> None:
    """Stand-in servers, the router and its fronts, and an ask that survives a cut link. Ends by itself."""
    from pearstall.cli.demo import run_demo

    raise SystemExit(asyncio.run(run_demo(seed)))


commands.add_command(key_commands.keys)
commands.add_command(lab_commands.lab)
commands.add_command(model_commands.model)


def _text(given: Path | None) -> str:
    return str(given) if given is not None else ""


def main(arguments: list[str] | None = None) -> int:
    try:
        found: Any = commands.main(args=arguments, prog_name="pearstall", standalone_mode=False)
    except click.exceptions.Abort:
        click.echo("ended", err=True)
        return 130
    except click.ClickException as error:
        error.show()
        return error.exit_code
    except SystemExit as end:
        return int(end.code or 0)
    except KeyboardInterrupt:
        return 130
    return found if isinstance(found, int) else 0


if __name__ == "__main__":
    sys.exit(main())
