"""All models, and what is done with them: searches, sequences kept as files, the sessions' table drawn."""

from __future__ import annotations

from collections.abc import Callable
from importlib import import_module
from pathlib import Path

import msgspec

from pearstall.models.explore import Breach, Found, Machine, Model, cores, search, shrunk, told

MODULES = {
    "attempt": "pearstall.models.attempt",
    "client": "pearstall.models.client",
    "session": "pearstall.models.session",
    "list": "pearstall.models.listing",
}


class Kept(msgspec.Struct, forbid_unknown_fields=True):
    """A sequence in a file: tests play it again."""

    model: str
    shape: str
    sequence: list[str]
    guards: str = ""  # what it guards against, a sentence
    broke: str = ""  # what it broke when it was found


def model(name: str) -> Model:
    """A KeyError where there is none of that name."""
    found: Model = import_module(MODULES[name]).MODEL
    return found


def check(
    name: str,
    shape: str,
    deep: bool = False,
    workers: int = 0,
    depth: int = 0,
    reduce: bool = True,
    progress: Callable[[Found, int], object] = lambda found, left: None,
) -> Found:
    """One shape, to its depth in CI or to its deep one. A breach comes back shrunk."""
    chosen = model(name)
    found = search(
        chosen,
        shape,
        depth or chosen.depths[shape][deep],
        MODULES[name],
        workers or cores(),
        reduce,
        progress=progress,
    )
    if found.breach is not None:
        found.breach = shrunk(chosen.shapes[shape], found.breach)
    return found


def untested(name: str, found: list[Found]) -> list[str]:
    """Properties whose premise never held in any of these searches: they were not put to the test."""
    tested = {key for one in found for key, count in one.applied.items() if count}
    settled = any(one.settled for one in found)
    last = {"answered", "freed", "converges"} if settled else set()  # these are asked where a search ends
    return [one.name for one in model(name).properties if one.name not in tested | last]


def keep(breach: Breach, folder: Path) -> Path:
    folder.mkdir(parents=True, exist_ok=True)
    number = 1 + sum(1 for _ in folder.glob(f"{breach.model}-*.json"))
    file = folder / f"{breach.model}-{number}.json"
    kept = Kept(breach.model, breach.shape, breach.sequence, broke=breach.what)
    file.write_bytes(msgspec.json.format(msgspec.json.encode(kept), indent=1) + b"\n")
    return file


def read_kept(file: Path) -> Kept:
    """A ValueError says what is wrong with it."""
    try:
        kept = msgspec.json.decode(file.read_bytes(), type=Kept)
        machine(kept)
    except (msgspec.DecodeError, msgspec.ValidationError, UnicodeDecodeError) as error:
        raise ValueError(f"{file}: {error}") from None
    except KeyError as error:
        raise ValueError(f"{file}: no model or shape is called {error}") from None
    return kept


def machine(kept: Kept) -> Callable[[], Machine]:
    return model(kept.model).shapes[kept.shape]


def steps(kept: Kept) -> list[tuple[str, str]]:
    return told(machine(kept), kept.sequence)


def diagram() -> str:
    """The table of an ask's states (edge/states.py), in DOT."""
    from pearstall.edge.states import TABLE

    lines = ["digraph ask {", '  rankdir=LR; node [shape=box, fontname="sans-serif"]; edge [fontname="sans-serif"];']
    for (state, input), (after, effects) in TABLE.items():
        does = "\\n".join(effect.name.lower() for effect in effects)
        lines.append(f'  {state.name} -> {after.name} [label="{input.name.lower()}\\n{does}"];')
    return "\n".join([*lines, "}"])
