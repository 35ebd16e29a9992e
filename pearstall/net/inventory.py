"""Lists of model servers: discovery's JSON, and inventories in CSV or YAML as configuration tools write them."""

from __future__ import annotations

import csv
import io
from collections.abc import Iterable
from pathlib import Path
from typing import Annotated, Any

import msgspec

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=256)]


class Host(msgspec.Struct, frozen=True):
    """One entry. `address` may be empty only if the status is "gone"."""

    name: Name
    address: str = ""
    zone: str = ""
    type: str = ""
    group: Annotated[int, msgspec.Meta(ge=0)] = 0
    status: str = "ready"
    weight: Annotated[float, msgspec.Meta(ge=0)] = 1.0
    since_ms: Annotated[float, msgspec.Meta(ge=0, lt=1e15)] = 0


class _Message(msgspec.Struct):
    index: int
    snapshot: bool
    endpoints: list[msgspec.Raw]


class HostList(msgspec.Struct):
    """A whole list if `snapshot` is set, else the changes. `skipped` counts invalid and duplicate entries."""

    hosts: list[Host] = []
    index: int = -1
    snapshot: bool = True
    skipped: int = 0


class BadList(msgspec.Struct, frozen=True):
    why: str


def read_host_list(data: bytes) -> HostList | BadList:
    """Decodes one message of discovery. An invalid entry is skipped, so that it does not hide the others."""
    try:
        message = msgspec.json.decode(data, type=_Message)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return BadList(str(error))
    result = HostList(index=message.index, snapshot=message.snapshot)
    for raw in message.endpoints:
        try:
            host = msgspec.json.decode(raw, type=Host)
        except (msgspec.DecodeError, UnicodeDecodeError):
            result.skipped += 1
            continue
        _add_host(result, host, not message.snapshot)
    latest = {host.name: host for host in result.hosts}  # of several entries with one name, the last counts
    result.skipped += len(result.hosts) - len(latest)
    result.hosts = list(latest.values())
    return result


def _add_host(result: HostList, host: Host, changes: bool) -> None:
    states = ("ready", "draining", "gone") if changes else ("ready", "draining")
    if host.status not in states or (host.status != "gone" and split_address(host.address) is None):
        result.skipped += 1
    else:
        result.hosts.append(host)


def split_address(text: str) -> tuple[str, int] | None:
    host, colon, port = text.rpartition(":")
    host = host.removeprefix("[").removesuffix("]")
    if not colon or not host or not (port.isascii() and port.isdecimal()) or not 0 < int(port) <= 65535:
        return None
    return host, int(port)


def read_inventory(path: Path) -> HostList | BadList:
    """Reads a file by its extension: CSV with a header row, or YAML, with a list of hosts or groups as in Ansible."""
    try:
        text = path.read_text(encoding="utf-8-sig")
    except (OSError, UnicodeDecodeError) as error:
        return BadList(f"{path.name}: {error}")
    return read_csv(text) if path.suffix.lower() == ".csv" else read_yaml(text)


def read_csv(text: str) -> HostList | BadList:
    rows = csv.DictReader(io.StringIO(text), skipinitialspace=True, strict=True)
    try:
        fields = [name.strip().lower() for name in rows.fieldnames or []]
        if "name" not in fields or "address" not in fields:
            return BadList("the first row must name the columns, including name and address")
        rows.fieldnames = fields
        return _hosts(
            {key: value.strip() for key, value in row.items() if key and value and value.strip()}
            for row in rows
            if any(row.values()) and not str(row["name"] or "").startswith("#")
        )
    except csv.Error as error:
        return BadList(str(error))


def read_yaml(text: str) -> HostList | BadList:
    import yaml  # the import takes a tenth of a router's start, and the platform reads no YAML

    try:
        tree = yaml.safe_load(text)
    except (yaml.YAMLError, ValueError, RecursionError) as error:
        return BadList(" ".join(str(error).split()))
    if isinstance(tree, dict) and isinstance(tree.get("hosts"), list):
        tree = tree["hosts"]
    if isinstance(tree, list):
        return _hosts(tree)
    if not isinstance(tree, dict):
        return BadList("expected a list of hosts or a mapping of groups")
    entries: dict[str, dict[str, Any]] = {}
    try:
        for name, group in tree.items():
            _read_group(str(name), group, {}, entries, 0)
    except ValueError as error:
        return BadList(str(error))
    return _hosts(entries.values())


def _read_group(
    name: str, group: Any, inherited: dict[str, Any], entries: dict[str, dict[str, Any]], depth: int
) -> None:
    """Reads a group in Ansible's form: hosts, children and vars. Values nearer to the host take precedence."""
    if group is None:
        return
    if not isinstance(group, dict) or depth > 32:
        raise ValueError(f"group {name}: expected a mapping with hosts, vars and children, nested at most 32 deep")
    parts = [group.get(key) or {} for key in ("vars", "hosts", "children")]
    if not all(isinstance(part, dict) for part in parts):
        raise ValueError(f"group {name}: vars, hosts and children must be mappings")
    variables, hosts, children = parts
    values = inherited | variables
    for host, own_values in hosts.items():
        entry = entries.setdefault(str(host), {"name": str(host)})
        entry.update(values)
        entry.update(own_values if isinstance(own_values, dict) else {})
    for child, child_group in children.items():
        _read_group(str(child), child_group, values, entries, depth + 1)


def _hosts(rows: Iterable[Any]) -> HostList:
    result = HostList()
    seen: set[str] = set()
    for row in rows:
        if isinstance(row, dict) and "address" not in row and "ansible_host" in row:
            row = {**row, "address": f"{row['ansible_host']}:{row.get('ansible_port', 8000)}"}
        try:
            host = msgspec.convert(row, Host, strict=False)
        except msgspec.ValidationError:
            result.skipped += 1
            continue
        if host.name in seen:
            result.skipped += 1
            continue
        seen.add(host.name)
        _add_host(result, host, False)
    return result
