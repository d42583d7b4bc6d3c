"""The client of the platform's object API."""

import logging
import time
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import Protocol, TypeVar
from urllib.parse import quote

import msgspec

from ragwortpaddled import telemetry
from ragwortpaddled.errors import (
    HistoryLostError,
    NotSentError,
    ObjectsError,
    PlatformError,
    PlatformUnavailableError,
    ReplyLostError,
    ValueTooLargeError,
    VersionConflictError,
    WriteOutcomeUnknownError,
)
from ragwortpaddled.protocol._json import decode_json
from ragwortpaddled.protocol._store_version import (
    ERA_BITS,
    Revision,
    Version,
    era_of,
    make_version,
    revision_of,
)
from ragwortpaddled.telemetry import trace_headers, tracer
from ragwortpaddled.transport import HttpExchange, HttpReply

T = TypeVar("T")

MAX_VALUE_BYTES = 1_000_000
ABSENT_VERSION = 0
MAX_ERA_DIGITS = 8
MAX_REASONS_PER_LOG_LINE = 5

logger = logging.getLogger(__name__)


class StoredObject(msgspec.Struct, frozen=True):
    """An object and its version, which increases with each write and each restore of the store.

    The versions that a dialect decodes are revisions; the client adds the era. The value is empty
    if the stored bytes cannot be read.
    """

    key: str
    version: Version
    value: str


class ObjectList(msgspec.Struct, frozen=True):
    """Objects whose keys start with a prefix, as of one revision of the store.

    In the response to a watch, ``removed`` holds the deleted keys. If a list is incomplete,
    ``continue_after`` is the key after which the next page starts. ``unreadable`` tells why
    objects have an empty value or, without a key, are missing.
    """

    revision: Revision
    objects: list[StoredObject]
    removed: list[str] = []
    continue_after: str = ""
    unreadable: list[str] = []


class ObjectChange(msgspec.Struct, frozen=True):
    """The latest change of an object that a daemon observed; ``value`` is None for a deletion.

    The version of a deletion is a revision of the store at which the object no longer existed.
    """

    key: str
    version: Version
    value: str | None


class Vm(msgspec.Struct, frozen=True):
    """One VM in the platform's list of VMs."""

    name: str
    role: str
    address: str
    data_centre: str
    pool: str = ""
    peer_address: str = ""
    state: str = "live"


@dataclass(frozen=True, slots=True)
class StoreRequest:
    """One HTTP request to the store."""

    method: str
    path: str
    body: bytes = b""
    headers: tuple[tuple[bytes, bytes], ...] = ()


class StoreDialect(Protocol):
    """Builds the requests to a store and decodes its replies.

    The decoding methods raise ``ObjectsError`` or ``ValueError`` for a malformed reply.
    """

    def get(self, key: str) -> StoreRequest:
        """Read one object."""

    def put(self, key: str, value: str, expected: int) -> StoreRequest:
        """Write one object if it is at the expected version; ``ABSENT_VERSION`` to create it."""

    def delete(self, key: str, expected: int) -> StoreRequest:
        """Delete one object if it is at the expected version."""

    def list_objects(self, prefix: str, after: str) -> StoreRequest:
        """List objects whose keys start with ``prefix`` and sort after the key ``after``."""

    def watch(self, prefix: str, after: int, wait_ms: int) -> StoreRequest:
        """Wait for changes, after a revision, of objects whose keys start with ``prefix``."""

    def decode_object(self, key: str, reply: HttpReply) -> StoredObject:
        """Decode one object."""

    def decode_list(self, prefix: str, reply: HttpReply) -> ObjectList:
        """Decode a list of objects."""

    def decode_changes(self, prefix: str, reply: HttpReply) -> ObjectList:
        """Decode the reply to a watch."""

    def decode_version(self, reply: HttpReply) -> int:
        """Decode the version from the reply to a successful write or to a version conflict."""

    def decode_era(self, reply: HttpReply) -> int | None:
        """Decode the number of the store's era, which each restore increments; None if absent."""


class ObjectApiDialect:
    """The dialect of the object API that ragwortpaddle defines."""

    def get(self, key: str) -> StoreRequest:
        """Read one object."""
        return StoreRequest("GET", f"/object?key={quote(key, safe='')}")

    def put(self, key: str, value: str, expected: int) -> StoreRequest:
        """Write one object if it is at the expected version."""
        return self._write("PUT", key, value.encode(), expected)

    def delete(self, key: str, expected: int) -> StoreRequest:
        """Delete one object if it is at the expected version."""
        return self._write("DELETE", key, b"", expected)

    def list_objects(self, prefix: str, after: str) -> StoreRequest:
        """List objects whose keys start with ``prefix``; this API returns all in one page."""
        return StoreRequest("GET", f"/objects?prefix={quote(prefix, safe='')}")

    def watch(self, prefix: str, after: int, wait_ms: int) -> StoreRequest:
        """Wait for changes, after a revision, of objects whose keys start with ``prefix``."""
        query = f"prefix={quote(prefix, safe='')}&after={after}&wait_ms={wait_ms}"
        return StoreRequest("GET", f"/watch?{query}")

    def decode_object(self, key: str, reply: HttpReply) -> StoredObject:
        """Decode one object; its version is in the Object-Version header."""
        version = int(reply.header(b"Object-Version") or b"0")
        return StoredObject(key, version, reply.body.decode())

    def decode_list(self, prefix: str, reply: HttpReply) -> ObjectList:
        """Decode a list of objects."""
        return decode_json(reply.body, ObjectList)

    def decode_changes(self, prefix: str, reply: HttpReply) -> ObjectList:
        """Decode the reply to a watch."""
        return decode_json(reply.body, ObjectList)

    def decode_version(self, reply: HttpReply) -> int:
        """Decode the version from the reply to a write."""
        return decode_json(reply.body, _WriteResult).version

    def decode_era(self, reply: HttpReply) -> int | None:
        """Decode the store's era from the Object-Era header."""
        return parse_era(reply.header(b"Object-Era"))

    @staticmethod
    def _write(method: str, key: str, body: bytes, expected: int) -> StoreRequest:
        path = f"/object?key={quote(key, safe='')}"
        return StoreRequest(method, path, body, ((b"If-Match", str(expected).encode()),))


def parse_era(value: bytes | None) -> int | None:
    """Return the era in a header's value, None if it is absent, malformed or out of range."""
    if value is None or not value.isdigit() or len(value) > MAX_ERA_DIGITS:
        return None
    return int(value) if int(value) < 1 << ERA_BITS else None


class _VmList(msgspec.Struct, frozen=True):
    vms: list[Vm]


class _WriteResult(msgspec.Struct, frozen=True):
    version: Version


class PlatformClient:
    """A client of the object API; each request names its purpose, by which requests are counted."""

    def __init__(
        self,
        http: HttpExchange,
        url: str,
        timeout_seconds: float,
        dialect: StoreDialect | None = None,
    ) -> None:
        self.calls_by_purpose: dict[str, int] = {}
        self.last_response_at = time.monotonic()
        self.era = 0  # of the store; it increases when the store is restored from a copy
        self.era_known = False
        self._http = http
        self._url = url
        self._timeout_seconds = timeout_seconds
        self._dialect = dialect or ObjectApiDialect()

    async def get(self, key: str, purpose: str) -> StoredObject | None:
        """Return an object, or None if there is none.

        :raises PlatformUnavailableError: the platform did not serve the request
        """
        reply = await self._read(self._dialect.get(key), purpose)
        if reply.status == 404:
            return None
        stored = _decode(lambda: self._dialect.decode_object(key, reply))
        return _add_era(stored, self._era_of_reply(reply))

    async def put(self, key: str, value: str, expected: int, purpose: str) -> int:
        """Write an object if it is at the expected version; return the new version.

        A version from before a restore of the store is not sent: its revision may be given out
        again for another write.

        :raises VersionConflictError: the object is at another version
        :raises ValueTooLargeError: the value exceeds the size limit
        :raises PlatformUnavailableError: the write did not take effect
        :raises WriteOutcomeUnknownError: the write may have taken effect or may do so later
        """
        if len(value.encode()) > MAX_VALUE_BYTES:
            raise ValueTooLargeError(
                f"{key}: {len(value.encode())} bytes exceed the limit of {MAX_VALUE_BYTES} bytes"
            )
        await self._check_era(key, expected, purpose)
        call = self._dialect.put(key, value, revision_of(expected))
        return await self._write(key, call, expected, purpose)

    async def delete(self, key: str, expected: int, purpose: str) -> None:
        """Delete an object if it is at the expected version; raises as ``put`` does."""
        await self._check_era(key, expected, purpose)
        call = self._dialect.delete(key, revision_of(expected))
        await self._write(key, call, expected, purpose)

    async def list_objects(self, prefix: str, purpose: str) -> ObjectList:
        """Return all objects whose keys start with ``prefix``.

        Objects may change between two pages of the list. Such changes are applied, unless the
        platform no longer has them; a watch from the revision of the list covers those as well.

        :raises PlatformUnavailableError: the platform did not serve the request
        """
        objects: list[StoredObject] = []
        after = ""
        first_era = None
        first_revision = None
        while True:
            reply = await self._read(self._dialect.list_objects(prefix, after), purpose)
            page = _decode(partial(self._dialect.decode_list, prefix, reply))
            era = self._era_of_reply(reply)
            first_era = era if first_era is None else first_era
            first_revision = page.revision if first_revision is None else first_revision
            if era != first_era:
                raise PlatformUnavailableError(f"{prefix}: the store was restored during the list")
            objects += [_add_era(stored, era) for stored in page.objects]
            _log_unreadable(prefix, page.unreadable)
            after = page.continue_after
            if after:
                continue
            listing = ObjectList(make_version(era, first_revision), objects)
            last_version = make_version(era, page.revision)
            return await self._apply_changes_since(prefix, listing, last_version, purpose)

    async def _apply_changes_since(
        self, prefix: str, listing: ObjectList, until: int, purpose: str
    ) -> ObjectList:
        """Return a list as of the version ``until`` or a later one."""
        while listing.revision < until:
            try:
                changes = await self.watch(prefix, listing.revision, 0.0, purpose)
            except HistoryLostError as error:
                fields = {"prefix": prefix, "reason": str(error)}
                logger.info("changes during a list not available", extra={"fields": fields})
                return listing
            has_progress = changes.revision > listing.revision
            version = changes.revision if has_progress else until
            listing = ObjectList(version, _merge_changes(listing.objects, changes))
        return listing

    async def watch(self, prefix: str, after: int, wait_seconds: float, purpose: str) -> ObjectList:
        """Wait for changes, after a version, of objects whose keys start with ``prefix``.

        :raises HistoryLostError: the platform no longer has the changes since that version, or it
            was restored since
        :raises PlatformUnavailableError: the platform did not serve the request
        """
        restored = f"{prefix}: the store was restored since era {era_of(after)}"
        if era_of(after) != self.era:
            raise HistoryLostError(restored)
        call = self._dialect.watch(prefix, revision_of(after), int(wait_seconds * 1000))
        reply = await self._read(call, purpose, wait_seconds)
        era = self._era_of_reply(reply)
        if era_of(after) != era:
            raise HistoryLostError(restored)
        changes = _decode(lambda: self._dialect.decode_changes(prefix, reply))
        objects = [_add_era(stored, era) for stored in changes.objects]
        _log_unreadable(prefix, changes.unreadable)
        return ObjectList(make_version(era, changes.revision), objects, changes.removed)

    async def list_vms(self, purpose: str) -> list[Vm]:
        """Return the platform's list of live and leaving VMs, which may be out of date.

        :raises PlatformUnavailableError: the platform did not serve the request
        """
        reply = await self._read(StoreRequest("GET", "/vms"), purpose)
        return _decode(lambda: decode_json(reply.body, _VmList)).vms

    async def _read(self, call: StoreRequest, purpose: str, wait_seconds: float = 0.0) -> HttpReply:
        try:
            reply = await self._exchange(call, purpose, wait_seconds)
        except (NotSentError, ReplyLostError) as error:
            raise PlatformUnavailableError(str(error)) from error
        if reply.status >= 500 or reply.status == 429:
            raise PlatformUnavailableError(f"{call.path}: HTTP status {reply.status}")
        self.last_response_at = time.monotonic()
        if reply.status == 410:
            raise HistoryLostError(
                f"{call.path}: changes since the revision are no longer available"
            )
        if reply.status not in (200, 404):
            raise PlatformError(f"{call.path}: unexpected HTTP status {reply.status}")
        return reply

    async def _check_era(self, key: str, expected: int, purpose: str) -> None:
        if expected == ABSENT_VERSION or era_of(expected) == self.era:
            return
        # The read also shows the era if this is the client's first call.
        stored = await self.get(key, purpose)
        if era_of(expected) != self.era:
            raise VersionConflictError(key, stored.version if stored else ABSENT_VERSION)

    async def _write(self, key: str, call: StoreRequest, expected: int, purpose: str) -> int:
        try:
            reply = await self._exchange(call, purpose)
        except NotSentError as error:
            raise PlatformUnavailableError(str(error)) from error
        except ReplyLostError as error:
            raise WriteOutcomeUnknownError(str(error)) from error
        era = self._era_of_reply(reply)
        decode_version = partial(self._dialect.decode_version, reply)
        if reply.status in (200, 201):
            if expected != ABSENT_VERSION and era_of(expected) != era:
                raise WriteOutcomeUnknownError(f"{key}: the store was restored before the write")
            return make_version(era, _decode(decode_version))
        if reply.status == 404:
            raise VersionConflictError(key, ABSENT_VERSION)
        if reply.status == 409:
            raise VersionConflictError(key, make_version(era, _decode(decode_version)))
        if reply.status == 413:
            raise ValueTooLargeError(f"{key}: the platform rejected the size of the value")
        if reply.status in (429, 503):
            raise PlatformUnavailableError(f"{key}: HTTP status {reply.status}")
        raise WriteOutcomeUnknownError(f"{key}: HTTP status {reply.status}")

    async def _exchange(
        self, call: StoreRequest, purpose: str, wait_seconds: float = 0.0
    ) -> HttpReply:
        """Send a request, count it and note the store's era.

        :raises NotSentError, ReplyLostError: see ``HttpExchange.exchange``
        """
        self.calls_by_purpose[purpose] = self.calls_by_purpose.get(purpose, 0) + 1
        result = "no answer"
        headers = [*call.headers, (b"Call-Purpose", purpose.encode()), *trace_headers()]
        try:
            with tracer.start_as_current_span(f"platform {purpose}"):
                reply = await self._http.exchange(
                    call.method,
                    self._url + call.path,
                    body=call.body,
                    headers=headers,
                    timeout_seconds=self._timeout_seconds + wait_seconds,
                )
            result = str(reply.status)
        finally:
            telemetry.platform_calls.add(1, {"purpose": purpose, "result": result})
        self._record_era(reply)
        return reply

    def _era_of_reply(self, reply: HttpReply) -> int:
        era = self._dialect.decode_era(reply)
        return self.era if era is None else era

    def _record_era(self, reply: HttpReply) -> None:
        era = self._era_of_reply(reply)
        if self.era_known and era > self.era:
            fields = {"era": era, "previous_era": self.era}
            logger.warning("platform store restored from a copy", extra={"fields": fields})
        self.era = max(self.era, era)
        self.era_known = True


def _merge_changes(objects: list[StoredObject], changes: ObjectList) -> list[StoredObject]:
    """Apply changes to objects, some of which may already be newer."""
    object_by_key = {stored.key: stored for stored in objects}
    for key in changes.removed:
        known = object_by_key.get(key)
        if known is not None and known.version <= changes.revision:
            del object_by_key[key]
    for stored in changes.objects:
        known = object_by_key.get(stored.key)
        if known is None or known.version < stored.version:
            object_by_key[stored.key] = stored
    return list(object_by_key.values())


def _add_era(stored: StoredObject, era: int) -> StoredObject:
    return StoredObject(stored.key, make_version(era, stored.version), stored.value)


def _decode(decode: Callable[[], T]) -> T:
    try:
        return decode()
    except (ObjectsError, ValueError) as error:
        raise PlatformUnavailableError(f"malformed reply from the platform: {error}") from error


def _log_unreadable(prefix: str, reasons: list[str]) -> None:
    if reasons:
        fields = {
            "prefix": prefix,
            "count": len(reasons),
            "reasons": reasons[:MAX_REASONS_PER_LOG_LINE],
        }
        logger.warning("unreadable objects in the store", extra={"fields": fields})
