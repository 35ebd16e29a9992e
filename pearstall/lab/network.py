"""A network in memory, on a virtual loop: transports that behave like asyncio's socket transports.

A *channel* is one direction of a connection: bytes in flight with their arrival times. Its window covers unread bytes
at the receiver and bytes in flight, so that a receiver that doesn't read stops the sender, as TCP flow control does.
Paths have latency, jitter, bandwidth and loss. Loss shows as the delay of a retransmission timeout and a halved
congestion window (RFC 5681, RFC 6298), never as missing bytes. Hosts can become unreachable without any
notification, and processes can be killed.
"""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Any

from pearstall.lab.clock import VirtualLoop

Address = tuple[str, int]
WINDOW = 256 * 1024  # bytes in flight and unread, one direction
SEGMENT = 1460  # bytes
INITIAL_CONGESTION_WINDOW = 10 * SEGMENT  # RFC 6928
MIN_RETRANSMISSION_TIMEOUT = 0.2  # seconds
MAX_RETRANSMISSION_TIMEOUT = 3.2  # seconds
READ = 64 * 1024


@dataclass(slots=True, frozen=True)
class Path:
    """A network path, one way. Seconds, and bytes per second; bandwidth 0: unlimited."""

    latency: float = 0.0002
    jitter: float = 0.0
    bandwidth: float = 0.0
    loss: float = 0.0


LOOPBACK = Path()


class Refused(ConnectionRefusedError):
    def __init__(self, address: Address) -> None:
        super().__init__(111, f"Connect call failed {address}")


class Channel:
    """One direction of a connection."""

    __slots__ = ("network", "path", "random", "receiver", "packets", "in_flight", "link_free_at", "last_arrival",
                 "congestion_window", "retransmission_timeout", "ended", "timer_set", "severed",
                 "sender")  # fmt: skip

    def __init__(self, network: Network, path: Path, sender: Transport) -> None:
        self.network, self.path, self.sender = network, path, sender
        self.random = network.random
        self.receiver: Transport
        self.packets: deque[tuple[float, bytes | None]] = deque()  # arrival time, data; None: end of stream
        self.in_flight = 0  # bytes
        self.link_free_at = 0.0  # when the link has transmitted all bytes queued on it
        self.last_arrival = 0.0
        self.congestion_window = INITIAL_CONGESTION_WINDOW
        self.retransmission_timeout = MIN_RETRANSMISSION_TIMEOUT
        self.ended = False
        self.timer_set = False
        self.severed = False

    def available_window(self) -> int:
        return WINDOW - self.in_flight - self.receiver.unread

    def put(self, data: bytes | None) -> None:
        """Sends data, which must fit into the window; None is the end of the stream."""
        loop, path = self.network.loop, self.path
        now = loop.now
        arrival = now + path.latency
        if data is not None:
            self.in_flight += len(data)
            if path.bandwidth:
                self.link_free_at = max(self.link_free_at, now) + len(data) / path.bandwidth
                arrival = self.link_free_at + path.latency
            if path.loss:
                arrival = self._arrival_after_losses(arrival, len(data))
        if path.jitter:
            arrival += self.random.random() * path.jitter
        self.last_arrival = arrival = max(self.last_arrival, arrival)  # delivery stays in order
        self.packets.append((arrival, data))
        if not self.timer_set:
            self.timer_set = True
            loop.call_at(arrival, self._deliver)

    def _arrival_after_losses(self, arrival: float, count: int) -> float:
        """Returns the arrival time after losses.

        Each lost segment costs a retransmission timeout, which doubles while losses repeat, and halves the
        congestion window; each full congestion window costs a round trip."""
        path = self.path
        for _ in range(-(-count // SEGMENT)):
            if self.random.random() < path.loss:
                arrival += self.retransmission_timeout
                self.retransmission_timeout = min(MAX_RETRANSMISSION_TIMEOUT, self.retransmission_timeout * 2)
                self.congestion_window = max(SEGMENT, self.congestion_window // 2)
            else:
                self.retransmission_timeout = max(MIN_RETRANSMISSION_TIMEOUT, 4 * path.latency)
                self.congestion_window = min(WINDOW, self.congestion_window + SEGMENT)
        return arrival + 2 * path.latency * (count // self.congestion_window)

    def _deliver(self) -> None:
        self.timer_set = False
        now, receiver = self.network.loop.now, self.receiver
        if self.severed:
            return
        if not self.network.reaches(self.sender.host, receiver.host):
            self.severed = True  # neither side is notified
            return
        packets = self.packets
        ready: list[bytes] = []
        end = False
        while packets and packets[0][0] <= now:
            data = packets.popleft()[1]
            if data is None:
                end = True
            else:
                ready.append(data)
                self.in_flight -= len(data)
        if packets:
            self.timer_set = True
            self.network.loop.call_at(packets[0][0], self._deliver)
        receiver.received(b"".join(ready), end)
        self.sender.window_opened()


class ClosedSocket:
    """What client libraries query on a transport's socket. There is no socket: the descriptor is that of a closed
    one, so a connection pool regards an idle connection as unusable and opens another."""

    family = socket.AF_INET
    type = socket.SOCK_STREAM
    proto = socket.IPPROTO_TCP

    def __init__(self, own: Address, peer: Address) -> None:
        self.own, self.peer = own, peer

    def fileno(self) -> int:
        return -1

    def getsockname(self) -> Address:
        return self.own

    def getpeername(self) -> Address:
        return self.peer

    def setsockopt(self, *option: object) -> None:
        pass

    def shutdown(self, how: int) -> None:
        pass


class Transport(asyncio.Transport):
    """One end of a connection, for `Protocol` and `BufferedProtocol`."""

    def __init__(self, network: Network, host: str, own: Address, peer: Address) -> None:
        super().__init__({"sockname": own, "peername": peer, "pending": self.pending, "gone": self.gone})
        self.network, self.host = network, host
        self.protocol: Any = None
        self.buffered = False
        self.out: Channel
        self.inbox: list[bytes] = []  # received, not yet delivered to the protocol
        self.unread = 0
        self.peer_ended = False
        self.eof_delivered = False
        self.unsent: deque[bytes] = deque()
        self.unsent_size = 0
        self.high, self.low = 64 * 1024, 16 * 1024
        self.writing_paused = False
        self.reading_paused = False
        self.eof_requested = False
        self.closing = False
        self.closed = False  # connection_lost was called or is scheduled
        self.peer: Transport

    # -- asyncio's transport interface -------------------------------------------------------------------

    def pending(self) -> bool:
        """Whether data, an end of stream or a loss has not been delivered to the protocol."""
        return bool(self.inbox) or (self.peer_ended and not self.eof_delivered) or self.closed

    def gone(self) -> bool:
        return self.peer_ended or self.closed

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        if name == "socket":  # created on demand, since most connections never need it
            return ClosedSocket(*(asyncio.Transport.get_extra_info(self, key) for key in ("sockname", "peername")))
        return super().get_extra_info(name, default)

    def is_closing(self) -> bool:
        return self.closing

    def set_protocol(self, protocol: Any) -> None:
        self.protocol = protocol
        self.buffered = isinstance(protocol, asyncio.BufferedProtocol)

    def get_protocol(self) -> Any:
        return self.protocol

    def pause_reading(self) -> None:
        self.reading_paused = True

    def resume_reading(self) -> None:
        if self.reading_paused:
            self.reading_paused = False
            if self.inbox or self.peer_ended:
                self.network.loop.call_soon(self._read)

    def is_reading(self) -> bool:
        return not self.reading_paused and not self.closing

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        self.high = 64 * 1024 if high is None else high
        self.low = self.high // 4 if low is None else low

    def get_write_buffer_size(self) -> int:
        return self.unsent_size

    def get_write_buffer_limits(self) -> tuple[int, int]:
        return self.low, self.high

    def write(self, data: Any) -> None:
        if self.closing or self.eof_requested or not data:
            return
        data = bytes(data)
        if not self.unsent and len(data) <= self.out.available_window():
            self.out.put(data)
            return
        self.unsent.append(data)
        self.unsent_size += len(data)
        self._send()
        if self.unsent_size > self.high and not self.writing_paused:
            self.writing_paused = True
            self._call(self.protocol.pause_writing)

    def can_write_eof(self) -> bool:
        return True

    def write_eof(self) -> None:
        if self.closed:
            raise OSError(107, "Transport endpoint is not connected")
        if not self.eof_requested:
            self.eof_requested = True
            self._send()

    def close(self) -> None:
        if not self.closing:
            self.closing = True
            self.eof_requested = True
            self._send()
            if not self.unsent:
                self._close_now(None)

    def abort(self) -> None:
        """Resets the connection: unsent data is dropped, and so is data in flight to this end."""
        if self.closed:
            return
        self.closing = True
        self.unsent.clear()
        self.unsent_size = 0
        if not self.out.ended:
            self.out.ended = True
            self.network.send_reset(self)
        self._close_now(None)

    # -- called by the network --------------------------------------------------------------------------------

    def _send(self) -> None:
        out = self.out
        while self.unsent and (space := out.available_window()) > 0:
            data = self.unsent.popleft()
            if len(data) > space:
                self.unsent.appendleft(data[space:])
                data = data[:space]
            self.unsent_size -= len(data)
            out.put(data)
        if self.eof_requested and not self.unsent and not out.ended:
            out.ended = True
            out.put(None)

    def window_opened(self) -> None:
        """The receiver has read data or data has arrived, so the window may have space."""
        if self.unsent:
            self._send()
            if self.closing and not self.unsent and not self.closed:
                self._close_now(None)
        if self.writing_paused and self.unsent_size <= self.low and not self.closed:
            self.writing_paused = False
            self._call(self.protocol.resume_writing)

    def received(self, data: bytes, end: bool) -> None:
        if self.closed:
            if data:
                self.network.send_reset(self)  # data for a closed socket is answered with a reset
            return
        if data:
            self.inbox.append(data)
            self.unread += len(data)
        self.peer_ended = self.peer_ended or end
        if not self.reading_paused:
            self._read()

    def _read(self) -> None:
        while self.inbox and not self.reading_paused and not self.closed and not self.closing:
            data = self.inbox.pop(0)
            self.unread -= len(data)
            self._deliver_data(data)
        self.peer.window_opened()
        if (
            self.peer_ended
            and not self.inbox
            and not self.eof_delivered
            and not self.closed
            and not self.reading_paused
        ):
            self.eof_delivered = True
            if not self.closing and not self._call(self.protocol.eof_received):
                self.close()

    def _call(self, method: Callable[..., Any], *arguments: Any) -> Any:
        """Runs a protocol's callback as its own host, whichever host's data triggered it."""
        token = _current_host.variable.set(self.host)
        try:
            return method(*arguments)
        finally:
            _current_host.variable.reset(token)

    def _deliver_data(self, data: bytes) -> None:
        if not self.buffered:
            self._call(self.protocol.data_received, data)
            return
        while data and not self.closed:
            buffer = memoryview(self.protocol.get_buffer(-1))
            part = data[: len(buffer)]
            buffer[: len(part)] = part
            del buffer
            self._call(self.protocol.buffer_updated, len(part))
            data = data[len(part) :]

    def reset_by_peer(self) -> None:
        if not self.closed:
            self.closing = True
            self.unsent.clear()
            self.unsent_size = 0
            self.out.ended = True
            self._close_now(ConnectionResetError(104, "Connection reset by peer"))

    def _close_now(self, error: Exception | None) -> None:
        self.closed = True
        self.network.ends.discard(self)
        self.network.loop.call_soon(self._notify_lost, error)

    def _notify_lost(self, error: Exception | None) -> None:
        if self.protocol is not None:  # None: the connect was cancelled before the protocol existed
            self._call(self.protocol.connection_lost, error)


class Listener:
    """The server object that `create_server` returns."""

    def __init__(self, network: Network, address: Address, make: Callable[[], Any]) -> None:
        self.network, self.address, self.make = network, address, make
        self.sockets: list[Any] = []

    def close(self) -> None:
        if self.network.listeners.get(self.address) is self:
            del self.network.listeners[self.address]

    def is_serving(self) -> bool:
        return self.network.listeners.get(self.address) is self

    async def wait_closed(self) -> None:
        return None


class Network:
    """All hosts of a world. A host is the first part of an address; `source` is the connecting host."""

    def __init__(
        self, loop: VirtualLoop, seed: int, path: Callable[[str, str], Path] = lambda a, b: LOOPBACK
    ) -> None:
        self.loop, self.path = loop, path
        self.random = Random(f"{seed}/network")
        self.listeners: dict[Address, Listener] = {}
        self.ends: OrderedSet = OrderedSet()
        self.unreachable: set[str] = set()  # hosts; their peers are not notified
        self.partitions: set[tuple[str, str]] = set()  # pairs of hosts that cannot reach each other
        self.zones: dict[str, str] = {}
        self.zone_partitions: set[tuple[str, str]] = set()
        self.ports = 20_000
        self.connects = 0
        loop.network = self

    def reaches(self, one: str, other: str) -> bool:
        if self.unreachable and (one in self.unreachable or other in self.unreachable):
            return False
        if self.partitions and ((one, other) in self.partitions or (other, one) in self.partitions):
            return False
        if self.zone_partitions:
            a, b = self.zones.get(one, ""), self.zones.get(other, "")
            return (a, b) not in self.zone_partitions and (b, a) not in self.zone_partitions
        return True

    def listen(self, make: Callable[[], Any], address: Address) -> Listener:
        if address in self.listeners:
            raise OSError(98, f"Address already in use {address}")
        listener = Listener(self, address, make)
        self.listeners[address] = listener
        return listener

    async def connect(self, make: Callable[[], Any], address: Address, source: str = "") -> tuple[Transport, Any]:
        """Connects in one round trip; refused without a listener, pending forever if the host is unreachable."""
        self.connects += 1
        host = source or _current_host.get()
        path = self.path(host, address[0])
        await asyncio.sleep(path.latency)
        if not self.reaches(host, address[0]):
            await self.loop.create_future()  # the SYN is lost
        listener = self.listeners.get(address)
        if listener is None:
            await asyncio.sleep(path.latency)
            raise Refused(address)
        self.ports += 1
        own = (host, self.ports)
        near = Transport(self, host, own, address)
        far = Transport(self, address[0], address, own)
        near.out, far.out = Channel(self, path, near), Channel(self, self.path(address[0], host), far)
        near.out.receiver, far.out.receiver = far, near
        near.peer, far.peer = far, near
        far.set_protocol(listener.make())
        self.ends.add(near)
        self.ends.add(far)
        far._call(far.protocol.connection_made, far)
        try:
            await asyncio.sleep(path.latency)
        except BaseException:  # cancelled before the handshake ended
            near.abort()
            raise
        protocol = make()
        near.set_protocol(protocol)
        protocol.connection_made(near)
        if near.inbox or near.peer_ended:
            near._read()
        return near, protocol

    def send_reset(self, end: Transport) -> None:
        peer = end.peer
        path = end.out.path

        def arrive() -> None:
            if self.reaches(end.host, peer.host) and peer.protocol is not None:
                peer.reset_by_peer()

        self.loop.call_later(path.latency, arrive)

    def kill(self, host: str) -> None:
        """Kills the process of a host: its listeners close, and its connections are reset."""
        for address in [address for address in self.listeners if address[0] == host]:
            del self.listeners[address]
        for end in [end for end in self.ends if end.host == host]:
            end.abort()

    def peer_closed(self, end: Any) -> bool:
        """Whether either end has closed the connection; a reset in flight counts."""
        assert isinstance(end, Transport)
        return end.closed or end.peer.closed

    def reset_connections(self, hosts: Callable[[str], bool]) -> int:
        """Resets every connection of these hosts, as when a carrier loses its NAT table. Returns their number."""
        ends = [end for end in self.ends if hosts(end.host)]
        for end in ends:
            end.abort()
            end.peer.reset_by_peer()
        return len(ends)

    def restore_host(self, host: str) -> None:
        """Makes a host reachable again: data sent to it meanwhile is lost, and its connections are reset."""
        self.unreachable.discard(host)
        for end in [end for end in self.ends if end.host == host]:
            end.reset_by_peer()
            if not end.peer.closed:
                end.peer.reset_by_peer()


class OrderedSet(dict[Transport, None]):
    """A set in insertion order, so that a run does not depend on the hash seed."""

    def add(self, item: Transport) -> None:
        self[item] = None

    def discard(self, item: Transport) -> None:
        self.pop(item, None)


class _CurrentHost:
    """The host that the running task belongs to; a task inherits it from the task that starts it."""

    def __init__(self) -> None:
        import contextvars

        self.variable: Any = contextvars.ContextVar("host", default="outside")

    def get(self) -> str:
        return str(self.variable.get())

    def set(self, host: str) -> None:
        self.variable.set(host)


_current_host = _CurrentHost()


def set_current_host(host: str) -> None:
    """Assigns the running task, and tasks that it starts from now on, to this host."""
    _current_host.set(host)
