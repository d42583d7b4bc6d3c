"""Layers import only layers below them, and no private modules of other layers."""

import ast
from collections.abc import Iterator
from pathlib import Path

import pytest

PACKAGE_DIRECTORY = Path(__file__).parent.parent / "packages/ragwortpaddled/src/ragwortpaddled"
LAYERS = ("transport", "protocol", "state", "coordination")


def imported_modules(path: Path) -> Iterator[str]:
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom) and node.module:
            yield node.module
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)


def layer_files(layer: str) -> list[Path]:
    return sorted((PACKAGE_DIRECTORY / layer).glob("*.py"))


class TestLayerImports:
    @pytest.mark.parametrize("layer", LAYERS)
    def test_layer_imports_no_layer_above(self, layer: str) -> None:
        layers_above = LAYERS[LAYERS.index(layer) + 1 :]
        assert layer_files(layer)
        for path in layer_files(layer):
            for module in imported_modules(path):
                parts = module.split(".")
                if parts[0] == "ragwortpaddled" and len(parts) > 1:
                    assert parts[1] not in layers_above, f"{path}: {module}"

    @pytest.mark.parametrize("layer", LAYERS)
    def test_private_modules_are_imported_only_by_their_layer(self, layer: str) -> None:
        for path in PACKAGE_DIRECTORY.rglob("*.py"):
            if path.parent.name == layer:
                continue
            for module in imported_modules(path):
                assert not module.startswith(f"ragwortpaddled.{layer}._"), f"{path}: {module}"
