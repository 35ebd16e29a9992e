"""The operators' KDL: every problem is reported with its position, and the tokenizer agrees with the parser."""

from __future__ import annotations

from pathlib import Path

import ckdl
import pytest
from hypothesis import given
from hypothesis import strategies as st

from pearstall.config.kdl import DocumentError, Node, Place, parse
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
    text = ""
    for _ in range(draw(st.integers(0, 3))):
        text += draw(st.sampled_from(["", "  ", "\n", "// a } comment\n", "/* x\n*/ ", "/- "]))
        text += draw(st.sampled_from(["", "", "(type)"])) + draw(NAMES.filter(lambda name: name != 'r"'))
        for _ in range(draw(st.integers(0, 2))):
            text += draw(GAPS) + draw(st.sampled_from(["", "", "/- ", "key="])) + draw(VALUES)
        if depth < 2 and draw(st.booleans()):
            text += draw(st.sampled_from([" {", " {\n", " /- {\n"])) + draw(documents(depth + 1)) + "\n}"
        text += draw(st.sampled_from(["\n", "; ", "\r\n"]))
    return text


def outline(nodes: list[Node]) -> list[object]:
    return [(node.name, node.args, outline(node.children)) for node in nodes]


@cut_settings
@given(documents())
def test_the_tokenizer_locates_exactly_the_nodes_that_the_parser_finds(text: str) -> None:
    try:
        document = ckdl.parse(text, version=2)
    except ckdl.ParseError:
        return  # not every generated text is a valid document

    def expected_outline(nodes: list[ckdl.Node]) -> list[object]:
        return [(node.name, list(node.args), expected_outline(node.children)) for node in nodes]

    parsed = parse(text)  # also asserts that there are as many positions as nodes
    assert str(outline(parsed)) == str(expected_outline(document.nodes))
    lines = text.replace("\r\n", "\n").split("\n")

    def check_places(nodes: list[Node]) -> None:
        for node in nodes:
            at = lines[node.place.line - 1][node.place.column - 1 :]
            assert at.lstrip('"').startswith(node.name), (at, node)
            check_places(node.children)

    check_places(parsed)


@pytest.mark.parametrize(
    "text, line, column, message",
    [
        ("a {\n  b=\n}", 2, 4, "'='"),
        ("a 1\nb {\n  c true\n}", 3, 5, "expected #true, got true"),
        ('a "x\n', 1, 3, "unterminated string"),
        ("a {\n  b {\n}\n", 2, 5, "unclosed {"),
        ("a\n}\n", 2, 1, "'}'"),
        ("a /* b", 1, 3, "unterminated comment"),
    ],
)
def test_a_syntax_error_is_reported_with_its_position(text: str, line: int, column: int, message: str) -> None:
    with pytest.raises(DocumentError) as raised:
        parse(text)
    (problem,) = raised.value.diagnostics
    assert problem.place == Place(line, column) and message in problem.message


def operators(folder: Path, text: str, keys: str = f'key "k1" secret="{SECRET}" tenant="shop"\n') -> str:
    (folder / "keys.kdl").write_text(keys)
    (folder / "keys.kdl").chmod(0o600)
    (folder / "own.kdl").write_text(text)
    return str(folder / "own.kdl")


def test_every_problem_of_a_file_is_reported_at_once(tmp_path: Path) -> None:
    file = operators(
        tmp_path,
        'openai listen="nowhere" defualt-class="chat"\nopenai listen="127.0.0.1:1"\nedge {\n    linger "2 weeks"\n'
        '    linger "20s"\n    bounds ask-bytes=#true\n    limits { device rate=-1; }\n    chat\n}\n'
        'log level="loud"\n',
    )
    with pytest.raises(DocumentError) as raised:
        read_operators(file)
    reported = [(problem.place.line, problem.place.column, problem.message) for problem in raised.value.diagnostics]
    for line, column, message in (
        (1, 1, "listen: expected an address and a port"),
        (1, 1, "unknown property 'defualt-class'"),
        (2, 1, "duplicate openai: first given on line 1"),
        (3, 1, "listen is missing"),
        (3, 1, "keys is missing"),
        (4, 5, "linger: expected a time"),
        (5, 5, "first given on line 4"),
        (6, 5, "ask-bytes: expected a size"),
        (7, 14, "rate: expected a number"),
        (8, 5, "unknown node 'chat'"),
        (10, 1, "debug, info"),
    ):
        assert any(at == (line, column) and message in text for *place, text in reported for at in [tuple(place)]), (
            message,
            reported,
        )
    assert len(reported) == 11


def test_a_valid_file_is_read_with_its_units(tmp_path: Path) -> None:
    file = operators(
        tmp_path,
        'servers form="openai" { type "t" form="platform"; }\n'
        'edge listen="[::1]:8090" default-class="chat" {\n keys "keys.kdl"\n linger "500ms"\n'
        ' class "agent" linger="2m" deadline=6\n model "m" class="agent"\n keep ended="1h"\n'
        ' bounds ask-bytes="64KiB" all-bytes="1MiB"\n limits { device rate=2.5; arrivals rate=10 longest-wait="9s"; }\n'  # noqa: E501
        ' websocket deflate=#true\n keep-alive least=1 most=2\n}\nlog form="console" level="debug"\n',
    )
    settings = read_operators(file)
    edge = settings.edge
    assert edge is not None and edge.listen == ("::1", 8090) and edge.asks.server_forms == {"t": "platform"}
    assert edge.bounds.linger == 0.5 and edge.bounds.lingers == {"agent": 120.0} and edge.bounds.keep == 3600
    assert edge.bounds.ask_bytes == 65536 and edge.limits.device_rate == 2.5 and edge.limits.longest_wait == 9
    assert edge.deflate and edge.asks.classes == {"m": "agent"} and settings.log.form == "console"
    assert list(edge.keyring.keys) == ["k1"] and not settings.warnings
    (problem,) = settings.check(Names(lanes=[Named("chat")]))[:1]
    assert problem.place.line == 6 and "unknown class 'agent'" in problem.message


def test_keys_are_checked_and_secrets_are_never_shown(tmp_path: Path) -> None:
    file = tmp_path / "keys.kdl"
    file.write_text(f'key "k" secret="hush"\nkey "k 2" secret="{SECRET}"\nkey "a" secret="{SECRET}"\n'
                    f'key "a" secret="{SECRET}" not-after="soon"\nrevoke "d" below-epoch=2\n')  # fmt: skip
    with pytest.raises(DocumentError) as raised:
        read_keys(file)
    text = str(raised.value)
    assert "hush" not in text and SECRET not in text
    assert [problem.place.line for problem in raised.value.diagnostics] == [2, 4, 1, 4]
    file.write_text(
        f'key "a" secret="{SECRET}" not-after="2027-01-31T00:00:00Z"\nrevoke "d" below-epoch=2\nrevoke x\n'
    )
    ring = read_keys(file)
    assert ring.keys["a"].not_after == 1801353600 and ring.revoked == {"d": 2, "x": 10**9}


def test_a_key_file_that_others_may_read_gives_a_warning_and_the_toml_form_is_still_read(tmp_path: Path) -> None:
    file = operators(tmp_path, 'edge listen="127.0.0.1:9" default-class="chat" { keys "keys.kdl"; }\n')
    (tmp_path / "keys.kdl").chmod(0o644)
    assert "may read" in str(read_operators(file).warnings[0])
    old = tmp_path / "openai.toml"
    old.write_text('listen = "127.0.0.1:8081"\ndefault_class = "chat"\n[classes]\nm = "chat"\n')
    config_path = str(config_file(tmp_path))
    config = read_config({}, str(old), "", config_path)
    assert config.openai_listen == ("127.0.0.1", 8081) and config.operators is not None
    assert "next release" in str(config.operators.warnings[0])
    old.write_text('listen = "127.0.0.1:8081"\nnone = 1\n')
    with pytest.raises(ConfigError, match="none"):
        read_config({}, str(old), "", config_path)


def test_the_deployed_file_is_valid_and_the_errors_of_a_file_fit_one_line(tmp_path: Path) -> None:
    config_path = str(config_file(tmp_path))
    config = read_config({}, str(ROOT / "deploy" / "pearstall.kdl"), "", config_path)
    assert config.openai is not None and config.edge is None
    file = operators(tmp_path, 'openai listen="127.0.0.1:1" default-class="x"\nopenai\nlog form="?"\n')
    with pytest.raises(ConfigError, match=r"own.kdl:2:1: .* \(and 1 more: `pearstall check` lists them\)"):
        read_config({}, file, "", config_path)
