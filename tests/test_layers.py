"""No module needs itself while it is loaded, however far the way round."""

from __future__ import annotations

import ast
from graphlib import CycleError, TopologicalSorter
from pathlib import Path

import waywell

ROOT = Path(waywell.__file__).parent


def name_module(path: Path) -> str:
    parts = path.relative_to(ROOT.parent).with_suffix('').parts
    return '.'.join(part for part in parts if part != '__init__')


MODULES = {name_module(path): path for path in ROOT.rglob('*.py')}


def is_for_types_only(node: ast.AST) -> bool:
    return (
        isinstance(node, ast.If)
        and isinstance(node.test, ast.Name)
        and node.test.id == 'TYPE_CHECKING'
    )


def list_imports(path: Path) -> set[str]:
    """Return the modules that one loads when it is loaded."""
    found = set()
    for node in ast.parse(path.read_text(encoding='utf-8')).body:
        if is_for_types_only(node):
            continue
        if isinstance(node, ast.Import):
            found |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom) and node.module:
            found.add(node.module)
            found |= {f'{node.module}.{alias.name}' for alias in node.names}
    return found & MODULES.keys()


def test_no_module_is_loaded_in_a_circle() -> None:
    needs = {name: list_imports(path) for name, path in MODULES.items()}
    try:
        TopologicalSorter(needs).prepare()
    except CycleError as error:
        raise AssertionError(' -> '.join(error.args[1])) from error


def test_what_decides_without_input_loads_no_daemon() -> None:
    """Versions know nothing of processes, connections or requests."""
    outer = ('waywell.process', 'waywell.connection', 'waywell.request')
    for name, path in MODULES.items():
        if name.startswith('waywell.version'):
            loaded = {
                one for one in list_imports(path) if one.startswith(outer)
            }
            assert not loaded, name


def test_decisions_never_load_the_model_of_the_fleet() -> None:
    """Only the command line does, and only for its own command."""
    for name, path in MODULES.items():
        if name.startswith('waywell.experiment'):
            continue
        tree = ast.walk(ast.parse(path.read_text(encoding='utf-8')))
        loaded = {
            alias.name if isinstance(node, ast.Import) else node.module or ''
            for node in tree
            if isinstance(node, ast.Import | ast.ImportFrom)
            for alias in node.names
        }
        found = {one for one in loaded if one.startswith('waywell.experiment')}
        allowed = {'waywell.experiment.commands'}
        assert found <= (allowed if name == 'waywell.cli' else set()), name


def test_the_model_of_the_fleet_loads_no_daemon_and_no_socket() -> None:
    """It drives decisions, and nothing that is connected."""
    outer = ('twisted', 'grpclib', 'asyncio', 'socket', 'waywell.standins')
    for name, path in MODULES.items():
        if name.startswith('waywell.experiment'):
            text = path.read_text(encoding='utf-8')
            for node in ast.walk(ast.parse(text)):
                if isinstance(node, ast.ImportFrom):
                    assert not (node.module or '').startswith(outer), name
                if isinstance(node, ast.Import):
                    names = [alias.name for alias in node.names]
                    assert not any(one.startswith(outer) for one in names)
