"""Reads an INI file into typed values and names file, section and key in each problem."""

from configparser import ConfigParser
from configparser import Error as ConfigParserError
from pathlib import Path
from typing import TypeVar

from pydantic import TypeAdapter, ValidationError

from ragwortpaddled.errors import SettingsError

T = TypeVar("T")


def read_ini(path: Path) -> ConfigParser:
    """Parse a file.

    :raises SettingsError: it cannot be read or is not INI
    """
    parser = ConfigParser(interpolation=None)
    try:
        parser.read_string(path.read_text(), source=str(path))
    except (OSError, UnicodeDecodeError, ConfigParserError) as error:
        raise SettingsError(f"{path}: {error}") from error
    return parser


def describe(error: ValidationError, source: str, sections: tuple[str, ...] = ()) -> list[str]:
    """Return one line for each problem of a validation: source, section, key and cause."""
    lines = []
    for problem in error.errors():
        names = sections + tuple(str(part) for part in problem["loc"])
        where = f"[{names[0]}]" if names else ""
        if len(names) > 1:
            where += f" {names[1]}"
        lines.append(f"{source}: {where}: {problem['msg']}")
    return lines


def validate(adapter: TypeAdapter[T], parser: ConfigParser, source: str) -> T:
    """Check a parsed file against a model whose fields are its sections.

    :raises SettingsError: with a line for each problem
    """
    values = {name: dict(parser[name]) for name in parser.sections()}
    try:
        return adapter.validate_python(values)
    except ValidationError as error:
        raise SettingsError("\n".join(describe(error, source))) from error
