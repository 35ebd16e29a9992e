"""Runs a router with seeded faults of its system calls, clock and log.

    python -m pearstall.lab.fault_shim FAULTS -- ARGUMENTS

FAULTS is JSON in the form of `Faults`. Sockets fail in ways that Linux documents for accept(2), connect(2),
socket(2), recv(2) and send(2); the wall clock jumps; writes to standard error fail. The router runs its unmodified
code. For tests and soaks on loopback only.
"""

from __future__ import annotations

import errno
import io
import os
import runpy
import socket
import sys
import time
from collections.abc import Sequence
from random import Random
from typing import Any

import msgspec

ACCEPT_ERRORS = (
    errno.ECONNABORTED, errno.EINTR, errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EPROTO,
    errno.EPERM, errno.ENETDOWN, errno.EHOSTUNREACH, errno.ETIMEDOUT,
)  # fmt: skip
CONNECT_ERRORS = (
    errno.ECONNREFUSED, errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ENETUNREACH, errno.EADDRNOTAVAIL, errno.EINTR,
    errno.EAGAIN, errno.EACCES, errno.ECONNRESET,
)  # fmt: skip
SOCKET_ERRORS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
RECEIVE_ERRORS = (errno.ECONNRESET, errno.ETIMEDOUT, errno.EHOSTUNREACH)
SEND_ERRORS = (errno.EPIPE, errno.ECONNRESET, errno.ETIMEDOUT, errno.EHOSTUNREACH)
FILE_ERRORS = (errno.EIO, errno.EINTR, errno.ENFILE)
LOG_ERRORS = (errno.ENOSPC, errno.EIO, errno.EAGAIN)
STANDARD_ERROR = 2


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """The probability of each fault per call, and faults that occur a fixed number of times."""

    seed: int = 1
    accept: float = 0.0
    accept_errors: tuple[int, ...] = ACCEPT_ERRORS
    connect: float = 0.0
    make_socket: float = 0.0
    receive: float = 0.0
    send: float = 0.0
    interrupt: float = 0.0  # EINTR from recv and send: no data is lost, the caller has to retry
    short: float = 0.0  # a short read or write of one byte
    log: float = 0.0
    bind_failures: int = 0  # how many of the first calls fail, as while a previous process still holds the address
    file_failures: int = 0  # how many of the first reads of a configuration file (.json) fail before it listens
    reload_failures: int = 0  # the same once it listens
    clock_steps: list[tuple[float, float]] = []  # seconds since the start, and the jump of the wall clock in seconds


class Injector:
    """Draws faults. Inactive until the program listens, since a router that can't open its listener has to exit."""

    def __init__(self, faults: Faults) -> None:
        self.faults = faults
        self.random = Random(faults.seed)
        self.active = False
        self.binds = 0
        self.failed_reads = {False: 0, True: 0}  # failed reads, keyed by `active`

    def maybe_raise(self, chance: float, codes: Sequence[int]) -> None:
        if self.active and chance and self.random.random() < chance:
            number = self.random.choice(codes)
            raise OSError(number, os.strerror(number))

    def fail_file(self) -> None:
        limit = self.faults.reload_failures if self.active else self.faults.file_failures
        failed = self.failed_reads[self.active]
        if failed < limit:
            self.failed_reads[self.active] += 1
            number = FILE_ERRORS[failed % len(FILE_ERRORS)]
            raise OSError(number, os.strerror(number))

    def shortened(self, size: int) -> int:
        if self.active and size > 1 and self.random.random() < self.faults.short:
            return 1
        return size


class FaultySocket(socket.socket):
    """A socket whose calls fail when `injector` draws a fault."""

    injector: Injector

    def __init__(self, family: int = -1, type: int = -1, proto: int = -1, fileno: int | None = None) -> None:
        if fileno is None:
            self.injector.maybe_raise(self.injector.faults.make_socket, SOCKET_ERRORS)
        super().__init__(family, type, proto, fileno)

    def bind(self, address: Any, /) -> None:
        if self.injector.binds < self.injector.faults.bind_failures:
            self.injector.binds += 1
            raise OSError(errno.EADDRINUSE, os.strerror(errno.EADDRINUSE))
        super().bind(address)

    def listen(self, *backlog: int) -> None:
        super().listen(*backlog)
        self.injector.active = True

    def accept(self) -> tuple[socket.socket, Any]:
        self.injector.maybe_raise(self.injector.faults.accept, self.injector.faults.accept_errors)
        return super().accept()

    def connect(self, address: Any, /) -> None:
        self.injector.maybe_raise(self.injector.faults.connect, CONNECT_ERRORS)
        super().connect(address)

    def recv_into(self, buffer: Any, nbytes: int = 0, flags: int = 0, /) -> int:
        self.injector.maybe_raise(self.injector.faults.interrupt, (errno.EINTR,))
        if self.family != socket.AF_UNIX:
            self.injector.maybe_raise(self.injector.faults.receive, RECEIVE_ERRORS)
        size = nbytes or memoryview(buffer).nbytes
        return super().recv_into(buffer, self.injector.shortened(size), flags)

    def send(self, data: Any, flags: int = 0, /) -> int:
        self.injector.maybe_raise(self.injector.faults.interrupt, (errno.EINTR,))
        if self.family != socket.AF_UNIX:
            self.injector.maybe_raise(self.injector.faults.send, SEND_ERRORS)
        size = self.injector.shortened(len(data))
        # A memoryview kept alive here would stop asyncio from clearing its buffer while it handles this call's error.
        return super().send(data if size == len(data) else bytes(data[:size]), flags)


def step_wall_clock(steps: list[tuple[float, float]]) -> None:
    """Replaces `time.time` by a clock that jumps; the monotonic clock stays steady, as on a real machine."""
    began, real = time.monotonic(), time.time

    def stepped() -> float:
        passed = time.monotonic() - began
        return real() + sum(by for at, by in steps if passed >= at)

    time.time = stepped


def fail_log_writes(injector: Injector) -> None:
    real = os.write

    def write(descriptor: int, data: Any, /) -> int:
        if descriptor == STANDARD_ERROR:
            injector.maybe_raise(injector.faults.log, LOG_ERRORS)
        return real(descriptor, data)

    os.write = write


def fail_file_reads(injector: Injector) -> None:
    real = io.open

    def open_(file: Any, *arguments: Any, **named: Any) -> Any:
        if str(file).endswith(".json"):
            injector.fail_file()
        return real(file, *arguments, **named)

    io.open = open_


def main() -> None:
    faults = msgspec.json.decode(sys.argv[1], type=Faults)
    injector = Injector(faults)
    FaultySocket.injector = injector
    socket.socket = FaultySocket  # type: ignore[misc]
    if faults.clock_steps:
        step_wall_clock(faults.clock_steps)
    fail_file_reads(injector)
    if faults.log:
        fail_log_writes(injector)
    sys.argv = ["pearstall", *sys.argv[3:]]
    runpy.run_module("pearstall", run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main()
