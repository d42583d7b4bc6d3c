"""The layers' imports point one way, and no file reaches into another layer's private modules."""

import ast
from collections.abc import Iterator
from pathlib import Path

import pytest

PACKAGE = Path(__file__).parent.parent / "packages/ragwortpaddled/src/ragwortpaddled"
LAYERS = ("transport", "protocol", "state", "coordination")


def imported_modules(path: Path) -> Iterator[str]:
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom) and node.module:
            yield node.module
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)


def files_of(layer: str) -> list[Path]:
    return sorted((PACKAGE / layer).glob("*.py"))


class TestLayers:
    @pytest.mark.parametrize("layer", LAYERS)
    def test_imports_point_down(self, layer: str) -> None:
        above = LAYERS[LAYERS.index(layer) + 1 :]
        assert files_of(layer)
        for path in files_of(layer):
            for module in imported_modules(path):
                parts = module.split(".")
                if parts[0] == "ragwortpaddled" and len(parts) > 1:
                    assert parts[1] not in above, f"{path}: {module}"

    @pytest.mark.parametrize("layer", LAYERS)
    def test_private_modules_stay_private(self, layer: str) -> None:
        for path in PACKAGE.rglob("*.py"):
            if path.parent.name == layer:
                continue
            for module in imported_modules(path):
                assert not module.startswith(f"ragwortpaddled.{layer}._"), f"{path}: {module}"
