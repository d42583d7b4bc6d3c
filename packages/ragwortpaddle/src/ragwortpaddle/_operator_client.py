"""Operators' access to the objects: reads, conditional writes, publishing and history."""

import time
from dataclasses import dataclass

from ragwortpaddled.errors import (
    ObjectsError,
    RagwortpaddleError,
    VersionConflictError,
    WriteOutcomeUnknownError,
)
from ragwortpaddled.protocol import PlatformClient, StoredObject, era_of
from ragwortpaddled.state import (
    HISTORY_PREFIX,
    OBJECTS_PREFIX,
    RELEASE_KEY,
    ObjectEdit,
    OperatorObject,
    Problem,
    Release,
    build_object_set,
    check_objects,
    decode_object,
    decode_release,
    diff_objects,
    encode_object,
    encode_release,
    history_key,
    object_key,
)

CALL_PURPOSE = "operator"
MAX_RELEASES_PER_ERA = 1_000_000


class EditConflictError(RagwortpaddleError):
    """An object has changed since it was read, so it was not written or deleted."""


class PublishConflictError(RagwortpaddleError):
    """Another release was published since the objects were read."""


class BrokenSetError(RagwortpaddleError):
    """The objects fail validation as a set, so nothing is published."""

    def __init__(self, problems: list[Problem]) -> None:
        super().__init__("\n".join(str(problem) for problem in problems))
        self.problems = problems


@dataclass(frozen=True, slots=True)
class VersionedObject:
    """An object and its version in the platform's store."""

    item: OperatorObject
    version: int


class OperatorClient:
    """Reads, edits and publishes the operators' objects in the platform's object API."""

    def __init__(self, platform: PlatformClient) -> None:
        self._platform = platform

    async def list_objects(self) -> list[VersionedObject]:
        """Return all objects."""
        listing = await self._platform.list_objects(OBJECTS_PREFIX, CALL_PURPOSE)
        return [_decode_stored(stored) for stored in listing.objects]

    async def apply(self, edit: ObjectEdit) -> int:
        """Write one object if it is still at the version that was read; return its new version.

        Without ``version_read`` the object is created; an equal existing one is left unchanged.

        :raises EditConflictError: the object has changed; the message lists the differing fields
        """
        item = edit.item
        key = object_key(item.kind, item.name)
        expected_version = edit.version_read
        if expected_version is None:
            stored = await self._platform.get(key, CALL_PURPOSE)
            if stored is not None and _decode_stored(stored).item == item:
                return stored.version
            expected_version = 0
        try:
            return await self._put(key, encode_object(item), expected_version)
        except VersionConflictError as error:
            raise EditConflictError(await self._explain_conflict(item, error)) from error

    async def delete(self, kind: str, name: str, version_read: int) -> None:
        """Delete an object if it is still at the version that was read.

        :raises EditConflictError: the object has changed
        """
        try:
            await self._platform.delete(object_key(kind, name), version_read, CALL_PURPOSE)
        except VersionConflictError as error:
            raise EditConflictError(
                f"[{kind}:{name}] is at version {error.current}, not {version_read}; read it again"
            ) from error

    async def publish(self, publisher: str) -> Release:
        """Validate all objects as a set and publish them as the next release.

        :raises BrokenSetError: the objects fail validation
        :raises PublishConflictError: another release was published meanwhile
        """
        # Read the release before the objects, so that the conditional write below fails if another
        # release was published since.
        current = await self._platform.get(RELEASE_KEY, CALL_PURPOSE)
        objects = build_object_set([versioned.item for versioned in await self.list_objects()])
        problems = check_objects(objects)
        if problems:
            raise BrokenSetError(problems)
        number, version = 1, 0
        if current is not None:
            previous = decode_release(current.value)
            number, version = previous.number + 1, current.version
            # The numbers of releases that a restored store has lost are not given out again.
            number = max(number, era_of(version) * MAX_RELEASES_PER_ERA + 1)
            await self._save_history(previous.number, current.value)
        release = Release(number, publisher, time.time(), objects)
        try:
            await self._put(RELEASE_KEY, encode_release(release), version)
        except VersionConflictError as error:
            raise PublishConflictError(
                "another release was published meanwhile; see `ragwortpaddle history` "
                "and publish again"
            ) from error
        return release

    async def get_current_release(self) -> Release | None:
        """Return the latest published release, or None before the first."""
        stored = await self._platform.get(RELEASE_KEY, CALL_PURPOSE)
        return decode_release(stored.value) if stored else None

    async def list_releases(self) -> list[Release]:
        """Return all published releases, the latest first."""
        listing = await self._platform.list_objects(HISTORY_PREFIX, CALL_PURPOSE)
        releases = [decode_release(stored.value) for stored in listing.objects]
        current = await self.get_current_release()
        if current is not None:
            releases.append(current)
        return sorted(releases, key=lambda release: release.number, reverse=True)

    async def list_daemon_addresses(self) -> list[str]:
        """Return the addresses of the live entry daemons that the platform lists."""
        vms = await self._platform.list_vms(CALL_PURPOSE)
        return [vm.address for vm in vms if vm.role == "entry" and vm.state == "live"]

    async def _save_history(self, number: int, text: str) -> None:
        try:
            await self._put(history_key(number), text, 0)
        except VersionConflictError:
            return

    async def _put(self, key: str, value: str, expected_version: int) -> int:
        """Write conditionally; if the response is lost, read the object to find the outcome."""
        try:
            return await self._platform.put(key, value, expected_version, CALL_PURPOSE)
        except WriteOutcomeUnknownError:
            stored = await self._platform.get(key, CALL_PURPOSE)
            if stored is not None and stored.value == value:
                return stored.version
            if stored is not None and stored.version != expected_version:
                raise VersionConflictError(key, stored.version) from None
            raise

    async def _explain_conflict(self, item: OperatorObject, error: VersionConflictError) -> str:
        section = f"[{item.kind}:{item.name}]"
        stored = await self._platform.get(object_key(item.kind, item.name), CALL_PURPOSE)
        if stored is None:
            return f"{section} was deleted meanwhile; remove its version_read to create it again"
        lines = diff_objects(item, _decode_stored(stored).item)
        return "\n  ".join(
            [
                f"{section} is at version {stored.version}; read it and apply your change again",
                *lines,
            ]
        )


def _decode_stored(stored: StoredObject) -> VersionedObject:
    kind, _, _name = stored.key.removeprefix(OBJECTS_PREFIX).partition("/")
    try:
        return VersionedObject(decode_object(kind, stored.value), stored.version)
    except ObjectsError as error:
        raise ObjectsError(f"{stored.key}: {error}") from error
