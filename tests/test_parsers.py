"""Every parser with valid messages cut at random places, and with random garbage."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from pearstall.net.buffer import Buffer
from pearstall.net.events import EventSplitter, payloads
from pearstall.net.http1 import LAST_CHUNK, Body, Head, Malformed, Reply, body_of, chunk, read_head
from pearstall.net.inventory import BadList, HostList, read_csv, read_host_list, read_yaml
from tests.net_support import cut_settings, cuts, feed

garbage = st.binary(max_size=300) | st.text(alphabet="\r\n :aZ09;,-{}[]\"'&*", max_size=120).map(str.encode)


@cut_settings
@given(st.binary(max_size=900), cuts, st.integers(0, 50))
def test_a_buffer_returns_the_bytes_added_to_it(data: bytes, sizes: list[int], keep: int) -> None:
    taken: list[bytes] = []
    feed(data * 20, sizes, lambda buffer: taken.append(buffer.take(max(0, len(buffer) - keep))))
    assert b"".join(taken) == (data * 20)[: max(0, len(data) * 20 - keep)]


@cut_settings
@given(cuts, st.dictionaries(st.text("abz-", min_size=1, max_size=8), st.text("a z9", max_size=9), max_size=5))
def test_a_head_is_parsed_the_same_however_it_is_cut(sizes: list[int], headers: dict[str, str]) -> None:
    lines = ["GET /a?b HTTP/1.1", *[f"{key}: {value}" for key, value in headers.items()], "", ""]
    results = feed("\r\n".join(lines).encode(), sizes, read_head)
    assert results[:-1] == [None] * (len(results) - 1)
    head = results[-1]
    assert isinstance(head, Head) and (head.method, head.path) == ("GET", "/a")
    assert head.headers == {key: value.strip() for key, value in headers.items()}


@cut_settings
@given(st.lists(st.binary(min_size=1, max_size=60), max_size=8), cuts)
def test_chunks_are_parsed_the_same_however_they_are_cut(parts: list[bytes], sizes: list[int]) -> None:
    body = Body(chunked=True)
    results = feed(b"".join(map(chunk, parts)) + LAST_CHUNK, sizes, body.feed)
    assert b"".join(part for part in results if isinstance(part, bytes)) == b"".join(parts) and body.done


@cut_settings
@given(st.lists(st.sampled_from(["data: a", "data: b\ndata: c", ": x", "id: 1"]), max_size=6), cuts,
       st.sampled_from(["\n", "\r\n", "\r"]))  # fmt: skip
def test_events_are_split_completely_and_unchanged(events: list[str], sizes: list[int], end: str) -> None:
    data = "".join(event.replace("\n", end) + end * 2 for event in events).encode()
    splitter = EventSplitter()
    results = feed(data, sizes, lambda buffer: splitter.feed(buffer.take(len(buffer))))
    assert b"".join(part for part in results if isinstance(part, bytes)) == data and not splitter.remainder
    assert list(payloads(data)) == [e.replace("data: ", "").encode() for e in events if "data" in e]


@cut_settings
@given(garbage, cuts)
def test_garbage_results_in_a_value_and_never_in_an_exception(data: bytes, sizes: list[int]) -> None:
    for response in (False, True):
        for result in feed(data, sizes, lambda buffer, r=response: read_head(buffer, r)):  # type: ignore[misc]
            assert result is None or isinstance(result, Head | Malformed)
    body, splitter = Body(chunked=True), EventSplitter()
    feed(data, sizes, body.feed)
    feed(data, sizes, lambda buffer: splitter.feed(buffer.take(len(buffer))))
    list(payloads(data))
    assert isinstance(read_host_list(data), HostList | BadList)
    for read in (read_csv, read_yaml):
        assert isinstance(read(data.decode("latin-1")), HostList | BadList)


def test_smuggled_and_oversized_input_is_malformed() -> None:
    for headers in ({"content-length": "1", "transfer-encoding": "chunked"}, {"content-length": "+1"},
                    {"transfer-encoding": "gzip"}):  # fmt: skip
        assert isinstance(body_of(Head("POST", "/", headers=headers)), Malformed)
    buffer = Buffer()
    buffer.add(b"GET / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n")
    assert isinstance(read_head(buffer), Malformed)
    assert isinstance(EventSplitter().feed(b"x" * (2 << 20)), Malformed)
    assert Reply(503, b"", {"Retry-After": "2"}).encode(True).endswith(b"Connection: close\r\n\r\n")
