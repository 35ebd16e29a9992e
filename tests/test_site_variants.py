"""The script that writes variants of a site: how the variants differ, and the message for a missing kit."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Any

import pytest
import tomli_w

from benchmarks import site_variants
from benchmarks.site_variants import COMPANION_FILES, write_variants

PROMPTS = {"turns": [4.0, 6.0], "token_ms": 90, "prefixes": [2, 5]}
SITE: dict[str, Any] = {
    "name": 'a "site"',
    "net": {"zones": ["a", "b", "c"], "jitter": 0.1},
    "clients": {"marks_retry": True, "backoff": ["none"], "retries": [1, 2]},
    "allow": {"max_attempts": 3, "cancel": True},
    "discovery": {"mode": "ask"},
    "rules": {"drain_grace_ms": 500, "fall_ms": 2000},
    "prices": {"waste": 0.1},
    "tier": [{"name": "t", "conn": {"idle_s": 30, "connect_timeout_ms": 250}, "kind": [{"name": "k"}]}],
    "class": [{"name": "x", "effect": "safe", "deadline_ms": 5000}, {"name": "y", "effect": "safe"}],
    "tenant": [{"name": "one", "share": 0.9}],
    "fam": {"resume": True, "class": [PROMPTS, PROMPTS | {"token_ms": 40}]},
}


def variants(folder: Path) -> list[dict[str, Any]]:
    (folder / "site.toml").write_text(tomli_w.dumps(SITE))
    for name in COMPANION_FILES:
        (folder / name).write_text(name)
    paths = write_variants(folder / "site.toml", folder / "out")
    assert all((folder / "out" / name).read_text() == name for name in COMPANION_FILES)
    return [tomllib.loads(path.read_text()) for path in paths]


def test_the_variants_differ_from_the_site_and_from_each_other(tmp_path: Path) -> None:
    sites = [SITE, *variants(tmp_path)]
    for property_of in (
        lambda site: {row["name"] for row in site["class"]},
        lambda site: len(site["class"]),
        lambda site: sorted(row["effect"] for row in site["class"]),
        lambda site: [row["share"] for row in site["tenant"]],
        lambda site: min(row.get("deadline_ms", 9999) for row in site["class"]),
        lambda site: site["rules"]["drain_grace_ms"],
        lambda site: site["prices"]["waste"],
    ):
        values = [property_of(site) for site in sites]
        assert all(values.count(value) == 1 for value in values)
    for site in sites[1:]:
        assert len(site["fam"]["class"]) == len(site["class"])
    windows = [row["window_ms"] for site in sites[1:] for row in site["class"] if "window_ms" in row]
    assert len(set(windows)) == len(windows) == 4


def test_a_missing_kit_is_reported_in_one_line(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    monkeypatch.setattr("sys.argv", ["site_variants.py", str(tmp_path / "none.toml"), "--output", str(tmp_path)])
    assert site_variants.main() == 2
    assert capsys.readouterr().err == f"no kit here: {tmp_path / 'none.toml'} is missing\n"
