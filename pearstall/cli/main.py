"""The command line, `pearstall`. Each command imports its dependencies when it runs."""

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

EXIT_BAD_SETTINGS, EXIT_FAILED = 2, 1
path = click.Path(dir_okay=False, path_type=Path)


@click.group(context_settings={"help_option_names": ["-h", "--help"], "max_content_width": 110})
@click.version_option(package_name="pearstall", message="%(prog)s %(version)s")
def commands() -> None:
    """A request router for model servers, with an edge for devices on unreliable connections."""


@commands.command()
@click.option(
    "--config", type=path, help="The platform's configuration (JSON). Default: the file that EDGE_CONFIG names."
)
@click.option("--operators", type=path, help="The operators' settings (KDL): additional fronts, the edge, logging.")
@click.option("--inventory", type=path, help="A CSV or YAML list of model servers, used instead of discovery.")
def run(config: Path | None, operators: Path | None, inventory: Path | None) -> None:
    """Run a router until SIGTERM or Ctrl-C."""
    signals.block()
    from pearstall.net.config import ConfigError, read_config
    from pearstall.net.serve import run as serve

    try:
        asyncio.run(
            serve(
                read_config(
                    operators=_path_text(operators), inventory=_path_text(inventory), config=_path_text(config)
                )
            )
        )
    except ConfigError as error:
        click.echo(f"pearstall: {error}", err=True)
        raise SystemExit(EXIT_BAD_SETTINGS) from None


@commands.command()
@click.option("--config", type=path, help="The platform's configuration (JSON).")
@click.option("--operators", type=path, help="The operators' settings (KDL).")
@click.option("--inventory", type=path, help="A CSV or YAML list of model servers.")
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object instead of text.")
def check(config: Path | None, operators: Path | None, inventory: Path | None, as_json: bool) -> None:
    """Check configuration files and report every problem with its file, line and expected value."""
    from pearstall.cli.check import check_files

    if not (config or operators or inventory):
        raise click.UsageError("at least one of --config, --operators and --inventory is required")
    report = check_files(_path_text(config), _path_text(operators), _path_text(inventory))
    if as_json:
        click.echo(json.dumps(report.as_dict()))
    else:
        for problem in report.problems:
            click.secho(str(problem), fg="red")
        for warning in report.warnings:
            click.secho(f"{warning} (warning)", fg="yellow")
        if not report.problems:
            click.echo("; ".join(report.summaries) or "no problems found")
    raise SystemExit(EXIT_FAILED if report.problems else 0)


@commands.command()
@click.argument("words", nargs=-1, required=True)
@click.option("--url", default="http://127.0.0.1:8090", show_default=True, help="The URL of the edge.")
@click.option(
    "--token", envvar="PEARSTALL_TOKEN", required=True, help="The device's token. Default: PEARSTALL_TOKEN."
)
@click.option("--wire", type=click.Choice(["ws-json", "ws-msgpack", "sse", "poll"]), default="ws-msgpack",
              show_default=True)  # fmt: skip
@click.option("--model", default="chat", show_default=True)
@click.option("--lane", default="", help="The request class. Default: the class of the model.")
@click.option("--id", "id_", default="", help="The id of the ask. Repeating an id resumes that ask.")
@click.option("--remaining", type=float, help="The longest wait for the first event, in seconds.")
@click.option(
    "--drop-after", type=click.IntRange(1), help="Close the connection after this many events, then resume."
)
@click.option(
    "--json", "as_json", is_flag=True, help="Print one JSON object per line: events, reconnects and the final record."
)
def ask(
    words: tuple[str, ...], url: str, token: str, wire: str, model: str, lane: str, id_: str,
    remaining: float | None, drop_after: int | None, as_json: bool,
) -> None:  # fmt: skip
    """Send an ask as a device does: stream the answer, and reconnect when the connection is lost."""
    from pearstall.cli.ask import run_ask

    body = {"model": model, "messages": [{"role": "user", "content": " ".join(words)}]}
    raise SystemExit(asyncio.run(run_ask(url, token, wire, body, lane, id_, remaining, drop_after, as_json)))


@commands.command()
@click.option("--seed", default=1, show_default=True)
def demo(seed: int) -> None:
    """Run stand-in model servers, a router with its fronts, and an ask that survives lost connections, then exit."""
    from pearstall.cli.demo import run_demo

    raise SystemExit(asyncio.run(run_demo(seed)))


commands.add_command(key_commands.keys)
commands.add_command(lab_commands.lab)
commands.add_command(model_commands.model)


def _path_text(given: Path | None) -> str:
    return str(given) if given is not None else ""


def main(arguments: list[str] | None = None) -> int:
    try:
        result: Any = commands.main(args=arguments, prog_name="pearstall", standalone_mode=False)
    except click.exceptions.Abort:
        click.echo("aborted", err=True)
        return 130
    except click.ClickException as error:
        error.show()
        return error.exit_code
    except SystemExit as stop:
        return int(stop.code or 0)
    except KeyboardInterrupt:
        return 130
    return result if isinstance(result, int) else 0


if __name__ == "__main__":
    sys.exit(main())
