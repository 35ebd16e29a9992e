"""Tests of the event log with a standard error that is full, fails or is interrupted."""

from __future__ import annotations

import errno
import json
import os

import pytest

from pearstall.eventlog import LINES_PER_SECOND, MAX_PENDING_BYTES, DescriptorSink, EventLog


class FailingSink:
    """Accepts 7 bytes at a time after the failures in its script: an errno, or 0 for a write that would block."""

    def __init__(self, *script: int) -> None:
        self.script = list(script)
        self.written = b""

    def write(self, data: bytes) -> int:
        if self.script:
            number = self.script.pop(0)
            if number:
                raise OSError(number, os.strerror(number))
            return 0
        self.written += data[:7]
        return len(data[:7])


@pytest.mark.parametrize(("number", "lost"), [(errno.EIO, 1), (errno.ENOSPC, 1), (errno.EPIPE, 1), (errno.EINTR, 0)])
def test_a_failing_standard_error_raises_nothing_and_lost_lines_are_counted(number: int, lost: int) -> None:
    sink = FailingSink(number)
    log = EventLog(sink)
    log.event("first")
    log.event("second", number=2)
    assert log.lost == lost
    rows = [json.loads(line) for line in sink.written.splitlines()]
    assert [row["event"] for row in rows] == ["first", "second"][lost:]


def test_a_full_pipe_does_not_block_and_the_buffer_is_bounded() -> None:
    reading, writing = os.pipe()
    try:
        log = EventLog(DescriptorSink(writing))
        for number in range(4000):
            log.line(f"{number} " + "x" * 200)
        assert log.lost and len(log.pending) <= MAX_PENDING_BYTES
        first = os.read(reading, 1 << 20)
        assert first.startswith(b"0 xxx")
        log.flush()  # fills the space that was freed in the pipe
        assert os.read(reading, 1 << 20)
    finally:
        os.close(reading)
        os.close(writing)


def test_the_rate_of_an_event_is_limited_and_dropped_lines_are_counted() -> None:
    now = [0.0]
    sink = FailingSink()
    log = EventLog(sink, clock=lambda: now[0])
    for _ in range(LINES_PER_SECOND + 5):
        log.event("flood")
    now[0] = 1.0
    log.event("flood")
    rows = [json.loads(line) for line in sink.written.splitlines()]
    assert len(rows) == LINES_PER_SECOND + 1 and rows[-1]["left_out"] == 5
