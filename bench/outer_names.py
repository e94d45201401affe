"""Lists the names that leave a process and must survive a rewording: `python -m bench.outer_names`.

Without an argument it prints the names of this tree, grouped by where they leave. With
`--missing FILE` it reads such a list and prints each name that the tree no longer contains, so
that a list written by an earlier revision can be checked against a later one.
"""

import ast
import collections
import configparser
import re
import subprocess
import sys
import tomllib
from collections.abc import Iterator
from pathlib import Path

ROOT = Path(__file__).parent.parent
SOURCES = ("packages", "platform", "bench", "tests/soak")
TOKEN = re.compile(r"^/?[A-Za-z_][A-Za-z0-9_.:/%\-]*$")
ENVIRONMENT = re.compile(r"\$\{?([A-Z][A-Z0-9_]{3,})")
LOG_METHODS = frozenset({"debug", "info", "warning", "error", "exception", "critical"})
Names = dict[str, set[str]]


def collect(root: Path) -> Names:
    """Return the outer names of a tree, by the way they leave the process."""
    names: Names = collections.defaultdict(set)
    for path in _python_files(root):
        for kind, name in _names_of(path.read_text(), path.relative_to(root)):
            names[kind].add(name)
    _add_configuration(root, names)
    return names


def _python_files(root: Path) -> Iterator[Path]:
    tracked = subprocess.run(
        ["git", "ls-files", "--", *SOURCES], cwd=root, check=True, capture_output=True, text=True
    )
    for name in tracked.stdout.splitlines():
        if name.endswith(".py") and (root / name).exists():
            yield root / name


def _names_of(source: str, path: Path) -> Iterator[tuple[str, str]]:
    tree = ast.parse(source)
    if "getLogger(__name__)" in source:
        yield "logger", _module_name(path)
    counted = "account" in path.parts
    commands = "import typer" in source
    for node in ast.walk(tree):
        if isinstance(node, ast.ClassDef):
            yield from _class_names(node, counted=counted)
        elif isinstance(node, ast.FunctionDef) and commands:
            yield from _option_names(node)
        elif isinstance(node, ast.Call):
            yield from _log_fields(node)
    for text in _tokens(tree):
        yield "text", text


def _module_name(path: Path) -> str:
    parts = list(path.with_suffix("").parts)
    if "src" in parts:
        parts = parts[parts.index("src") + 1 :]
    return ".".join(parts)


def _class_names(node: ast.ClassDef, *, counted: bool) -> Iterator[tuple[str, str]]:
    bases = " ".join(ast.unparse(base) for base in node.bases)
    for keyword in node.keywords:
        if keyword.arg == "tag":
            yield "tag", str(ast.literal_eval(keyword.value))
            yield "message class", node.name
    if bases.endswith("Error"):
        yield "error class", node.name
    for item in node.body:
        if isinstance(item, ast.AnnAssign) and isinstance(item.target, ast.Name):
            if "Struct" in bases:
                yield "field", _encoded_name(item) or item.target.id
            elif counted:
                yield "counter", item.target.id
        if isinstance(item, ast.Assign) and "Enum" in bases:
            yield "enum value", ast.unparse(item.value).strip("'")


def _encoded_name(item: ast.AnnAssign) -> str | None:
    if isinstance(item.value, ast.Call):
        for keyword in item.value.keywords:
            if keyword.arg == "name":
                return str(ast.literal_eval(keyword.value))
    return None


def _option_names(node: ast.FunctionDef) -> Iterator[tuple[str, str]]:
    """Yield what typer makes flags of: the parameters of the public functions of its modules."""
    if not node.name.startswith("_"):
        yield "command", node.name
        for argument in [*node.args.args, *node.args.kwonlyargs]:
            yield "option", argument.arg


def _log_fields(node: ast.Call) -> Iterator[tuple[str, str]]:
    for keyword in node.keywords:
        if keyword.arg == "extra" and isinstance(keyword.value, ast.Dict):
            for key in keyword.value.keys:
                if isinstance(key, ast.Constant):
                    yield "log field", str(key.value)


def _tokens(tree: ast.Module) -> Iterator[str]:
    """Yield each text of one word outside of doc comments, log texts and errors."""
    skipped: set[int] = set()
    for node in ast.walk(tree):
        if isinstance(node, ast.Expr) and isinstance(node.value, ast.Constant):
            skipped.add(id(node.value))
        elif isinstance(node, ast.Raise):
            skipped.update(id(item) for item in ast.walk(node))
        elif isinstance(node, ast.Call) and _logs(node):
            skipped.update(id(item) for arg in node.args for item in ast.walk(arg))
    for node in ast.walk(tree):
        if not isinstance(node, ast.Constant) or id(node) in skipped:
            continue
        if isinstance(node.value, str) and TOKEN.match(node.value):
            yield node.value


def _logs(node: ast.Call) -> bool:
    return isinstance(node.func, ast.Attribute) and node.func.attr in LOG_METHODS


def _add_configuration(root: Path, names: Names) -> None:
    with (root / "deploy" / "system.toml").open("rb") as file:
        _add_keys(tomllib.load(file), names["deploy"])
    for path in [*root.glob("examples/**/*.ini"), *root.glob("platform/*.ini")]:
        parser = configparser.RawConfigParser(strict=False, allow_no_value=True)
        parser.read(path)
        for section in parser.sections():
            names["ini key"].update(parser[section])
    for path in sorted((root / "script").iterdir()):
        names["environment"].update(ENVIRONMENT.findall(path.read_text()))


def _add_keys(table: dict[str, object], found: set[str]) -> None:
    for key, value in table.items():
        found.add(key)
        if isinstance(value, dict):
            _add_keys(value, found)


def _missing(names: Names, listed: str) -> list[str]:
    known = {f"{kind}\t{name}" for kind, group in names.items() for name in group}
    return [line for line in listed.splitlines() if line and line not in known]


def main() -> None:
    """Print the list, or what is missing from the tree."""
    names = collect(ROOT)
    if sys.argv[1:2] == ["--missing"]:
        missing = _missing(names, Path(sys.argv[2]).read_text())
        print("\n".join([*missing, f"{len(missing)} names missing"]))
        sys.exit(1 if missing else 0)
    for kind in sorted(names):
        for name in sorted(names[kind]):
            print(f"{kind}\t{name}")


if __name__ == "__main__":
    main()
