"""A run, watched live in the terminal: servers by load and state, answers, refusals, ejections. On textual.

The run is in a process of its own and sends a snapshot each simulated second; the screen shows them at the pace asked
for. To stop reading is to pause: the pipe fills and the run waits.
"""

from __future__ import annotations

import multiprocessing
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from multiprocessing.connection import Connection

from rich.text import Text
from textual.app import App, ComposeResult
from textual.containers import Horizontal
from textual.widgets import DataTable, Footer, Sparkline, Static

from pearstall.lab.world import Scenario, World, play

BARS = " ▁▂▃▄▅▆▇█"
MOST_SHOWN = 400  # servers on the grid


@dataclass(slots=True)
class Snapshot:
    """One simulated second. `servers`: name, how full (0 to 1), what ails it."""

    at: float
    asked: float
    worth: float
    tries: float
    refused: float
    executions: float
    open: int
    servers: list[tuple[str, float, str]] = field(default_factory=list)
    kinds: dict[str, int] = field(default_factory=dict)
    breaches: int = 0
    over: bool = False


def snapshot(world: World) -> Snapshot:
    at = world.loop.now - world.begin
    bin = max(0, min(world.bins - 1, int(at) - 1))
    sums = world.sums
    servers = []
    for name, server in list(world.servers.items())[:MOST_SHOWN]:
        settings = server.engine.settings
        ails = server.fault or ("dark" if name in world.network.dark else "")
        ails = ails or ("hung" if server.engine.hung else server.status if server.status != "ready" else "")
        servers.append((name, server.engine.load / (settings.slots + settings.queue), ails))
    return Snapshot(
        at, sums["asked"][bin], sums["worth"][bin], sums["tries"][bin], sums["refused"][bin], sums["executions"][bin],
        world.open, servers, dict(world.result.kinds), len(world.result.breaches),
    )  # fmt: skip


def produce(path: str, variant: str, seed: int, pace: float, to: Connection) -> None:
    """In the run's own process. `pace`: simulated seconds a second; 0: as fast as it goes."""
    from pearstall.lab.scenarios import read_plan

    scenario: Scenario = read_plan(path).named(variant)
    began = time.monotonic()

    def tell(world: World) -> None:
        made = snapshot(world)
        if pace:
            time.sleep(max(0.0, began + made.at / pace - time.monotonic()))
        to.send(made)

    try:
        found = play(scenario, seed, watch=tell)
        to.send(Snapshot(found.seconds, 0, found.worth, 0, 0, 0, 0, kinds=found.kinds, breaches=len(found.breaches),
                         over=True))  # fmt: skip
    except (BrokenPipeError, EOFError, OSError):
        pass  # the screen was closed


class Watch(App[int]):
    """`read` gives the next snapshot, or None where none has come yet."""

    CSS = """
    #top { height: 3; } #grid { height: auto; max-height: 50%; border: round $primary; padding: 0 1; }
    Sparkline { width: 1fr; height: 3; margin: 0 1; } .label { width: 12; content-align: right middle; height: 3; }
    DataTable { height: 1fr; }
    """
    BINDINGS = [("q", "quit", "Quit"), ("space", "pause", "Pause")]

    def __init__(self, title: str, read: Callable[[], Snapshot | None]) -> None:
        super().__init__()
        self.title = title
        self.read = read
        self.paused = False
        self.worths: list[float] = []
        self.tries: list[float] = []
        self.last: Snapshot | None = None

    def compose(self) -> ComposeResult:
        yield Static(id="head")
        with Horizontal(id="top"):
            yield Static("worth", classes="label")
            yield Sparkline([0.0], id="worth")
            yield Static("tries", classes="label")
            yield Sparkline([0.0], id="tries")
        yield Static(id="grid")
        yield DataTable(id="kinds")
        yield Footer()

    def on_mount(self) -> None:
        self.query_one(DataTable).add_columns("answers", "count")
        self.set_interval(0.1, self.look)

    def action_pause(self) -> None:
        self.paused = not self.paused

    def look(self) -> None:
        if not self.paused:
            while (found := self.read()) is not None:
                self.show(found)

    def show(self, found: Snapshot) -> None:
        self.last = found
        if not found.over:
            self.worths.append(found.worth / found.asked if found.asked else 0.0)
            self.tries.append(found.tries)
        state = "over" if found.over else f"{found.open} waiting"
        breaches = f", {found.breaches} BREACHES" if found.breaches else ""
        self.query_one("#head", Static).update(f" {self.title}: {found.at:.0f} s, {state}{breaches}")
        self.query_one("#worth", Sparkline).data = self.worths[-120:] or [0.0]
        self.query_one("#tries", Sparkline).data = self.tries[-120:] or [0.0]
        if found.servers:
            self.query_one("#grid", Static).update(grid(found.servers))
        table = self.query_one(DataTable)
        table.clear()
        for kind, count in sorted(found.kinds.items()):
            table.add_row(kind, str(count))


def grid(servers: list[tuple[str, float, str]]) -> Text:
    """One character a server: how full it is, red where it is sick, yellow where it drains."""
    out = Text()
    for _, full, ails in servers:
        color = "green" if full < 0.5 else "yellow" if full < 0.9 else "magenta"
        if ails:
            color = "yellow" if ails in ("draining", "gone") else "red"
        out.append(BARS[max(1, min(8, round(full * 8)))] if not ails else "×", color)
    sick = sorted({ails for _, _, ails in servers if ails})
    out.append(f"\n{len(servers)} servers" + (f"; {', '.join(sick)}" if sick else ""), "dim")
    return out


def watch(path: str, variant: str, seed: int, pace: float) -> int:
    """Until the run is over and the screen is closed."""
    context = multiprocessing.get_context("spawn")
    ours, theirs = context.Pipe(duplex=False)
    process = context.Process(target=produce, args=(path, variant, seed, pace, theirs), daemon=True)
    process.start()
    theirs.close()

    def read() -> Snapshot | None:
        try:
            return ours.recv() if ours.poll() else None
        except EOFError:
            return None

    app = Watch(f"{path}, {variant}, seed {seed}", read)
    try:
        app.run()
    finally:
        ours.close()
        process.terminate()
        process.join()
    return 1 if app.last is not None and app.last.breaches else 0
