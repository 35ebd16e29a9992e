"""`pearstall check`: every problem of every file, not only the first."""

from __future__ import annotations

from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec

from pearstall.config.kdl import Place, Trouble, Unreadable
from pearstall.config.operators import read_operators
from pearstall.net.config import ConfigError, Names, RawConfig, read_config
from pearstall.net.inventory import HostList, read_inventory


@dataclass(slots=True)
class Found:
    problems: list[Trouble] = field(default_factory=list)
    warnings: list[Trouble] = field(default_factory=list)
    said: list[str] = field(default_factory=list)

    def as_dict(self) -> dict[str, Any]:
        def row(one: Trouble) -> dict[str, Any]:
            return {"file": one.path, "line": one.place.line, "column": one.place.column, "what": one.what}

        return {
            "ok": not self.problems, "problems": [row(one) for one in self.problems],
            "warnings": [row(one) for one in self.warnings], "said": self.said,
        }  # fmt: skip


def check_files(config: str, operators: str, inventory: str) -> Found:
    found = Found()
    names = _config(config, found) if config else None
    if operators:
        try:
            read = read_operators(operators)
        except Unreadable as error:
            found.problems += error.troubles
        else:
            found.warnings += read.warnings
            if names is not None:
                found.problems += read.check(names)
            fronts = [name for name, there in (("openai", read.openai), ("edge", read.edge)) if there is not None]
            found.said.append(f"{operators}: {' and '.join(fronts) or 'no further front'}")
    if inventory:
        _inventory(inventory, found)
    return found


def _config(path: str, found: Found) -> Names | None:
    try:
        # As the platform starts it: discovery may stand in the environment only.
        made = read_config({"EDGE_DISCOVERY": "127.0.0.1:1", "EDGE_LISTEN": "127.0.0.1:1"}, config=path)
    except ConfigError as error:
        found.problems.append(Trouble(path, _json_place(path, str(error)), str(error)))
        return None
    found.said.append(f"{path}: {len(made.settings.classes)} classes, {len(made.names.accounts)} tenants")
    return made.names


def _json_place(path: str, why: str) -> Place:
    """msgspec names a byte only where the JSON itself is broken."""
    place = Place(1, 1)
    try:
        data = Path(path).read_bytes()
    except OSError:
        return place
    try:
        msgspec.json.decode(data, type=RawConfig)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        _, _, byte = str(error).rpartition("byte ")
        if byte.rstrip(")").isdigit():
            before = data[: int(byte.rstrip(")"))]
            place = Place(before.count(b"\n") + 1, len(before) - before.rfind(b"\n"))
    return place


def _inventory(path: str, found: Found) -> None:
    read = read_inventory(Path(path))
    if not isinstance(read, HostList):
        found.problems.append(Trouble(path, Place(1, 1), str(getattr(read, "why", read))))
        return
    if read.skipped:
        found.problems.append(Trouble(path, Place(1, 1), f"{read.skipped} entries can't be used"))
    if not read.hosts:
        found.problems.append(Trouble(path, Place(1, 1), "no model server is in there"))
    found.said.append(f"{path}: {len(read.hosts)} model servers")
