"""Dependencies between the packages of `glenchute` go from higher to lower layers only, and no modules import
each other in a cycle."""

from __future__ import annotations

import ast
from collections import defaultdict
from collections.abc import Iterator
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parents[2]
ALLOWED_DEPENDENCIES = {
    "policy": set(),
    "protocol": {"core", "policy"},
    "core": {"policy"},
    "config": {"core", "policy", "protocol"},
    "control": set(),
    "capture": {"core", "policy"},
    "clients": {"config", "core", "policy", "protocol"},
    "listeners": {"config", "core", "policy", "protocol"},
    "upstreams": {"config", "core", "policy", "protocol"},
    "simulator": {"config", "policy"},
    "cli": {
        "capture", "clients", "config", "control", "core", "listeners", "policy", "protocol", "upstreams",
    },
    "__main__": {"cli"},
}  # fmt: skip
IO_MODULES = {
    "asyncio",
    "os",
    "pathlib",
    "select",
    "signal",
    "socket",
    "subprocess",
    "threading",
    "time",
}


def module_of(path: Path) -> str:
    """Returns the dotted module name of a source file."""
    parts = path.relative_to(ROOT).with_suffix("").parts
    return ".".join(parts[:-1] if parts[-1] == "__init__" else parts)


def type_checking_only(tree: ast.AST) -> set[int]:
    """Returns the identities of the nodes under `if TYPE_CHECKING`, which don't run."""
    blocks = (node for node in ast.walk(tree) if isinstance(node, ast.If))
    return {
        id(child)
        for block in blocks
        if ast.unparse(block.test) == "TYPE_CHECKING"
        for child in ast.walk(block)
    }


def imports(path: Path) -> Iterator[str]:
    """Yields the modules that a source file imports at runtime, at its top level or in a function."""
    tree = ast.parse(path.read_text())
    skipped = type_checking_only(tree)
    own = module_of(path)
    package = own if path.name == "__init__.py" else own.rpartition(".")[0]
    for node in ast.walk(tree):
        if id(node) in skipped:
            continue
        if isinstance(node, ast.Import):
            yield from (name.name for name in node.names)
        elif isinstance(node, ast.ImportFrom):
            base = node.module or ""
            if node.level:
                steps = package.split(".")[: len(package.split(".")) - node.level + 1]
                base = ".".join([*steps, base] if base else steps)
            for name in node.names:
                inner = ROOT.joinpath(*base.split("."), name.name)
                is_module = inner.is_dir() or inner.with_suffix(".py").is_file()
                yield f"{base}.{name.name}" if is_module else base


GRAPH = {module_of(path): set(imports(path)) for path in sorted((ROOT / "glenchute").rglob("*.py"))}


def layer(module: str) -> str:
    """Returns the package below `glenchute` that a module belongs to."""
    return module.split(".")[1] if "." in module else module


def cycles(graph: dict[str, set[str]]) -> list[list[str]]:
    """Returns each import cycle once, as the sorted modules of a strongly connected component (Tarjan)."""
    order: dict[str, int] = {}
    lowest_reachable: dict[str, int] = {}
    stack: list[str] = []
    components: list[list[str]] = []

    def visit(module: str) -> None:
        order[module] = lowest_reachable[module] = len(order)
        stack.append(module)
        for imported in graph.get(module, ()):
            if imported not in order:
                visit(imported)
                lowest_reachable[module] = min(lowest_reachable[module], lowest_reachable[imported])
            elif imported in stack:
                lowest_reachable[module] = min(lowest_reachable[module], order[imported])
        if lowest_reachable[module] == order[module]:
            component = [stack.pop()]
            while component[-1] != module:
                component.append(stack.pop())
            if len(component) > 1:
                components.append(sorted(component))

    for module in graph:
        if module not in order:
            visit(module)
    return components


def test_no_modules_import_each_other_in_a_cycle() -> None:
    assert cycles(GRAPH) == []


def test_a_cycle_is_found() -> None:
    graph = defaultdict(set, {"a": {"b"}, "b": {"c"}, "c": {"a", "d"}, "d": set()})
    assert cycles(graph) == [["a", "b", "c"]]


@pytest.mark.parametrize("package", sorted(ALLOWED_DEPENDENCIES))
def test_packages_import_lower_layers_only(package: str) -> None:
    upward = {
        (module, imported)
        for module, imported_modules in GRAPH.items()
        if layer(module) == package
        for imported in imported_modules
        if imported.startswith("glenchute.")
        and layer(imported) not in ALLOWED_DEPENDENCIES[package] | {package}
    }
    assert upward == set()


def test_each_package_has_its_layer() -> None:
    assert {layer(module) for module in GRAPH} - {"glenchute"} == set(ALLOWED_DEPENDENCIES)


def test_decisions_do_no_input_or_output() -> None:
    forbidden = {
        (module, imported)
        for module, imported_modules in GRAPH.items()
        if layer(module) == "policy"
        for imported in imported_modules
        if imported.split(".")[0] in IO_MODULES
    }
    assert forbidden == set()


def test_only_the_demo_imports_the_lab() -> None:
    users = {
        module
        for module, imported_modules in GRAPH.items()
        if any(imported.split(".")[0] in ("lab", "benchmarks", "tests") for imported in imported_modules)
    }
    assert users == {"glenchute.cli.demo"}
