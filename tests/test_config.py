"""The operators' KDL: every trouble with its place, and a scanner that agrees with the parser."""

from __future__ import annotations

from pathlib import Path

import ckdl
import pytest
from hypothesis import given
from hypothesis import strategies as st

from pearstall.config.kdl import Node, Place, Unreadable, parse
from pearstall.config.operators import read_keys, read_operators
from pearstall.edge.tokens import encode_secret
from pearstall.net.config import ConfigError, Named, Names, read_config
from tests.net_support import cut_settings
from tests.test_lists import config_file

ROOT = Path(__file__).parent.parent
SECRET = encode_secret(bytes(32))
NAMES = st.sampled_from(["a", "node", '"quoted name"', "ünï", 'r"', "-x", "b.c", "x/y"])
VALUES = st.sampled_from(["1", "-2.5e3", "#true", "#null", '"te{xt"', '#"raw " }"#', '"a\\"b"', "word", "(u8)3",
                          '"""\n  two\n  lines\n  """'])  # fmt: skip
GAPS = st.sampled_from([" ", "  ", " /* a { comment */ ", " \\ // on\n  ", "\t"])


@st.composite
def documents(draw: st.DrawFn, depth: int = 0) -> str:
    out = ""
    for _ in range(draw(st.integers(0, 3))):
        out += draw(st.sampled_from(["", "  ", "\n", "// a } comment\n", "/* x\n*/ ", "/- "]))
        out += draw(st.sampled_from(["", "", "(type)"])) + draw(NAMES.filter(lambda name: name != 'r"'))
        for _ in range(draw(st.integers(0, 2))):
            out += draw(GAPS) + draw(st.sampled_from(["", "", "/- ", "key="])) + draw(VALUES)
        if depth < 2 and draw(st.booleans()):
            out += draw(st.sampled_from([" {", " {\n", " /- {\n"])) + draw(documents(depth + 1)) + "\n}"
        out += draw(st.sampled_from(["\n", "; ", "\r\n"]))
    return out


def names(nodes: list[Node]) -> list[object]:
    return [(node.name, node.args, names(node.children)) for node in nodes]


@cut_settings
@given(documents())
def test_the_scanner_places_just_the_nodes_that_the_parser_finds(text: str) -> None:
    try:
        document = ckdl.parse(text, version=2)
    except ckdl.ParseError:
        return  # not every draw is a document

    def theirs(nodes: list[ckdl.Node]) -> list[object]:
        return [(node.name, list(node.args), theirs(node.children)) for node in nodes]

    found = parse(text)  # its own check: as many places as nodes
    assert str(names(found)) == str(theirs(document.nodes))
    lines = text.replace("\r\n", "\n").split("\n")

    def look(nodes: list[Node]) -> None:
        for node in nodes:
            at = lines[node.place.line - 1][node.place.column - 1 :]
            assert at.lstrip('"').startswith(node.name), (at, node)
            look(node.children)

    look(found)


@pytest.mark.parametrize(
    "text, line, column, what",
    [
        ("a {\n  b=\n}", 2, 4, "'='"),
        ("a 1\nb {\n  c true\n}", 3, 5, "#true is wanted"),
        ('a "x\n', 1, 3, "string without its end"),
        ("a {\n  b {\n}\n", 2, 5, "never closed"),
        ("a\n}\n", 2, 1, "'}'"),
        ("a /* b", 1, 3, "comment without its end"),
    ],
)
def test_a_document_that_is_none_is_told_with_its_place(text: str, line: int, column: int, what: str) -> None:
    with pytest.raises(Unreadable) as told:
        parse(text)
    (trouble,) = told.value.troubles
    assert trouble.place == Place(line, column) and what in trouble.what


def operators(folder: Path, text: str, keys: str = f'key "k1" secret="{SECRET}" tenant="shop"\n') -> str:
    (folder / "keys.kdl").write_text(keys)
    (folder / "keys.kdl").chmod(0o600)
    (folder / "own.kdl").write_text(text)
    return str(folder / "own.kdl")


def test_every_trouble_of_a_file_is_named_at_once(tmp_path: Path) -> None:
    file = operators(
        tmp_path,
        'openai listen="nowhere" defualt-class="chat"\nopenai listen="127.0.0.1:1"\nedge {\n    linger "2 weeks"\n'
        '    linger "20s"\n    bounds ask-bytes=#true\n    limits { device rate=-1; }\n    chat\n}\n'
        'log level="loud"\n',
    )
    with pytest.raises(Unreadable) as told:
        read_operators(file)
    said = [(one.place.line, one.place.column, one.what) for one in told.value.troubles]
    for line, column, what in (
        (1, 1, "listen: an address and a port"), (1, 1, "'defualt-class'"), (2, 1, "stands at line 1"),
        (3, 1, "listen is missing"), (3, 1, "keys is missing"), (4, 5, "linger: a time"), (5, 5, "line 4 already"),
        (6, 5, "ask-bytes: a size"), (7, 14, "rate: a number"), (8, 5, "'chat'"), (10, 1, "debug, info"),
    ):  # fmt: skip
        assert any(at == (line, column) and what in text for *at_, text in said for at in [tuple(at_)]), (what, said)
    assert len(said) == 11


def test_a_good_file_is_read_with_its_units(tmp_path: Path) -> None:
    file = operators(
        tmp_path,
        'servers form="openai" { type "t" form="platform"; }\n'
        'edge listen="[::1]:8090" default-class="chat" {\n keys "keys.kdl"\n linger "500ms"\n'
        ' class "agent" linger="2m" deadline=6\n model "m" class="agent"\n keep ended="1h"\n'
        ' bounds ask-bytes="64KiB" all-bytes="1MiB"\n limits { device rate=2.5; arrivals rate=10 longest-wait="9s"; }\n'  # noqa: E501
        ' websocket deflate=#true\n keep-alive least=1 most=2\n}\nlog form="console" level="debug"\n',
    )
    read = read_operators(file)
    edge = read.edge
    assert edge is not None and edge.listen == ("::1", 8090) and edge.asks.server_forms == {"t": "platform"}
    assert edge.bounds.linger == 0.5 and edge.bounds.lingers == {"agent": 120.0} and edge.bounds.keep == 3600
    assert edge.bounds.ask_bytes == 65536 and edge.limits.device_rate == 2.5 and edge.limits.longest_wait == 9
    assert edge.deflate and edge.asks.classes == {"m": "agent"} and read.log.form == "console"
    assert list(edge.keyring.keys) == ["k1"] and not read.warnings
    (wrong,) = read.check(Names(lanes=[Named("chat")]))[:1]
    assert wrong.place.line == 6 and "'agent'" in wrong.what


def test_keys_are_checked_and_never_repeated(tmp_path: Path) -> None:
    file = tmp_path / "keys.kdl"
    file.write_text(f'key "k" secret="hush"\nkey "k 2" secret="{SECRET}"\nkey "a" secret="{SECRET}"\n'
                    f'key "a" secret="{SECRET}" not-after="soon"\nrevoke "d" below-epoch=2\n')  # fmt: skip
    with pytest.raises(Unreadable) as told:
        read_keys(file)
    text = str(told.value)
    assert "hush" not in text and SECRET not in text
    assert [one.place.line for one in told.value.troubles] == [2, 4, 1, 4]
    file.write_text(
        f'key "a" secret="{SECRET}" not-after="2027-01-31T00:00:00Z"\nrevoke "d" below-epoch=2\nrevoke x\n'
    )
    ring = read_keys(file)
    assert ring.keys["a"].not_after == 1801353600 and ring.revoked == {"d": 2, "x": 10**9}


def test_keys_that_others_may_read_are_warned_of_and_the_toml_form_still_opens_the_front(tmp_path: Path) -> None:
    file = operators(tmp_path, 'edge listen="127.0.0.1:9" default-class="chat" { keys "keys.kdl"; }\n')
    (tmp_path / "keys.kdl").chmod(0o644)
    assert "may read" in str(read_operators(file).warnings[0])
    old = tmp_path / "openai.toml"
    old.write_text('listen = "127.0.0.1:8081"\ndefault_class = "chat"\n[classes]\nm = "chat"\n')
    given = str(config_file(tmp_path))
    read = read_config({}, str(old), "", given)
    assert read.openai_listen == ("127.0.0.1", 8081) and read.operators is not None
    assert "next release" in str(read.operators.warnings[0])
    old.write_text('listen = "127.0.0.1:8081"\nnone = 1\n')
    with pytest.raises(ConfigError, match="none"):
        read_config({}, str(old), "", given)


def test_the_deployed_file_is_good_and_a_bad_one_is_one_line(tmp_path: Path) -> None:
    given = str(config_file(tmp_path))
    read = read_config({}, str(ROOT / "deploy" / "pearstall.kdl"), "", given)
    assert read.openai is not None and read.edge is None
    file = operators(tmp_path, 'openai listen="127.0.0.1:1" default-class="x"\nopenai\nlog form="?"\n')
    with pytest.raises(ConfigError, match=r"own.kdl:2:1: .* \(and 1 more: `pearstall check` lists them\)"):
        read_config({}, file, "", given)
