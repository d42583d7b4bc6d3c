"""Signs messages between daemons with shared keys that can be rotated without a restart."""

import hashlib
import hmac
from pathlib import Path

import msgspec

from ragwortpaddled.errors import PeerRefusedError, SettingsError

MAC_BYTES = 32
MAX_CONTEXT_BYTES = 256


class _Envelope(msgspec.Struct, array_like=True):
    """A message, its authentication code and the id of the key that signed it."""

    key_id: str
    context: bytes
    body: bytes
    mac: bytes


class KeyRing:
    """Keys by id, read from a file of ``id hex`` lines; the first key signs, all keys verify.

    To rotate keys, add the new key as the last line on all daemons, then move it to the first line
    on all daemons, then remove the old key.
    """

    def __init__(self, path: Path | None = None) -> None:
        self._path = path
        self._loaded_mtime_ns = 0
        self._signing_key_id = ""
        self._key_by_id: dict[str, bytes] = {}
        if path is not None:
            self.reload()

    def reload(self) -> bool:
        """Read the file again if it has changed; return whether it had.

        :raises SettingsError: the file is missing or malformed
        """
        if self._path is None:
            return False
        try:
            mtime_ns = self._path.stat().st_mtime_ns
            if mtime_ns == self._loaded_mtime_ns:
                return False
            self.load(self._path.read_text())
        except (OSError, ValueError) as error:
            raise SettingsError(f"{self._path}: {error}") from error
        self._loaded_mtime_ns = mtime_ns
        return True

    def load(self, text: str) -> None:
        """Replace the keys with those of ``id hex`` lines.

        :raises ValueError: a line is malformed, or there are no keys
        """
        id_value_pairs = [line.split() for line in text.split("\n") if line.strip()]
        key_by_id = {key_id: bytes.fromhex(value) for key_id, value in id_value_pairs}
        if not key_by_id:
            raise ValueError("contains no keys")
        self._key_by_id = key_by_id
        self._signing_key_id = next(iter(key_by_id))

    def sign(self, body: bytes, context: bytes) -> bytes:
        """Return an envelope with a body, a context and the authentication code of both."""
        mac = self._mac(self._key_by_id[self._signing_key_id], context, body)
        return msgspec.msgpack.encode(_Envelope(self._signing_key_id, context, body, mac))

    def verify(self, data: bytes, context: bytes | None = None) -> tuple[bytes, bytes]:
        """Return the body and the context of a signed message, after checking both.

        :raises PeerRefusedError: the message is malformed, not authentic or of another context
        """
        try:
            envelope = msgspec.msgpack.decode(data, type=_Envelope)
        except (msgspec.MsgspecError, ValueError, RecursionError) as error:
            raise PeerRefusedError("malformed envelope") from error
        if len(envelope.context) > MAX_CONTEXT_BYTES:
            raise PeerRefusedError(f"the context exceeds {MAX_CONTEXT_BYTES} bytes")
        key = self._key_by_id.get(envelope.key_id)
        if key is None:
            raise PeerRefusedError("unknown key id")
        expected = self._mac(key, envelope.context, envelope.body)
        if not hmac.compare_digest(expected, envelope.mac):
            raise PeerRefusedError("invalid authentication code")
        if context is not None and envelope.context != context:
            raise PeerRefusedError("reply to a different request")
        return envelope.body, envelope.context

    @staticmethod
    def _mac(key: bytes, context: bytes, body: bytes) -> bytes:
        return hmac.digest(key, len(context).to_bytes(2) + context + body, hashlib.sha256)
