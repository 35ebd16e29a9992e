"""`pearstall check`: reports every problem of the given files, not only the first."""

from __future__ import annotations

from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec

from pearstall.config.kdl import Diagnostic, DocumentError, Place
from pearstall.config.operators import read_operators
from pearstall.net.config import ConfigError, Names, RawConfig, read_config
from pearstall.net.inventory import HostList, read_inventory


@dataclass(slots=True)
class CheckReport:
    """The outcome of a check. `summaries` has one line for each valid file."""

    problems: list[Diagnostic] = field(default_factory=list)
    warnings: list[Diagnostic] = field(default_factory=list)
    summaries: list[str] = field(default_factory=list)

    def as_dict(self) -> dict[str, Any]:
        def row(diagnostic: Diagnostic) -> dict[str, Any]:
            return {"file": diagnostic.path, "line": diagnostic.place.line, "column": diagnostic.place.column,
                    "what": diagnostic.message}  # fmt: skip

        return {
            "ok": not self.problems, "problems": [row(problem) for problem in self.problems],
            "warnings": [row(warning) for warning in self.warnings], "said": self.summaries,
        }  # fmt: skip


def check_files(config: str, operators: str, inventory: str) -> CheckReport:
    report = CheckReport()
    names = _config(config, report) if config else None
    if operators:
        try:
            settings = read_operators(operators)
        except DocumentError as error:
            report.problems += error.diagnostics
        else:
            report.warnings += settings.warnings
            if names is not None:
                report.problems += settings.check(names)
            fronts = [
                name for name, front in (("openai", settings.openai), ("edge", settings.edge)) if front is not None
            ]
            report.summaries.append(f"{operators}: {' and '.join(fronts) or 'no additional front'}")
    if inventory:
        _inventory(inventory, report)
    return report


def _config(path: str, report: CheckReport) -> Names | None:
    try:
        # Stands in for the platform's environment, which alone may name discovery and the listening address.
        config = read_config({"EDGE_DISCOVERY": "127.0.0.1:1", "EDGE_LISTEN": "127.0.0.1:1"}, config=path)
    except ConfigError as error:
        report.problems.append(Diagnostic(path, _json_place(path, str(error)), str(error)))
        return None
    report.summaries.append(f"{path}: {len(config.settings.classes)} classes, {len(config.names.accounts)} tenants")
    return config.names


def _json_place(path: str, reason: str) -> Place:
    """The place of a syntax error; msgspec gives no position for other errors, which are placed at 1:1."""
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


def _inventory(path: str, report: CheckReport) -> None:
    inventory = read_inventory(Path(path))
    if not isinstance(inventory, HostList):
        report.problems.append(Diagnostic(path, Place(1, 1), str(getattr(inventory, "why", inventory))))
        return
    if inventory.skipped:
        report.problems.append(
            Diagnostic(path, Place(1, 1), f"{inventory.skipped} entries are invalid and were skipped")
        )
    if not inventory.hosts:
        report.problems.append(Diagnostic(path, Place(1, 1), "the file lists no model server"))
    report.summaries.append(f"{path}: {len(inventory.hosts)} model servers")
