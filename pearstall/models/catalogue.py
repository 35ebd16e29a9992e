"""The registry of models, and operations on them: searches, stored sequences, and the diagram of ask states."""

from __future__ import annotations

from collections.abc import Callable
from importlib import import_module
from pathlib import Path

import msgspec

from pearstall.models.explore import Breach, Machine, Model, SearchResult, cores, search, shrunk, trace_states

MODULES = {
    "attempt": "pearstall.models.attempt",
    "client": "pearstall.models.client",
    "session": "pearstall.models.session",
    "list": "pearstall.models.listing",
}


class Kept(msgspec.Struct, forbid_unknown_fields=True):
    """A sequence stored in a file, which the tests replay."""

    model: str
    shape: str
    sequence: list[str]
    guards: str = ""  # the failure that it guards against, in a sentence
    broke: str = ""  # the breach when it was found


def model(name: str) -> Model:
    """Returns the model of that name; raises KeyError if there is none."""
    found: Model = import_module(MODULES[name]).MODEL
    return found


def check(
    name: str,
    shape: str,
    deep: bool = False,
    workers: int = 0,
    depth: int = 0,
    reduce: bool = True,
    progress: Callable[[SearchResult, int], object] = lambda result, left: None,
) -> SearchResult:
    """Searches one shape to its CI depth or its deep one, and shrinks the sequence of a breach."""
    chosen = model(name)
    result = search(
        chosen,
        shape,
        depth or chosen.depths[shape][deep],
        MODULES[name],
        workers or cores(),
        reduce,
        progress=progress,
    )
    if result.breach is not None:
        result.breach = shrunk(chosen.shapes[shape], result.breach)
    return result


def untested(name: str, results: list[SearchResult]) -> list[str]:
    """Returns the properties that no search exercised, because their premise never held."""
    tested = {key for one in results for key, count in one.applied.items() if count}
    settled = any(one.settled for one in results)
    last = {"answered", "freed", "converges"} if settled else set()  # checked when states are settled
    return [one.name for one in model(name).properties if one.name not in tested | last]


def keep(breach: Breach, folder: Path) -> Path:
    folder.mkdir(parents=True, exist_ok=True)
    number = 1 + sum(1 for _ in folder.glob(f"{breach.model}-*.json"))
    file = folder / f"{breach.model}-{number}.json"
    kept = Kept(breach.model, breach.shape, breach.sequence, broke=breach.what)
    file.write_bytes(msgspec.json.format(msgspec.json.encode(kept), indent=1) + b"\n")
    return file


def read_kept(file: Path) -> Kept:
    """Reads a stored sequence. Raises ValueError with the reason if it is invalid."""
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
    return trace_states(machine(kept), kept.sequence)


def diagram() -> str:
    """Returns the transition table of an ask (edge/states.py) in DOT format."""
    from pearstall.edge.states import TABLE

    lines = ["digraph ask {", '  rankdir=LR; node [shape=box, fontname="sans-serif"]; edge [fontname="sans-serif"];']
    for (state, input), (after, effects) in TABLE.items():
        does = "\\n".join(effect.name.lower() for effect in effects)
        lines.append(f'  {state.name} -> {after.name} [label="{input.name.lower()}\\n{does}"];')
    return "\n".join([*lines, "}"])
