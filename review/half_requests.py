"""Bad clients: each sends most of a long head, stops for a moment, sends its end and half of a body, and stays.

half_requests.py PORT CLIENTS distinct|same TIMES

The header lines have distinct names, or are one line over and over.
"""

from __future__ import annotations

import contextlib
import itertools
import select
import socket
import sys
import time

HEAD_BYTES = 32_600  # the router reads heads of up to 32,768 bytes
BODY_BYTES = 200  # as announced; one byte of them is sent
HELD_BACK_BYTES = 64
STOP_SECONDS = 1.0
STAY_SECONDS = 8.0
TOKEN_CHARACTERS = "abcdefghijklmnopqrstuvwxyz0123456789!#$%&'*+-.^_`|~"


def half_request(number: int, lines: str) -> bytes:
    head = (
        "POST /v1/chat/completions HTTP/1.1\r\nHost: backend.local\r\n"
        f"X-Txn: {0xBAD0000 + number:016x}\r\nX-Lane: chat\r\nX-Remaining: 2.000\r\nContent-Length: {BODY_BYTES}\r\n"
        f"User-Agent: {'x' * 3900}\r\n"
    )
    names = itertools.chain(*(itertools.product(TOKEN_CHARACTERS, repeat=length) for length in (1, 2, 3)))
    parts, size = [head], len(head)
    while size <= HEAD_BYTES - 10:
        name = "".join(next(names))
        if name != "te":
            parts.append(f"{name}:ab\r\n" if lines == "distinct" else "a:\r\n")
            size += len(parts[-1])
    return "".join([*parts, "\r\n{"]).encode()


def send(link: socket.socket, data: bytes) -> None:
    with contextlib.suppress(OSError):  # the router has ended the connection
        link.sendall(data)


def play(port: int, requests: list[bytes]) -> None:
    links = [socket.create_connection(("127.0.0.1", port)) for _ in requests]
    for link, request in zip(links, requests, strict=True):
        send(link, request[:-HELD_BACK_BYTES])
    time.sleep(STOP_SECONDS)
    for link, request in zip(links, requests, strict=True):
        send(link, request[-HELD_BACK_BYTES:])
    end = time.monotonic() + STAY_SECONDS
    while links and time.monotonic() < end:  # they read what they are sent
        for link in select.select(links, [], [], 0.1)[0]:
            try:
                ended = not link.recv(65536)
            except OSError:
                ended = True
            if ended:
                link.close()
                links.remove(link)
    for link in links:
        link.close()


def main(port: int, clients: int, lines: str, times: int) -> None:
    requests = [half_request(number, lines) for number in range(clients)]
    for _ in range(times):  # the same again, as soon as it is turned away
        play(port, requests)


if __name__ == "__main__":
    main(int(sys.argv[1]), int(sys.argv[2]), sys.argv[3], int(sys.argv[4]))
