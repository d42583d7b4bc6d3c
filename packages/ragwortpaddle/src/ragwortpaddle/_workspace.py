"""What operators do to the objects: read, edit under a version, publish, look back."""

import time
from dataclasses import dataclass

from ragwortpaddled.errors import (
    ObjectsError,
    RagwortpaddleError,
    VersionConflictError,
    WriteOutcomeUnknownError,
)
from ragwortpaddled.protocol import Platform, StoredObject
from ragwortpaddled.state import (
    HISTORY_PREFIX,
    OBJECTS_PREFIX,
    RELEASE_KEY,
    ObjectEdit,
    OperatorObject,
    Problem,
    Release,
    check_objects,
    collect,
    decode_object,
    decode_release,
    differing_fields,
    encode_object,
    encode_release,
    history_key,
    object_key,
)

PURPOSE = "operator"


class EditConflictError(RagwortpaddleError):
    """Somebody else changed an object since it was read."""


class PublishConflictError(RagwortpaddleError):
    """Somebody else published since the objects were read."""


class BrokenSetError(RagwortpaddleError):
    """The whole set has problems, so nothing is published."""

    def __init__(self, problems: list[Problem]) -> None:
        super().__init__("\n".join(str(problem) for problem in problems))
        self.problems = problems


@dataclass(frozen=True, slots=True)
class VersionedObject:
    """An object as the platform holds it."""

    item: OperatorObject
    version: int


class Workspace:
    """The operators' objects in the platform's service."""

    def __init__(self, platform: Platform) -> None:
        self._platform = platform

    async def objects(self) -> list[VersionedObject]:
        """Return all objects."""
        listing = await self._platform.list_objects(OBJECTS_PREFIX, PURPOSE)
        return [_read(stored) for stored in listing.objects]

    async def apply(self, edit: ObjectEdit) -> int:
        """Write one object under the version that was read; return its new version.

        :raises EditConflictError: it was changed meanwhile; the message tells what
        """
        item = edit.item
        key = object_key(item.kind, item.name)
        expected = edit.version_read
        if expected is None:
            stored = await self._platform.get(key, PURPOSE)
            if stored is not None and _read(stored).item == item:
                return stored.version
            expected = 0
        try:
            return await self._put(key, encode_object(item), expected)
        except VersionConflictError as error:
            raise EditConflictError(await self._explain_conflict(item, error)) from error

    async def delete(self, kind: str, name: str, version_read: int) -> None:
        """Delete an object under the version that was read.

        :raises EditConflictError: it was changed meanwhile
        """
        try:
            await self._platform.delete(object_key(kind, name), version_read, PURPOSE)
        except VersionConflictError as error:
            raise EditConflictError(
                f"[{kind}:{name}] is at version {error.current}, not {version_read}; get it again"
            ) from error

    async def publish(self, publisher: str) -> Release:
        """Check the whole set and publish it as the next release.

        :raises BrokenSetError: the set has problems
        :raises PublishConflictError: somebody published meanwhile
        """
        # The release is read before the objects: whoever published since then wins.
        current = await self._platform.get(RELEASE_KEY, PURPOSE)
        objects = collect([versioned.item for versioned in await self.objects()])
        problems = check_objects(objects)
        if problems:
            raise BrokenSetError(problems)
        number, version = 1, 0
        if current is not None:
            previous = decode_release(current.value)
            number, version = previous.number + 1, current.version
            await self._keep_history(previous.number, current.value)
        release = Release(number, publisher, time.time(), objects)
        try:
            await self._put(RELEASE_KEY, encode_release(release), version)
        except VersionConflictError as error:
            raise PublishConflictError(
                "another release was published meanwhile; look at `ragwortpaddle history` "
                "and publish again"
            ) from error
        return release

    async def current(self) -> Release | None:
        """Return the release that is published."""
        stored = await self._platform.get(RELEASE_KEY, PURPOSE)
        return decode_release(stored.value) if stored else None

    async def history(self) -> list[Release]:
        """Return the releases, the latest first."""
        listing = await self._platform.list_objects(HISTORY_PREFIX, PURPOSE)
        releases = [decode_release(stored.value) for stored in listing.objects]
        current = await self.current()
        if current is not None:
            releases.append(current)
        return sorted(releases, key=lambda release: release.number, reverse=True)

    async def daemons(self) -> list[str]:
        """Return the addresses of the daemons that the platform lists."""
        vms = await self._platform.list_vms(PURPOSE)
        return [vm.address for vm in vms if vm.role == "entry" and vm.state == "live"]

    async def _keep_history(self, number: int, text: str) -> None:
        try:
            await self._put(history_key(number), text, 0)
        except VersionConflictError:
            return

    async def _put(self, key: str, value: str, expected: int) -> int:
        """Write conditionally; where the reply is lost, read back what became of it."""
        try:
            return await self._platform.put(key, value, expected, PURPOSE)
        except WriteOutcomeUnknownError:
            stored = await self._platform.get(key, PURPOSE)
            if stored is not None and stored.value == value:
                return stored.version
            if stored is not None and stored.version != expected:
                raise VersionConflictError(key, stored.version) from None
            raise

    async def _explain_conflict(self, item: OperatorObject, error: VersionConflictError) -> str:
        section = f"[{item.kind}:{item.name}]"
        stored = await self._platform.get(object_key(item.kind, item.name), PURPOSE)
        if stored is None:
            return f"{section} was deleted meanwhile; drop its version_read to create it anew"
        lines = differing_fields(item, _read(stored).item)
        return "\n  ".join(
            [
                f"{section} is at version {stored.version}; get it and apply your change again",
                *lines,
            ]
        )


def _read(stored: StoredObject) -> VersionedObject:
    kind, _, _name = stored.key.removeprefix(OBJECTS_PREFIX).partition("/")
    try:
        return VersionedObject(decode_object(kind, stored.value), stored.version)
    except ObjectsError as error:
        raise ObjectsError(f"{stored.key}: {error}") from error
