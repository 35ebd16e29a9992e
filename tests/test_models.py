"""Tests the models: small searches, the mutants that they must detect, and the soundness of the reduction."""

from __future__ import annotations

import json
from pathlib import Path
from random import Random
from typing import Any

import pytest
from click.testing import CliRunner
from hypothesis import given
from hypothesis import strategies as st

from pearstall.cli.main import commands
from pearstall.models import catalogue
from pearstall.models.attempt import AttemptMachine
from pearstall.models.explore import SearchResult, digest, first_breach, replayed, search, settled, shrunk, step
from pearstall.models.listing import ListMachine
from pearstall.models.mutants import MUTANTS, Mutant, Stale, applied
from pearstall.models.session import SessionMachine
from tests.net_support import cut_settings

HERE = Path(__file__).parent
DEPTHS = {
    ("attempt", "one"): 5, ("attempt", "one, other draw"): 4, ("attempt", "two"): 4, ("attempt", "two, ending"): 4,
    ("attempt", "whole answers"): 5, ("attempt", "second copies"): 4, ("session", "one ask"): 7,
    ("session", "two asks"): 5, ("session", "slow readers"): 7, ("client", "pipelined"): 8,
    ("client", "malformed"): 7, ("client", "HTTP/1.0"): 7, ("list", "changes"): 5, ("list", "broken watch"): 5,
}  # fmt: skip


@pytest.mark.parametrize("name", list(catalogue.MODULES))
def test_every_order_of_a_few_events_keeps_every_property(name: str) -> None:
    """Runs small searches; `pearstall model check` searches deeper."""
    chosen = catalogue.model(name)
    found = [search(chosen, shape, DEPTHS[name, shape], reduce=True) for shape in chosen.shapes]
    assert not [(row.breach.what, row.breach.sequence) for row in found if row.breach is not None]
    assert all(row.states > 200 for row in found)
    assert not catalogue.untested(name, found)


@pytest.mark.parametrize("mutant", MUTANTS, ids=[mutant.name for mutant in MUTANTS])
def test_a_plausible_mistake_is_found(mutant: Mutant) -> None:
    chosen = catalogue.model(mutant.model)
    with applied(mutant):
        breach = search(chosen, mutant.shape, mutant.depth).breach
        assert breach is not None, f"{mutant.name}: not found within {mutant.depth} events"
        smaller = shrunk(chosen.shapes[mutant.shape], breach)
        assert smaller.property == breach.property and len(smaller.sequence) <= len(breach.sequence)
    assert first_breach(chosen.shapes[mutant.shape], smaller.sequence) is None  # the unchanged code passes


def test_a_mutant_whose_code_has_moved_on_says_so() -> None:
    with pytest.raises(Stale), applied(Mutant("x", "pearstall.net.core:Core.take", "no such code", "", "", "", 1)):
        pass


def test_the_reduction_reaches_the_same_states_and_its_pairs_commute() -> None:
    chosen = catalogue.model("attempt")
    whole, reduced = (search(chosen, "two", 4, reduce=answer) for answer in (False, True))
    assert whole.states == reduced.states
    assert reduced.slept and reduced.transitions < whole.transitions
    random, pairs = Random(3), 0
    make = chosen.shapes["two"]
    for _ in range(400):
        machine, names = make(), []
        for _ in range(random.randint(2, 9)):
            events = machine.events()
            if not events:
                break
            names.append(random.choice(events))
            machine.apply(names[-1])
        events = machine.events()
        for one in events:
            for other in events:
                if one < other and chosen.independent(one, other):
                    pairs += 1
                    ends = [digest(replayed(make, [*names, *order])) for order in ((one, other), (other, one))]
                    assert ends[0] == ends[1], (names, one, other)
    assert pairs > 100


def test_workers_find_what_one_process_finds() -> None:
    chosen = catalogue.model("session")
    alone = search(chosen, "one ask", 6)
    together = search(chosen, "one ask", 6, catalogue.MODULES["session"], workers=2)
    assert (alone.states, alone.levels, alone.transitions) == (together.states, together.levels, together.transitions)


@pytest.mark.parametrize("file", sorted(HERE.glob("sequences/*.json")), ids=lambda file: file.stem)
def test_kept_sequences_break_nothing(file: Path) -> None:
    kept = catalogue.read_kept(file)
    assert first_breach(catalogue.machine(kept), kept.sequence) is None, kept.guards
    machine = catalogue.machine(kept)()
    for name in kept.sequence:
        assert name in machine.events(), f"{name} is not enabled there any more"
        machine.apply(name)


@cut_settings
@given(st.integers(0, 2), st.lists(st.integers(0, 10**6), max_size=60))
def test_longer_walks_through_larger_worlds_keep_every_property(which: int, draws: list[int]) -> None:
    """Covers sizes that are too large for a search: more queries, servers and asks, and sixty events."""
    machine: Any = (AttemptMachine(4, 4, 0.6, 4, True, 3), SessionMachine(3, 6, 2, True), ListMachine(8, 4, 3))[which]
    for draw in draws:
        events = machine.events()
        if not events:
            break
        assert not step(machine, events[draw % len(events)])
    assert not settled(machine)


def test_models_from_the_command_line(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    def call(*words: object) -> Any:
        return CliRunner().invoke(commands, ["model", *map(str, words)])

    listed = json.loads(call("list", "--json").output)
    assert [row["model"] for row in listed] == ["attempt", "client", "session", "list"]
    assert "never-two-out" in call("explain", "attempt").output
    done = call("check", "session", "--shape", "one ask", "--depth", 4, "--workers", 1, "--json")
    assert done.exit_code == 0 and json.loads(done.output)["searches"][0]["states"] > 100
    assert call("check", "session", "--shape", "odd").exit_code == 2
    assert "RUNNING_HELD -> ENDED_HELD" in call("diagram").output
    with applied(MUTANTS[0]):
        broken = call("check", "attempt", "--shape", "one", "--depth", 3, "--workers", 1, "--keep", tmp_path)
        assert broken.exit_code == 1 and "let-go" in broken.output
        (file,) = tmp_path.glob("*.json")
        again = call("replay", file)
        assert again.exit_code == 1 and "let-go" in again.output
    assert call("replay", file).exit_code == 0
    file.write_text('{"model": "odd", "shape": "x", "sequence": []}')
    assert "no model or shape" in call("replay", file).output
    # A property whose premise never held counts as a failure.
    assert catalogue.untested("list", [SearchResult("list", "changes")])
