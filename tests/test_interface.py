import pytest

from pearstall.interface import Effect, Scope, Settings

VALID = {"classes": [{"aim": 1000, "give_up": 5000}]}


def test_defaults_and_unknown_keys() -> None:
    settings = Settings.from_mapping({**VALID, "unknown_key": 7})
    assert settings.classes[0].effect == Effect.PURE
    assert settings.max_attempts == 3


@pytest.mark.parametrize(
    ("change", "key"),
    [
        ({"classes": []}, "classes"),
        ({"classes": [{"aim": 5}]}, "classes[0].give_up"),
        ({"classes": [{"aim": -1, "give_up": 5}]}, "classes[0].aim"),
        ({"classes": [7]}, "classes[0]"),
        ({"classes": [{"aim": 5, "give_up": 5, "effect": "odd"}]}, "classes[0].effect"),
        ({"tick": -1}, "tick"),
        ({"tip_time": 0}, "tip_time"),
        ({"gateway": -2}, "gateway"),
        ({"tick": float("nan")}, "tick"),
        ({"tick": True}, "tick"),
        ({"max_attempts": 1.5}, "max_attempts"),
        ({"second_copies": 1}, "second_copies"),
        ({"cold_share": 0}, "cold_share"),
        ({"cold_share": 1.5}, "cold_share"),
        ({"zone": 3}, "zone"),
        ({"tenant_shares": "abc"}, "tenant_shares"),
        ({"tenant_shares": [0.5, -1.0]}, "tenant_shares"),
    ],
)
def test_the_error_for_an_invalid_setting_begins_with_its_key(change: dict[str, object], key: str) -> None:
    with pytest.raises(ValueError) as error:
        Settings.from_mapping({**VALID, **change})
    assert str(error.value).startswith(key + ":")


def test_settings_must_be_a_mapping() -> None:
    with pytest.raises(ValueError, match="settings"):
        Settings.from_mapping([])  # type: ignore[arg-type]


def test_a_scope_is_given_by_its_name_in_lower_case() -> None:
    row = {"aim": 5, "give_up": 5, "effect": "token", "scope": "cell"}
    assert Settings.from_mapping({"classes": [row]}).classes[0].scope == Scope.CELL
