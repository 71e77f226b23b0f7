"""The tests and modules that the page of proofs names exist."""

from __future__ import annotations

import ast
import re
from pathlib import Path

ROOT = Path(__file__).parent.parent
PAGE = (ROOT / 'docs' / 'PROOFS.md').read_text(encoding='utf-8')


def list_names(file: Path) -> set[str]:
    tree = ast.parse(file.read_text(encoding='utf-8'))
    names = set()
    for node in tree.body:
        if isinstance(node, ast.FunctionDef):
            names.add(node.name)
        elif isinstance(node, ast.Assign):
            names.update(
                target.id
                for target in node.targets
                if isinstance(target, ast.Name)
            )
    return names


def test_tests_named_in_the_proofs_exist() -> None:
    named = re.findall(r'`(test_\w+\.py)::(\w+)`', PAGE)
    assert len(named) > 30
    for file, name in named:
        assert name in list_names(ROOT / 'tests' / file), name


def test_modules_named_in_the_proofs_exist() -> None:
    named = set(re.findall(r'`((?:\w+/)+\w+\.py)`', PAGE))
    assert len(named) > 10
    for path in named:
        places = (ROOT / path, ROOT / 'waywell' / path)
        assert any(place.exists() for place in places), path
