"""`pearstall keys`: manages the operators' signing keys and the tokens of devices."""

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
UNIT_SECONDS = {"s": 1, "m": 60, "h": 3600, "d": 86400}


class Lifetime(click.ParamType[float]):
    """A duration: seconds, or a number with the unit s, m, h or d."""

    name = "time"

    def convert(self, value: object, param: click.Parameter | None, ctx: click.Context | None) -> float:
        match = re.fullmatch(r"([0-9]+(?:\.[0-9]+)?)([smhd]?)", str(value))
        if not match or not float(match[1]):
            self.fail(f'expected a time such as 3600, "12h" or "30d", got {value!r}', param, ctx)
        return float(match[1]) * UNIT_SECONDS[match[2] or "s"]


@click.group()
def keys() -> None:
    """Create and rotate keys, mint and revoke device tokens. Secrets are written to the key file only."""


def _read_keyring(file: Path):  # type: ignore[no-untyped-def]
    from pearstall.config.kdl import DocumentError
    from pearstall.config.operators import read_keys

    try:
        return read_keys(file)
    except DocumentError as error:
        raise click.ClickException("\n".join(map(str, error.diagnostics))) from None


def _replace_file(file: Path, text: str) -> None:
    """Replaces a file atomically: a router that reads it meanwhile sees either the old content or the new."""
    handle, temporary = tempfile.mkstemp(dir=file.parent or Path("."), prefix=file.name + ".")
    try:
        with os.fdopen(handle, "w") as out:
            out.write(text)
            out.flush()
            os.fsync(out.fileno())
        os.chmod(temporary, 0o600)
        os.replace(temporary, file)
    except OSError as error:
        Path(temporary).unlink(missing_ok=True)
        raise click.ClickException(f"{file}: {error.strerror}") from None


def _key_line(key_id: str, tenant: str) -> str:
    from pearstall.edge.tokens import encode_secret, new_secret

    quoted_tenant = json.dumps(tenant)
    return f'key "{key_id}" secret="{encode_secret(new_secret())}" tenant={quoted_tenant}\n'


def _check_name(name: str) -> None:
    from pearstall.edge.tokens import NAME

    if not NAME.fullmatch(name):
        raise click.BadParameter(f"expected 1 to 64 letters, digits, - or _, got {name!r}")


@keys.command()
@click.argument("file", type=path)
@click.option("--id", "id_", default="k1", show_default=True, help="The id of the key, which each token carries.")
@click.option("--tenant", default="", help="The tenant that the devices belong to.")
def make(file: Path, id_: str, tenant: str) -> None:
    """Create a key file with one new key."""
    _check_name(id_)
    if file.exists():
        raise click.ClickException(f"{file} already exists; use `keys rotate` to add a key to it")
    _replace_file(
        file,
        "// Keys of the edge: who reads this file can speak as any device.\n" + _key_line(id_, tenant),
    )
    click.echo(f"{file}: key {id_}")


@keys.command()
@click.argument("file", type=path)
@click.option("--id", "id_", required=True, help="The id of the new key.")
@click.option("--tenant", default="", help="The tenant that the devices belong to.")
@click.option("--overlap", type=Lifetime(), default="30d", show_default=True,
              help="How long tokens of the tenant's present keys remain valid.")  # fmt: skip
def rotate(file: Path, id_: str, tenant: str, overlap: float) -> None:
    """Add a new key and set an expiry on the tenant's present keys. A router loads it on SIGHUP."""
    _check_name(id_)
    ring = _read_keyring(file)
    if id_ in ring.keys:
        raise click.ClickException(f"{file}: key {id_!r} already exists")
    until = datetime.fromtimestamp(int(time.time() + overlap), UTC).isoformat().replace("+00:00", "Z")
    lines = []
    expiring = []
    for line in file.read_text().splitlines():
        match = re.match(r'\s*key\s+"?([A-Za-z0-9_-]+)"?\s', line)
        key = ring.keys.get(match[1]) if match else None
        if key is not None and key.tenant == tenant and not key.not_after:
            line = f'{line.rstrip()} not-after="{until}"'
            expiring.append(key.id)
        lines.append(line)
    _replace_file(file, "\n".join(lines) + "\n" + _key_line(id_, tenant))
    click.echo(
        f"{file}: key {id_}; {', '.join(expiring) or 'no other'} until {until}. Send SIGHUP to the router to load it."
    )


@keys.command()
@click.argument("file", type=path)
@click.argument("device")
@click.option(
    "--key", "key_id", default="", help="The id of the key to sign with. Default: the newest key without an expiry."
)
@click.option(
    "--epoch",
    default=0,
    show_default=True,
    help="The epoch of the token; raise it after the device's older tokens were revoked.",
)
@click.option("--lifetime", type=Lifetime(), default="30d", show_default=True)
@click.option("--json", "as_json", is_flag=True)
def mint(file: Path, device: str, key_id: str, epoch: int, lifetime: float, as_json: bool) -> None:
    """Print a new token for a device."""
    from pearstall.edge.tokens import mint as make_token

    ring = _read_keyring(file)
    unexpiring = [key for key in ring.keys.values() if not key.not_after]
    key = ring.keys.get(key_id) if key_id else (unexpiring or [None])[-1]
    if key is None:
        raise click.ClickException(
            f"{file}: unknown key {key_id!r}" if key_id else f"{file}: every key has an expiry; choose one with --key"
        )
    if epoch < ring.revoked.get(device, 0):
        raise click.ClickException(f"{device}: tokens of epochs below {ring.revoked[device]} are revoked")
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
@click.option(
    "--below-epoch", type=click.IntRange(1), help="Revoke only tokens of lower epochs. Default: all tokens."
)
def revoke(file: Path, device: str, below_epoch: int | None) -> None:
    """Revoke a device's tokens. Takes effect when the router reloads on SIGHUP."""
    _check_name(device)
    _read_keyring(file)
    other_lines = [
        line
        for line in file.read_text().splitlines()
        if not re.match(rf'\s*revoke\s+"?{re.escape(device)}"?(\s|$)', line)
    ]
    epoch_property = f" below-epoch={below_epoch}" if below_epoch else ""
    _replace_file(file, "\n".join([*other_lines, f'revoke "{device}"{epoch_property}', ""]))
    click.echo(f"{file}: {device} revoked{f' below epoch {below_epoch}' if below_epoch else ''}")


@keys.command(name="ls")
@click.argument("file", type=path)
@click.option("--json", "as_json", is_flag=True)
def list_keys(file: Path, as_json: bool) -> None:
    """List the keys, without their secrets, and the revocations."""
    ring = _read_keyring(file)
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
        expiry = datetime.fromtimestamp(float(until), UTC).isoformat() if until else "no expiry"
        click.echo(f"{row['key']:<24} {row['tenant'] or '-':<16} {expiry}{'' if row['now'] else ' (expired)'}")
    for device, epoch in ring.revoked.items():
        click.echo(f"revoked: {device}" + (f" below epoch {epoch}" if epoch < 10**9 else ""))
