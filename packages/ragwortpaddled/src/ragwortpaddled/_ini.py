"""Reads INI files into typed values; every problem names its file, section and key."""

from configparser import ConfigParser
from configparser import Error as ConfigParserError
from pathlib import Path
from typing import TypeVar

from pydantic import TypeAdapter, ValidationError

from ragwortpaddled.errors import SettingsError

T = TypeVar("T")


def read_ini(path: Path) -> ConfigParser:
    """Parse an INI file.

    :raises SettingsError: the file cannot be read or is not valid INI
    """
    parser = ConfigParser(interpolation=None)
    try:
        parser.read_string(path.read_text(), source=str(path))
    except (OSError, UnicodeDecodeError, ConfigParserError) as error:
        raise SettingsError(f"{path}: {error}") from error
    return parser


def format_validation_errors(
    error: ValidationError, source: str, sections: tuple[str, ...] = ()
) -> list[str]:
    """Return one line per validation problem, naming source, section, key and cause."""
    lines = []
    for problem in error.errors():
        location = sections + tuple(str(part) for part in problem["loc"])
        place = f"[{location[0]}]" if location else ""
        if len(location) > 1:
            place += f" {location[1]}"
        lines.append(f"{source}: {place}: {problem['msg']}")
    return lines


def validate_ini(adapter: TypeAdapter[T], parser: ConfigParser, source: str) -> T:
    """Validate a parsed INI file against a model that has one field per section.

    :raises SettingsError: a value is invalid; the message has one line per problem
    """
    values = {name: dict(parser[name]) for name in parser.sections()}
    try:
        return adapter.validate_python(values)
    except ValidationError as error:
        raise SettingsError("\n".join(format_validation_errors(error, source))) from error
