"""Seals messages between daemons with shared keys that rotate without a restart."""

import hashlib
import hmac
from pathlib import Path

import msgspec

from ragwortpaddled.errors import PeerRefusedError, SettingsError

MAC_BYTES = 32


class _Envelope(msgspec.Struct, array_like=True):
    """A message with the id of the key that sealed it."""

    key_id: str
    context: bytes
    body: bytes
    mac: bytes


class KeyRing:
    """Keys by id, read from a file of ``id hex`` lines; the first line's key seals.

    To rotate, add the new key as the last line everywhere, then make it the first line everywhere,
    then remove the old one.
    """

    def __init__(self, path: Path | None = None) -> None:
        self._path = path
        self._read_at_ns = 0
        self._sealing_id = ""
        self._key_by_id: dict[str, bytes] = {}
        if path is not None:
            self.reload()

    def reload(self) -> bool:
        """Read the file again if it has changed.

        :raises SettingsError: the file is missing or malformed
        """
        if self._path is None:
            return False
        try:
            changed_at_ns = self._path.stat().st_mtime_ns
            if changed_at_ns == self._read_at_ns:
                return False
            self.load(self._path.read_text())
        except (OSError, ValueError) as error:
            raise SettingsError(f"{self._path}: {error}") from error
        self._read_at_ns = changed_at_ns
        return True

    def load(self, text: str) -> None:
        """Take keys from ``id hex`` lines.

        :raises ValueError: a line is malformed, or there is none
        """
        pairs = [line.split() for line in text.split("\n") if line.strip()]
        key_by_id = {key_id: bytes.fromhex(value) for key_id, value in pairs}
        if not key_by_id:
            raise ValueError("holds no key")
        self._key_by_id = key_by_id
        self._sealing_id = next(iter(key_by_id))

    def seal(self, body: bytes, context: bytes) -> bytes:
        """Wrap a body; the receiver must see the same context."""
        mac = self._mac(self._key_by_id[self._sealing_id], context, body)
        return msgspec.msgpack.encode(_Envelope(self._sealing_id, context, body, mac))

    def open(self, data: bytes, context: bytes | None = None) -> tuple[bytes, bytes]:
        """Return the body and the context of a sealed message.

        :raises PeerRefusedError: the message is malformed, unauthentic or of another context
        """
        try:
            envelope = msgspec.msgpack.decode(data, type=_Envelope)
        except msgspec.MsgspecError as error:
            raise PeerRefusedError("malformed envelope") from error
        key = self._key_by_id.get(envelope.key_id)
        if key is None:
            raise PeerRefusedError("unknown key")
        expected = self._mac(key, envelope.context, envelope.body)
        if not hmac.compare_digest(expected, envelope.mac):
            raise PeerRefusedError("wrong authentication code")
        if context is not None and envelope.context != context:
            raise PeerRefusedError("reply to another message")
        return envelope.body, envelope.context

    @staticmethod
    def _mac(key: bytes, context: bytes, body: bytes) -> bytes:
        return hmac.digest(key, len(context).to_bytes(2) + context + body, hashlib.sha256)
