"""Reads and writes operator objects as text: INI for operators, JSON for the platform."""

from dataclasses import asdict, dataclass, fields
from pathlib import Path

from pydantic import TypeAdapter, ValidationError

from ragwortpaddled._ini import format_validation_errors, read_ini
from ragwortpaddled.errors import ObjectsError
from ragwortpaddled.state._objects import (
    OBJECT_TYPES,
    TYPE_BY_KIND,
    ObjectSet,
    OperatorObject,
)

VERSION_KEY = "version_read"

_ADAPTER_BY_KIND: dict[str, TypeAdapter[OperatorObject]] = {
    object_type.kind: TypeAdapter(object_type) for object_type in OBJECT_TYPES
}


@dataclass(frozen=True, slots=True)
class ObjectEdit:
    """An object from a file; ``version_read`` is the stored version it is based on, if given."""

    item: OperatorObject
    version_read: int | None


def read_objects(paths: list[Path]) -> list[ObjectEdit]:
    """Read the objects of INI files.

    :raises ObjectsError: some objects are malformed; the message has a line for each error
    """
    edits: list[ObjectEdit] = []
    problems: list[str] = []
    for path in paths:
        parser = read_ini(path)
        for section in parser.sections():
            values = dict(parser[section])
            version_read = values.pop(VERSION_KEY, None)
            try:
                item = parse_object(section, values)
                edits.append(ObjectEdit(item, None if version_read is None else int(version_read)))
            except ValidationError as error:
                problems.extend(format_validation_errors(error, str(path), (section,)))
            except (ObjectsError, ValueError) as error:
                problems.append(f"{path}: [{section}]: {error}")
    if problems:
        raise ObjectsError("\n".join(problems))
    return edits


def parse_object(section: str, values: dict[str, str]) -> OperatorObject:
    """Return the object of one ``kind:name`` section.

    :raises ObjectsError: the section name is malformed
    :raises pydantic.ValidationError: a value is malformed
    """
    kind, _, name = section.partition(":")
    adapter = _ADAPTER_BY_KIND.get(kind)
    if adapter is None or not name:
        kinds = ", ".join(TYPE_BY_KIND)
        raise ObjectsError(f"section name must have the form KIND:NAME, with KIND one of {kinds}")
    return adapter.validate_python({"name": name, **values})


def format_object(item: OperatorObject, version: int | None = None) -> str:
    """Return an object as an INI section, without fields that have their default value."""
    lines = [f"[{item.kind}:{item.name}]"]
    if version is not None:
        lines.append(f"{VERSION_KEY} = {version}")
    for object_field in fields(item):
        value = getattr(item, object_field.name)
        if object_field.name == "name" or value == object_field.default:
            continue
        lines.append(f"{object_field.name} = {_format(value)}")
    return "\n".join(lines) + "\n"


def encode_object(item: OperatorObject) -> str:
    """Return one object as JSON."""
    return _ADAPTER_BY_KIND[item.kind].dump_json(item).decode()


def decode_object(kind: str, text: str) -> OperatorObject:
    """Parse one object from JSON.

    :raises ObjectsError: the kind is unknown or the JSON is malformed
    """
    adapter = _ADAPTER_BY_KIND.get(kind)
    if adapter is None:
        raise ObjectsError(f"unknown object kind {kind}")
    try:
        return adapter.validate_json(text)
    except ValidationError as error:
        raise ObjectsError("; ".join(format_validation_errors(error, kind))) from error


def build_object_set(items: list[OperatorObject]) -> ObjectSet:
    """Return a set of objects; a later object replaces an earlier one of its kind and name."""
    tables: dict[str, dict[str, OperatorObject]] = {kind: {} for kind in TYPE_BY_KIND}
    for item in items:
        tables[item.kind][item.name] = item
    table_by_field = {f"{kind}_by_name": table for kind, table in tables.items()}
    return ObjectSet(**table_by_field)  # type: ignore[arg-type]


def diff_objects(ours: OperatorObject, theirs: OperatorObject) -> list[str]:
    """Return a line for each field that differs between two objects of the same kind."""
    our_values, their_values = asdict(ours), asdict(theirs)
    return [
        f"{name}: yours {_format(value)!r}, current {_format(their_values[name])!r}"
        for name, value in our_values.items()
        if value != their_values[name]
    ]


def _format(value: object) -> str:
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, tuple):
        return ", ".join(value)
    return str(value)
