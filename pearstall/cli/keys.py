"""`pearstall keys`: the operators' keys, and tokens for devices."""

from __future__ import annotations

import json
import os
import re
import tempfile
import time
from datetime import UTC, datetime
from pathlib import Path

import click

path = click.Path(dir_okay=False, path_type=Path)
UNITS = {"s": 1, "m": 60, "h": 3600, "d": 86400}


class Lifetime(click.ParamType[float]):
    """Seconds, or a number with a unit."""

    name = "time"

    def convert(self, value: object, param: click.Parameter | None, ctx: click.Context | None) -> float:
        found = re.fullmatch(r"([0-9]+(?:\.[0-9]+)?)([smhd]?)", str(value))
        if not found or not float(found[1]):
            self.fail(f'a time as in 3600, "12h" or "30d" is wanted, not {value!r}', param, ctx)
        return float(found[1]) * UNITS[found[2] or "s"]


@click.group()
def keys() -> None:
    """Make and rotate keys, mint and revoke device tokens. Secrets are only ever written to the file."""


def _ring(file: Path):  # type: ignore[no-untyped-def]
    from pearstall.config.kdl import Unreadable
    from pearstall.config.operators import read_keys

    try:
        return read_keys(file)
    except Unreadable as error:
        raise click.ClickException("\n".join(map(str, error.troubles))) from None


def _replace(file: Path, text: str) -> None:
    """Whole or not at all: a router that reads it meanwhile sees the old file or the new one."""
    handle, name = tempfile.mkstemp(dir=file.parent or Path("."), prefix=file.name + ".")
    try:
        with os.fdopen(handle, "w") as out:
            out.write(text)
            out.flush()
            os.fsync(out.fileno())
        os.chmod(name, 0o600)
        os.replace(name, file)
    except OSError as error:
        Path(name).unlink(missing_ok=True)
        raise click.ClickException(f"{file}: {error.strerror}") from None


def _line(id: str, tenant: str) -> str:
    from pearstall.edge.tokens import encode_secret, new_secret

    quoted = json.dumps(tenant)
    return f'key "{id}" secret="{encode_secret(new_secret())}" tenant={quoted}\n'


def _check_id(id: str) -> None:
    from pearstall.edge.tokens import NAME

    if not NAME.fullmatch(id):
        raise click.BadParameter(f"1 to 64 letters, digits, - or _ are wanted, not {id!r}")


@keys.command()
@click.argument("file", type=path)
@click.option("--id", "id_", default="k1", show_default=True, help="The key's name; it stands in every token.")
@click.option("--tenant", default="", help="Whom its devices belong to.")
def make(file: Path, id_: str, tenant: str) -> None:
    """Begin a file of keys with a new one."""
    _check_id(id_)
    if file.exists():
        raise click.ClickException(f"{file} is there already; `keys rotate` adds a key to it")
    _replace(file, "// Keys of the edge: who reads this file can speak as any device.\n" + _line(id_, tenant))
    click.echo(f"{file}: key {id_}")


@keys.command()
@click.argument("file", type=path)
@click.option("--id", "id_", required=True, help="The new key's name.")
@click.option("--tenant", default="", help="Whom its devices belong to.")
@click.option("--overlap", type=Lifetime(), default="30d", show_default=True,
              help="How long tokens of the tenant's present keys stay good.")  # fmt: skip
def rotate(file: Path, id_: str, tenant: str, overlap: float) -> None:
    """Add a new key, and let the tenant's present ones run out. SIGHUP takes it into service."""
    _check_id(id_)
    ring = _ring(file)
    if id_ in ring.keys:
        raise click.ClickException(f"{file}: there is a key {id_!r} already")
    until = datetime.fromtimestamp(int(time.time() + overlap), UTC).isoformat().replace("+00:00", "Z")
    out = []
    ended = []
    for line in file.read_text().splitlines():
        found = re.match(r'\s*key\s+"?([A-Za-z0-9_-]+)"?\s', line)
        key = ring.keys.get(found[1]) if found else None
        if key is not None and key.tenant == tenant and not key.not_after:
            line = f'{line.rstrip()} not-after="{until}"'
            ended.append(key.id)
        out.append(line)
    _replace(file, "\n".join(out) + "\n" + _line(id_, tenant))
    click.echo(f"{file}: key {id_}; {', '.join(ended) or 'no other'} until {until}. SIGHUP takes it into service.")


@keys.command()
@click.argument("file", type=path)
@click.argument("device")
@click.option("--key", "key_id", default="", help="Which key; else the newest that does not run out.")
@click.option("--epoch", default=0, show_default=True, help="Raised when a device's older tokens are revoked.")
@click.option("--lifetime", type=Lifetime(), default="30d", show_default=True)
@click.option("--json", "as_json", is_flag=True)
def mint(file: Path, device: str, key_id: str, epoch: int, lifetime: float, as_json: bool) -> None:
    """A token for a device, on standard output."""
    from pearstall.edge.tokens import mint as make_token

    ring = _ring(file)
    lasting = [key for key in ring.keys.values() if not key.not_after]
    key = ring.keys.get(key_id) if key_id else (lasting or [None])[-1]
    if key is None:
        raise click.ClickException(f"{file}: no key {key_id!r}" if key_id else f"{file}: every key runs out")
    if epoch < ring.revoked.get(device, 0):
        raise click.ClickException(f"{device}: epochs below {ring.revoked[device]} are revoked")
    expiry = int(time.time() + lifetime)
    try:
        token = make_token(key, device, expiry, epoch)
    except ValueError as error:
        raise click.ClickException(str(error)) from None
    if as_json:
        row = {"token": token, "device": device, "key": key.id, "epoch": epoch, "expires": expiry}
        click.echo(json.dumps(row))
    else:
        click.echo(token)


@keys.command()
@click.argument("file", type=path)
@click.argument("device")
@click.option("--below-epoch", type=click.IntRange(1), help="Only tokens of older epochs; else all of them.")
def revoke(file: Path, device: str, below_epoch: int | None) -> None:
    """Deny a device's tokens from the next SIGHUP on."""
    _check_id(device)
    _ring(file)
    kept = [
        line
        for line in file.read_text().splitlines()
        if not re.match(rf'\s*revoke\s+"?{re.escape(device)}"?(\s|$)', line)
    ]
    more = f" below-epoch={below_epoch}" if below_epoch else ""
    _replace(file, "\n".join([*kept, f'revoke "{device}"{more}', ""]))
    click.echo(f"{file}: {device} revoked{f' below epoch {below_epoch}' if below_epoch else ''}")


@keys.command(name="ls")
@click.argument("file", type=path)
@click.option("--json", "as_json", is_flag=True)
def list_keys(file: Path, as_json: bool) -> None:
    """The keys, without their secrets."""
    ring = _ring(file)
    rows = [
        {"key": key.id, "tenant": key.tenant, "not_after": key.not_after or None, "now": time.time() < key.not_after
         if key.not_after else True}
        for key in ring.keys.values()
    ]  # fmt: skip
    if as_json:
        click.echo(json.dumps({"keys": rows, "revoked": ring.revoked}))
        return
    for row in rows:
        until = row["not_after"]
        end = datetime.fromtimestamp(float(until), UTC).isoformat() if until else "no end"
        click.echo(f"{row['key']:<24} {row['tenant'] or '-':<16} {end}{'' if row['now'] else ' (run out)'}")
    for device, epoch in ring.revoked.items():
        click.echo(f"revoked: {device}" + (f" below epoch {epoch}" if epoch < 10**9 else ""))
