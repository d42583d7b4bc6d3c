"""Speaks the platform's object API."""

import time
from typing import TypeVar
from urllib.parse import quote

import msgspec

from ragwortpaddled.errors import (
    NotSentError,
    PlatformError,
    PlatformUnavailableError,
    ReplyLostError,
    ValueTooLargeError,
    VersionConflictError,
    WriteOutcomeUnknownError,
)
from ragwortpaddled.telemetry import trace_headers, tracer
from ragwortpaddled.transport import HttpClient, HttpReply

T = TypeVar("T")

MAX_VALUE_BYTES = 1_000_000
ABSENT = 0


class StoredObject(msgspec.Struct, frozen=True):
    """An object and its version, which grows with each write."""

    key: str
    version: int
    value: str


class ObjectList(msgspec.Struct, frozen=True):
    """Objects below a prefix as of one revision of the store."""

    revision: int
    objects: list[StoredObject]


class Vm(msgspec.Struct, frozen=True):
    """One entry of the platform's list of VMs."""

    name: str
    role: str
    address: str
    data_centre: str
    pool: str = ""
    peer_address: str = ""
    state: str = "live"


class _VmList(msgspec.Struct, frozen=True):
    vms: list[Vm]


class _Written(msgspec.Struct, frozen=True):
    version: int


class Platform:
    """A client of the object API; each call names its purpose, by which it is counted."""

    def __init__(self, http: HttpClient, url: str, timeout_seconds: float) -> None:
        self.calls_by_purpose: dict[str, int] = {}
        self.answered_at = time.monotonic()
        self._http = http
        self._url = url
        self._timeout_seconds = timeout_seconds

    async def get(self, key: str, purpose: str) -> StoredObject | None:
        """Return an object, or None if there is none.

        :raises PlatformUnavailableError: the platform did not answer
        """
        reply = await self._read(f"/object?key={quote(key, safe='')}", purpose)
        if reply.status == 404:
            return None
        version = int(reply.header(b"Object-Version") or b"0")
        return StoredObject(key, version, reply.body.decode())

    async def put(self, key: str, value: str, expected: int, purpose: str) -> int:
        """Write an object if it is at the expected version; return the new version.

        :raises VersionConflictError: it is at another version
        :raises PlatformUnavailableError: the write did not take effect
        :raises WriteOutcomeUnknownError: it may have taken effect, now or later
        """
        body = value.encode()
        if len(body) > MAX_VALUE_BYTES:
            raise ValueTooLargeError(f"{key}: {len(body)} bytes")
        return await self._write("PUT", key, body, expected, purpose)

    async def delete(self, key: str, expected: int, purpose: str) -> None:
        """Delete an object if it is at the expected version; raises as ``put`` does."""
        await self._write("DELETE", key, b"", expected, purpose)

    async def list_objects(self, prefix: str, purpose: str) -> ObjectList:
        """Return the objects below a prefix.

        :raises PlatformUnavailableError: the platform did not answer
        """
        reply = await self._read(f"/objects?prefix={quote(prefix, safe='')}", purpose)
        return _decode(reply, ObjectList)

    async def watch(self, prefix: str, after: int, wait_seconds: float, purpose: str) -> ObjectList:
        """Wait for objects below a prefix that are newer than a revision.

        :raises PlatformUnavailableError: the platform did not answer
        """
        wait_ms = int(wait_seconds * 1000)
        path = f"/watch?prefix={quote(prefix, safe='')}&after={after}&wait_ms={wait_ms}"
        reply = await self._read(path, purpose, wait_seconds)
        return _decode(reply, ObjectList)

    async def list_vms(self, purpose: str) -> list[Vm]:
        """Return the platform's list of live and leaving VMs, which lags.

        :raises PlatformUnavailableError: the platform did not answer
        """
        return _decode(await self._read("/vms", purpose), _VmList).vms

    async def _read(self, path: str, purpose: str, wait_seconds: float = 0.0) -> HttpReply:
        self._count(purpose)
        try:
            with tracer.start_as_current_span(f"platform {purpose}"):
                reply = await self._http.exchange(
                    "GET",
                    self._url + path,
                    headers=[(b"Call-Purpose", purpose.encode()), *trace_headers()],
                    timeout_seconds=self._timeout_seconds + wait_seconds,
                )
        except (NotSentError, ReplyLostError) as error:
            raise PlatformUnavailableError(str(error)) from error
        if reply.status >= 500:
            raise PlatformUnavailableError(f"{path}: status {reply.status}")
        self.answered_at = time.monotonic()
        if reply.status not in (200, 404):
            raise PlatformError(f"{path}: status {reply.status}")
        return reply

    async def _write(self, method: str, key: str, body: bytes, expected: int, purpose: str) -> int:
        self._count(purpose)
        try:
            with tracer.start_as_current_span(f"platform {purpose}"):
                reply = await self._http.exchange(
                    method,
                    f"{self._url}/object?key={quote(key, safe='')}",
                    body=body,
                    headers=[
                        (b"If-Match", str(expected).encode()),
                        (b"Call-Purpose", purpose.encode()),
                        *trace_headers(),
                    ],
                    timeout_seconds=self._timeout_seconds,
                )
        except NotSentError as error:
            raise PlatformUnavailableError(str(error)) from error
        except ReplyLostError as error:
            raise WriteOutcomeUnknownError(str(error)) from error
        if reply.status == 200:
            return _decode(reply, _Written).version
        if reply.status == 409:
            raise VersionConflictError(key, _decode(reply, _Written).version)
        if reply.status == 413:
            raise ValueTooLargeError(key)
        if reply.status == 503:
            raise PlatformUnavailableError(f"{key}: status 503")
        raise WriteOutcomeUnknownError(f"{key}: status {reply.status}")

    def _count(self, purpose: str) -> None:
        self.calls_by_purpose[purpose] = self.calls_by_purpose.get(purpose, 0) + 1


def _decode(reply: HttpReply, message_type: type[T]) -> T:
    try:
        return msgspec.json.decode(reply.body, type=message_type)
    except msgspec.MsgspecError as error:
        raise PlatformUnavailableError(f"malformed reply: {error}") from error
