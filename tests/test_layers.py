"""Import rules between packages; no import cycles."""

from __future__ import annotations

import ast
from graphlib import CycleError, TopologicalSorter
from pathlib import Path

import waywell

ROOT = Path(waywell.__file__).parent


def get_module_name(path: Path) -> str:
    parts = path.relative_to(ROOT.parent).with_suffix('').parts
    return '.'.join(part for part in parts if part != '__init__')


MODULES = {get_module_name(path): path for path in ROOT.rglob('*.py')}


def is_type_checking_block(node: ast.AST) -> bool:
    return (
        isinstance(node, ast.If)
        and isinstance(node.test, ast.Name)
        and node.test.id == 'TYPE_CHECKING'
    )


def list_imports(path: Path) -> set[str]:
    """Return the modules of the package that a module imports at its top level."""
    imported = set()
    for node in ast.parse(path.read_text(encoding='utf-8')).body:
        if is_type_checking_block(node):
            continue
        if isinstance(node, ast.Import):
            imported |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom) and node.module:
            imported.add(node.module)
            imported |= {f'{node.module}.{alias.name}' for alias in node.names}
    return imported & MODULES.keys()


def test_there_is_no_import_cycle() -> None:
    imports = {name: list_imports(path) for name, path in MODULES.items()}
    try:
        TopologicalSorter(imports).prepare()
    except CycleError as error:
        raise AssertionError(' -> '.join(error.args[1])) from error


def test_versions_import_no_daemon_code() -> None:
    """``waywell.version`` decides without processes or connections."""
    outer = ('waywell.process', 'waywell.connection', 'waywell.request')
    for name, path in MODULES.items():
        if name.startswith('waywell.version'):
            loaded = {
                module
                for module in list_imports(path)
                if module.startswith(outer)
            }
            assert not loaded, name


def test_only_the_command_line_imports_the_fleet_model() -> None:
    """The command line imports only the commands of ``waywell.experiment``."""
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
        found = {
            module
            for module in loaded
            if module.startswith('waywell.experiment')
        }
        allowed = {'waywell.experiment.commands'}
        assert found <= (allowed if name == 'waywell.cli' else set()), name


def test_the_fleet_model_imports_no_network_code() -> None:
    """``waywell.experiment`` runs decisions without connections."""
    outer = ('twisted', 'grpclib', 'asyncio', 'socket', 'waywell.standins')
    for name, path in MODULES.items():
        if name.startswith('waywell.experiment'):
            text = path.read_text(encoding='utf-8')
            for node in ast.walk(ast.parse(text)):
                if isinstance(node, ast.ImportFrom):
                    assert not (node.module or '').startswith(outer), name
                if isinstance(node, ast.Import):
                    names = [alias.name for alias in node.names]
                    assert not any(
                        module.startswith(outer) for module in names
                    )
