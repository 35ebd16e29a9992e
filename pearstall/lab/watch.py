"""Shows a run live in the terminal (with textual): servers by load and state, worth, tries and answers.

The run is in a separate process and sends a snapshot per simulated second at the requested speed. A paused screen
stops reading, so that the pipe fills and the run blocks.
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
MAX_SERVERS_SHOWN = 400  # servers on the grid


@dataclass(slots=True)
class Snapshot:
    """One simulated second. `servers`: name, utilization (0 to 1), fault or state (empty if healthy)."""

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
    second = max(0, min(world.bins - 1, int(at) - 1))
    sums = world.sums
    servers = []
    for name, server in list(world.servers.items())[:MAX_SERVERS_SHOWN]:
        settings = server.engine.settings
        condition = server.fault or ("unreachable" if name in world.network.unreachable else "")
        condition = condition or ("hung" if server.engine.hung else server.status if server.status != "ready" else "")
        servers.append((name, server.engine.load / (settings.slots + settings.queue), condition))
    return Snapshot(
        at, sums["asked"][second], sums["worth"][second], sums["tries"][second], sums["refused"][second],
        sums["executions"][second],
        world.open, servers, dict(world.result.kinds), len(world.result.breaches),
    )  # fmt: skip


def produce(path: str, variant: str, seed: int, pace: float, sender: Connection) -> None:
    """Runs the scenario, in its own process. `pace`: simulated seconds per second; 0: unlimited."""
    from pearstall.lab.scenarios import read_plan

    scenario: Scenario = read_plan(path).named(variant)
    began = time.monotonic()

    def send_snapshot(world: World) -> None:
        made = snapshot(world)
        if pace:
            time.sleep(max(0.0, began + made.at / pace - time.monotonic()))
        sender.send(made)

    try:
        result = play(scenario, seed, watch=send_snapshot)
        sender.send(Snapshot(result.seconds, 0, result.worth, 0, 0, 0, 0, kinds=result.kinds,
                         breaches=len(result.breaches), over=True))  # fmt: skip
    except (BrokenPipeError, EOFError, OSError):
        pass  # the screen was closed


class Watch(App[int]):
    """The screen. `read` returns the next snapshot, or None if none has arrived."""

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
        self.set_interval(0.1, self.read_snapshots)

    def action_pause(self) -> None:
        self.paused = not self.paused

    def read_snapshots(self) -> None:
        if not self.paused:
            while (latest := self.read()) is not None:
                self.show(latest)

    def show(self, latest: Snapshot) -> None:
        self.last = latest
        if not latest.over:
            self.worths.append(latest.worth / latest.asked if latest.asked else 0.0)
            self.tries.append(latest.tries)
        state = "finished" if latest.over else f"{latest.open} waiting"
        breaches = f", {latest.breaches} BREACHES" if latest.breaches else ""
        self.query_one("#head", Static).update(f" {self.title}: {latest.at:.0f} s, {state}{breaches}")
        self.query_one("#worth", Sparkline).data = self.worths[-120:] or [0.0]
        self.query_one("#tries", Sparkline).data = self.tries[-120:] or [0.0]
        if latest.servers:
            self.query_one("#grid", Static).update(grid(latest.servers))
        table = self.query_one(DataTable)
        table.clear()
        for kind, count in sorted(latest.kinds.items()):
            table.add_row(kind, str(count))


def grid(servers: list[tuple[str, float, str]]) -> Text:
    """One character per server: its utilization; a red cross if it is faulty, a yellow one if it is draining."""
    out = Text()
    for _, utilization, condition in servers:
        color = "green" if utilization < 0.5 else "yellow" if utilization < 0.9 else "magenta"
        if condition:
            color = "yellow" if condition in ("draining", "gone") else "red"
        out.append(BARS[max(1, min(8, round(utilization * 8)))] if not condition else "×", color)
    conditions = sorted({condition for _, _, condition in servers if condition})
    out.append(f"\n{len(servers)} servers" + (f"; {', '.join(conditions)}" if conditions else ""), "dim")
    return out


def watch(path: str, variant: str, seed: int, pace: float) -> int:
    """Shows a run until the screen is closed. Returns 1 if a rule was broken, else 0."""
    context = multiprocessing.get_context("spawn")
    receiver, sender = context.Pipe(duplex=False)
    process = context.Process(target=produce, args=(path, variant, seed, pace, sender), daemon=True)
    process.start()
    sender.close()

    def read() -> Snapshot | None:
        try:
            return receiver.recv() if receiver.poll() else None
        except EOFError:
            return None

    app = Watch(f"{path}, {variant}, seed {seed}", read)
    try:
        app.run()
    finally:
        receiver.close()
        process.terminate()
        process.join()
    return 1 if app.last is not None and app.last.breaches else 0
