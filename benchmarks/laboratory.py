"""The laboratory's own speed: engine tokens and callbacks per second, and the cost of a run by its size.

    python benchmarks/laboratory.py [--sizes 4x20,20x200,100x2000] [--seeds 200] [--devices 500,2000]
                                    [--no-fidelity] [--json] [--plots FOLDER]

Sizes are routers x servers; the load grows with the servers. Each size runs in its own process. `--seeds` runs that
many seeds of mixed faults on all cores and counts breaches. `--devices`: worlds with these numbers of devices at the
routers' edges, each with a session. Fidelity runs the same days in virtual time and on real loopback sockets.
"""

from __future__ import annotations

import argparse
import concurrent.futures
import json
import multiprocessing
import sys
import time
from pathlib import Path
from typing import Any

ROOT = Path(__file__).parent.parent
sys.path.insert(0, str(ROOT))

from benchmarks.common import main, resident, run_in_new_process  # noqa: E402
from pearstall.lab.clock import VirtualLoop  # noqa: E402
from pearstall.lab.devices import Devices  # noqa: E402
from pearstall.lab.engine import Engine, EngineSettings  # noqa: E402
from pearstall.lab.world import Fault, Klass, Scenario, play, play_on_sockets  # noqa: E402

SCRIPT = str(Path(__file__))
MIXED = Scenario(
    seconds=15, routers=4, servers=12, zones=2, tenants=2, rate=lambda t: 20.0, most_rate=20.0,
    classes=[Klass("chat"), Klass("agent", aim=2.0, give_up=6.0)],
    faults=[Fault("errors", 1, 3, count=1), Fault("lost", 2, 4, count=1), Fault("replace", 4, 5, count=4),
            Fault("kill-router", 5, 1, count=1), Fault("garbles", 9, 2, count=1),
            Fault("term-router", 8, 0.5, count=1),
            Fault("list-down", 1, 2), Fault("stalls", 5, 3, count=1), Fault("hang", 11, 2, count=1),
            Fault("partition", 12, 1), Fault("slow", 3, 6, count=2), Fault("list-lag", 4, 6, factor=1.0),
            Fault("silent", 6, 2, count=1)],
)  # fmt: skip


def engine() -> dict[str, float]:
    """Tokens per second on one core, from an engine without servers or routers."""
    loop = VirtualLoop()
    made = Engine(EngineSettings(slots=32, queue=1000, blocks=100_000), loop)
    received = 0

    def on_tokens(count: int, done: bool) -> None:
        nonlocal received
        received += count

    for number in range(1000):
        made.submit(500, [(number % 20, at) for at in range(31)], 400, on_tokens)
    began = time.perf_counter()
    while made.load:
        loop._run_once()  # type: ignore[attr-defined]
    seconds = time.perf_counter() - began
    return {"tokens_a_second": received / seconds, "steps_a_second": made.counters.steps / seconds}


def size(routers: int, servers: int, seconds: float) -> dict[str, Any]:
    """A day without overload at this size: the load is half of the servers' capacity."""
    rate = 0.7 * servers
    scenario = Scenario(seconds=seconds, routers=routers, servers=servers, rate=lambda t: rate, most_rate=rate,
                        classes=[Klass("chat")],
                        faults=[Fault("slow", seconds / 3, seconds / 3, share=0.05)])  # fmt: skip
    before = resident()
    result = play(scenario, 1)
    return {
        "routers": routers, "servers": servers, "asked": result.asked, "worth": result.worth,
        "breaches": len(result.breaches), "simulated_s": result.seconds, "real_s": result.real_seconds,
        "callbacks_a_second": result.events / result.real_seconds,
        "us_an_ask": result.real_seconds / result.asked * 1e6,
        "memory_mb": (resident() - before) / 1e6, "sessions": scenario.most_rate * seconds, "digest": result.digest,
    }  # fmt: skip


def devices(count: int) -> dict[str, Any]:
    """`count` phones that send about one ask each and move between cells; in the middle all connections are reset."""
    scenario = Scenario(
        seconds=30, routers=10, servers=max(20, count // 40), zones=2, rate=lambda t: 2.0, most_rate=2.0,
        classes=[Klass("chat", give_up=6.0)],
        devices=[Devices("phones", count, "mobile", every=30.0, moves=40.0)],
        faults=[Fault("reconnect-storm", 15.0)],
    )  # fmt: skip
    before = resident()
    result = play(scenario, 1)
    waits = sorted(result.device_waits)
    return {
        "devices": count, "asked": result.devices["asked"], "attempts": result.devices["attempts"],
        "held_served": result.devices["held served"], "wait_p99": waits[len(waits) * 99 // 100],
        "breaches": len(result.breaches), "simulated_s": result.seconds, "real_s": result.real_seconds,
        "ms_an_ask": result.real_seconds / result.devices["asked"] * 1000, "memory_mb": (resident() - before) / 1e6,
    }  # fmt: skip


DAYS = {
    "calm": [],
    "faults": [
        Fault("slow", 2, 5, count=2, factor=6), Fault("errors", 5, 4, count=1), Fault("silent", 8, 4, count=1),
    ],
    "crowd": [Fault("gray", 4, 4, count=1)],
}  # fmt: skip
POLICIES: dict[str, dict[str, Any]] = {
    "ours": {}, "one attempt": {"settings": {"maxAttempts": 1}},
    "no ejection": {"constants": {"MAX_EJECTION_PERCENT": 0}},
}  # fmt: skip


def fidelity(day: str, policy: str, where: str) -> dict[str, Any]:
    """One run of a day: 15 s, 2 routers, 6 servers. Load and random draws are the same in both environments."""
    rate = 22.0 if day == "crowd" else 6.0
    scenario = Scenario(seconds=15, routers=2, servers=6, rate=lambda t: rate, most_rate=rate, latency=0.00005,
                        jitter=0.0, faults=DAYS[day], **POLICIES[policy])  # fmt: skip
    result = (play if where == "virtual" else play_on_sockets)(scenario, 7)
    waits = sorted(result.first["chat"])
    return {
        "day": day, "policy": policy, "where": where, "asked": result.asked, "worth": result.worth,
        "executions": result.executions, "made": result.made, "breaches": len(result.breaches), "kinds": result.kinds,
        **{f"p{part}": waits[len(waits) * part // 100] for part in (50, 90, 99)}, "real_s": result.real_seconds,
    }  # fmt: skip


def one_seed(seed: int) -> tuple[int, str, float, list[str]]:
    result = play(MIXED, seed)
    return seed, result.digest, result.worth, result.breaches


def seeds(count: int) -> dict[str, Any]:
    began = time.perf_counter()
    context = multiprocessing.get_context("spawn")
    with concurrent.futures.ProcessPoolExecutor(mp_context=context) as pool:
        rows = list(pool.map(one_seed, range(1, count + 1)))
        again = list(pool.map(one_seed, range(1, 9)))
    return {
        "seeds": count, "seconds": time.perf_counter() - began, "digests": len({row[1] for row in rows}),
        "repeated_alike": sum(a[1] == b[1] for a, b in zip(rows, again, strict=False)), "of": len(again),
        "worth": sum(row[2] for row in rows) / len(rows), "breaches": [text for row in rows for text in row[3]],
    }  # fmt: skip


def measure(arguments: argparse.Namespace) -> dict[str, Any]:
    result: dict[str, Any] = {"engine": run_in_new_process(SCRIPT, "--part", "engine"), "sizes": []}
    for text in arguments.sizes.split(","):
        print(f"size {text}", file=sys.stderr, flush=True)
        routers, _, servers = text.partition("x")
        seconds = max(4.0, min(40.0, 4000 / int(servers)))
        result["sizes"].append(run_in_new_process(SCRIPT, "--part", "size", routers, servers, str(seconds)))
    result["devices"] = []
    for text in arguments.devices.split(",") if arguments.devices else ():
        print(f"devices {text}", file=sys.stderr, flush=True)
        result["devices"].append(run_in_new_process(SCRIPT, "--part", "devices", text))
    if arguments.fidelity:
        result["fidelity"] = []
        for day in DAYS:
            for policy in POLICIES:
                print(f"fidelity: {day}, {policy}", file=sys.stderr, flush=True)
                for where in ("virtual", "sockets"):
                    result["fidelity"].append(run_in_new_process(SCRIPT, "--part", "fidelity", day, policy, where))
    if arguments.seeds:
        print(f"{arguments.seeds} seeds", file=sys.stderr, flush=True)
        result["seeds"] = run_in_new_process(SCRIPT, "--part", "seeds", str(arguments.seeds))
    return result


def show(result: dict[str, Any]) -> None:
    print(f"engine: {result['engine']['tokens_a_second']:,.0f} tokens per second, "
          f"{result['engine']['steps_a_second']:,.0f} steps")  # fmt: skip
    for row in result["sizes"]:
        print(
            f"{row['routers']:>4} x {row['servers']:<5} {row['asked']:>6} asks: {row['simulated_s']:.0f} s in "
            f"{row['real_s']:.1f} s, {row['callbacks_a_second']:,.0f} callbacks per second, "
            f"{row['us_an_ask']:,.0f} us per ask, "
            f"{row['memory_mb']:.0f} MB, {row['breaches']} breaches, worth {row['worth']:.3f}"
        )
    for row in result["devices"]:
        print(f"{row['devices']:>6} devices: {row['asked']} asks over {row['attempts']} connections, "
              f"{row['held_served']} served, wait p99 {row['wait_p99']:.1f} s; {row['simulated_s']:.0f} s in "
              f"{row['real_s']:.0f} s, {row['ms_an_ask']:.1f} ms per ask, {row['memory_mb']:.0f} MB, "
              f"{row['breaches']} breaches")  # fmt: skip
    for row in result.get("fidelity", []):
        print(f"{row['day']:<7}{row['policy']:<12}{row['where']:<8} worth {row['worth']:.4f}  p50 {row['p50']:.3f}  "
              f"p90 {row['p90']:.3f}  p99 {row['p99']:.3f}  {row['executions']} executions, {row['made']} tokens, "
              f"{row['breaches']} breaches")  # fmt: skip
    if "seeds" in result:
        row = result["seeds"]
        print(f"{row['seeds']} seeds of mixed faults in {row['seconds']:.0f} s: {len(row['breaches'])} breaches, "
              f"{row['digests']} digests, {row['repeated_alike']} of {row['of']} repeated alike, "
              f"worth {row['worth']:.3f}")  # fmt: skip
        for text in row["breaches"][:10]:
            print("  " + text)


def plot(result: dict[str, Any], folder: Path) -> None:
    from pearstall.lab.plots import figure, save

    drawing, (left, right) = figure(columns=2)
    servers = [row["servers"] for row in result["sizes"]]
    left.plot(servers, [row["us_an_ask"] for row in result["sizes"]], marker="o")
    left.set_ylabel("CPU us per ask")
    right.plot(servers, [row["memory_mb"] for row in result["sizes"]], marker="o")
    right.set_ylabel("MB")
    for axes in (left, right):
        axes.set_xscale("log")
        axes.set_xlabel("servers")
        axes.set_ylim(bottom=0)
    save(drawing, folder / "laboratory.svg")


def part(words: list[str]) -> None:
    what, *rest = words
    if what == "engine":
        print(json.dumps(engine()))
    elif what == "size":
        print(json.dumps(size(int(rest[0]), int(rest[1]), float(rest[2]))))
    elif what == "devices":
        print(json.dumps(devices(int(rest[0]))))
    elif what == "fidelity":
        print(json.dumps(fidelity(*rest)))
    elif what == "seeds":
        print(json.dumps(seeds(int(rest[0]))))


def options(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--sizes", default="4x20,20x200,100x2000")
    parser.add_argument("--seeds", type=int, default=200)
    parser.add_argument("--devices", default="500,2000")
    parser.add_argument("--no-fidelity", dest="fidelity", action="store_false")


if __name__ == "__main__":
    if sys.argv[1:2] == ["--part"]:
        part(sys.argv[2:])
    else:
        main(str(__doc__), measure, show, plot, options)
