"""Boundary of the platform adapter.

The adapter only translates, and the product source outside it uses none of the platform's names.
"""

import ast
import platform
import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PLATFORM_FOLDER = ROOT / "platform"
PRODUCT_FILES = [
    path
    for package in ("ragwortpaddled", "ragwortpaddle")
    for path in (ROOT / "packages" / package / "src").rglob("*.py")
]
WIRE_NAMES = re.compile(
    r"x-(attempt-id|server-seal|hop-count|not-executed|expect-replica|replica-(id|load)|key|tenant"
    r"|deadline-ms|token-counts|length-hint|request-urgency|model|prompt-prefix|weight-versions)\b"
    r"|at-server|server-limit|storeRevision|startAfter|waitMs|coldRemainingMs|kvUsed|kvTotal|pathPrefix"
    r"|trafficSplit|apiKeys|layerMb|readX|/api/(objects|order|report|readyz)",
    re.IGNORECASE,
)
# Modules that would let the adapter keep state, wait or depend on time.
FORBIDDEN_MODULES = {"asyncio", "logging", "random", "threading", "time", "socket", "aiohttp"}


class TestAdapterBoundary:
    @pytest.mark.parametrize("path", PRODUCT_FILES, ids=lambda path: path.name)
    def test_product_source_has_no_wire_names_of_the_platform(self, path: Path) -> None:
        assert not WIRE_NAMES.findall(path.read_text())

    @pytest.mark.parametrize(
        "path", sorted(PLATFORM_FOLDER.rglob("*.py")), ids=lambda path: path.name
    )
    def test_adapter_has_no_state_tasks_or_loops(self, path: Path) -> None:
        tree = ast.parse(path.read_text())
        for node in ast.walk(tree):
            if isinstance(node, ast.Import):
                modules = {alias.name.partition(".")[0] for alias in node.names}
                assert not modules & FORBIDDEN_MODULES
            if isinstance(node, ast.ImportFrom):
                assert (node.module or "").partition(".")[0] not in FORBIDDEN_MODULES
            assert not isinstance(node, ast.AsyncFunctionDef | ast.While | ast.Global)
            if isinstance(node, ast.FunctionDef):
                assert node.name != "__init__", "adapter objects must not hold state"

    def test_standard_library_module_platform_is_not_shadowed(self) -> None:
        assert not str(platform.__file__).startswith(str(ROOT))
