"""The laboratory: the ledger detects planted errors, shaped connections follow their profile, a small run passes."""

from __future__ import annotations

import asyncio
import json
from copy import deepcopy
from pathlib import Path
from random import Random

import pytest

from pearstall.cli.main import main
from pearstall.edge.client import DeviceAsk
from pearstall.edge.records import Final, Kind
from pearstall.lab.ledger import Ledger
from pearstall.lab.poor_links import run
from pearstall.lab.servers import Behaviour, Execution, ExecutionLog, answer
from pearstall.lab.shaper import LOCAL, Profile, Shaper

WHOLE = answer("d.a", 1, Random(1), Behaviour())


def ledger() -> tuple[Ledger, DeviceAsk, Execution]:
    """A ledger with one ask that went without errors, the ask and its execution."""
    log = ExecutionLog()
    execution = Execution("d.a", 0, "serve", 1.0, 2.0, list(WHOLE), True)
    log.by_txn["d.a"] = [execution]
    out, ask = Ledger(log), DeviceAsk("a", {})
    ask.take(1, list(WHOLE), 1.5)
    ask.end(Final(len(WHOLE) + 1, Kind.SERVED))
    out.record_ask("d", ask)
    out.note("final", device="d", ask="a", kind="served", number=len(WHOLE) + 1, executions=1)
    return out, ask, execution


def test_the_ledger_detects_planted_errors() -> None:
    faultless, _, _ = ledger()
    assert not faultless.check()

    def rules(fault: str) -> set[str]:
        checked, ask, execution = ledger()
        if fault == "duplicate":
            ask.take(len(WHOLE), [WHOLE[-1]], 1.6)
        elif fault == "gap":
            del ask.events[1]
        elif fault == "swapped":
            ask.events[1], ask.events[2] = ask.events[2], ask.events[1]
        elif fault == "a byte":
            ask.events[1] = ask.events[1].replace(b"1:", b"2:")
        elif fault == "double execution":
            checked.execution_log.overlapping.append("d.a")
        elif fault == "four executions":
            checked.execution_log.by_txn["d.a"] = [deepcopy(execution) for _ in range(4)]
        elif fault == "hidden execution":
            checked.execution_log.by_txn["d.a"] = [execution, deepcopy(execution)]
        elif fault == "two final records":
            ask.end(Final(len(WHOLE) + 1, Kind.CUT))
        elif fault == "two final notes":
            checked.note("final", device="d", ask="a", kind="served", number=len(WHOLE) + 1, executions=1)
        elif fault == "no final record":
            ask.final = None
        elif fault == "refused though served":
            ask.final = Final(1, Kind.REFUSED)
            ask.events.clear()
        elif fault == "of two executions":
            other = answer("d.a", 2, Random(1), Behaviour())
            ask.events[2:] = other[2:]
        return {breach.rule for breach in checked.check()}

    assert "order" in rules("duplicate") and "content" in rules("gap") & rules("swapped") & rules("a byte")
    assert rules("double execution") == {"two out"} and "executions" in rules("four executions")
    assert rules("hidden execution") == {"executions"} and "content" in rules("of two executions")
    assert "one final record" in rules("two final records") | rules("no final record")
    assert rules("two final notes") == {"one final record"} == rules("no final record")
    assert "order" in rules("two final records") and "content" in rules("refused though served")


@pytest.mark.parametrize("end", ["cut", "close", "silent"])
def test_a_shaped_connection_ends_as_planned_after_the_planned_bytes(end: str) -> None:
    async def scene() -> None:
        async def echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while data := await reader.read(1000):
                writer.write(data)
            writer.close()

        server = await asyncio.start_server(echo, LOCAL, 0)
        ends = {"cut": 0.0, "close": 0.0, "silent": 0.0} | {end: 1.0}
        profile = Profile(delay=(0.001, 0.001), loss=0.2, timeout=0.002, after=(1000, 1000), silence=0.05, **ends)
        async with Shaper(server.sockets[0].getsockname()[1], profile, 1).listening() as shaper:
            reader, writer = await asyncio.open_connection(LOCAL, shaper.port)
            writer.write(bytes(range(256)) * 3)
            writer.write_eof()
            received = b""
            try:
                while data := await reader.read(100):
                    received += data
                assert end != "cut"
            except ConnectionResetError:
                assert end != "close"
            assert (bytes(range(256)) * 3).startswith(received) and len(received) <= 1000 - 768
            assert shaper.ends == {end: 1}
            writer.close()
        server.close()

    asyncio.run(scene())


def test_a_small_run_on_poor_links_has_no_breach() -> None:
    """Devices on shaped connections change wire at random. `pearstall lab poor-links` is the full run."""
    report, checked = asyncio.run(run(devices=12, asks=72, seed=5))
    assert not report.breaches, [str(one) for one in report.breaches[:9]]
    assert sum(report.kinds.values()) == 72 and report.kinds["served"] > 36
    assert report.wire_changes and sum(report.link_ends.values())
    assert (report.exceptions, report.overdue, report.left["queries"], report.left["running"]) == (0, 0, 0, 0)
    assert len(checked.entries) == 72


def test_the_command_reports_as_json_with_plots(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    args = ["lab", "poor-links", "--devices", "2", "--asks", "4", "--seed", "5", "--json", "--plots", str(tmp_path)]
    assert main(args) == 0
    report = json.loads(capsys.readouterr().out)
    assert report["asks"] == 4 and report["breaches"] == [] and report["wait_s"]["p50"] > 0
    assert sorted(one.suffix for one in tmp_path.iterdir()) == [".svg", ".svg"]
