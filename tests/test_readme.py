import re
from pathlib import Path

README = (Path(__file__).parent.parent / "README.md").read_text()


def test_the_library_example_runs() -> None:
    (example,) = re.findall(r"```python\n(.*?)```", README, re.DOTALL)
    namespace: dict[str, object] = {}
    exec(example, namespace)
    assert namespace["done"] == [] and namespace["send"].replica in (7, 8)  # type: ignore[attr-defined]


def test_ci_runs_the_test_command() -> None:
    command = ".venv/bin/python -m pytest"
    script = (Path(__file__).parent.parent / ".ci" / "run").read_text()
    assert f"    {command}\n" in README and f"\n{command}\n" in script
