"""Odd values from other programs: each is refused where it arrives, and hides no other value."""

import contextlib
import json

import msgspec
import pynng
import pytest
from adapter import PlatformDialect
from hypothesis import given
from hypothesis import strategies as st
from ragwortpaddled.errors import ObjectsError, PeerRefusedError
from ragwortpaddled.protocol import StoredObject, decode_json, decode_message
from ragwortpaddled.transport import KeyRing, PeerClient, PeerServer
from ragwortpaddled.transport._peer_socket import MAX_CONCURRENT_REQUESTS

DIALECT = PlatformDialect()
DEPTH = 100_000
NESTED = b"[" * DEPTH + b"]" * DEPTH
MIXED_NESTED = b'{"a":[' * DEPTH + b"]}" * DEPTH


class TestDecoders:
    """Every decoder raises its one error, whatever the bytes."""

    @given(st.binary() | st.sampled_from([NESTED, MIXED_NESTED, b"[" * DEPTH, b'"' * DEPTH]))
    def test_any_json_is_decoded_or_refused(self, data: bytes) -> None:
        for message_type in (str, dict, float, msgspec.Raw):
            try:
                decode_json(data, message_type)
            except ObjectsError as error:
                assert len(str(error)) < 1000

    @given(st.binary() | st.sampled_from([b"\x91" * DEPTH, b"\x82\xa4type" + b"\x91" * DEPTH]))
    def test_any_peer_message_is_decoded_or_refused(self, data: bytes) -> None:
        keys = KeyRing()
        keys.load("a b1")
        for decode in (decode_message, keys.verify):
            with pytest.raises(PeerRefusedError):
                decode(data)

    def test_envelope_with_a_long_context_is_refused(self) -> None:
        keys = KeyRing()
        keys.load("a b1")
        with pytest.raises(PeerRefusedError):
            keys.verify(msgspec.msgpack.encode(["a", b"c" * 70_000, b"", b""]))

    @given(st.binary() | st.sampled_from([NESTED, MIXED_NESTED]))
    def test_any_report_is_decoded_or_refused(self, data: bytes) -> None:
        with pytest.raises(ObjectsError):
            DIALECT.decode_report(data)

    @pytest.mark.parametrize("value", [NESTED, MIXED_NESTED, b'{"version":' + NESTED + b"}", b""])
    def test_nested_configuration_is_refused(self, value: bytes) -> None:
        with pytest.raises(ObjectsError):
            DIALECT.decode_config(StoredObject("config/main", 1, value.decode()))

    def test_reason_of_a_long_value_is_bounded(self) -> None:
        stored = StoredObject("servers/odd", 1, json.dumps({"state": "x" * 100_000}))
        with pytest.raises(ObjectsError) as caught:
            DIALECT.decode_endpoint(stored)
        assert len(str(caught.value)) < 1000


class TestPeerServer:
    async def test_messages_that_no_peer_signed_do_not_stop_it(self) -> None:
        keys = KeyRing()
        keys.load("a b1")

        async def echo(body: bytes) -> bytes:
            return body

        server = PeerServer("127.0.0.1:0", keys, echo)
        server.start()
        long_context = msgspec.msgpack.encode(["a", b"c" * 70_000, b"", b""])
        with pynng.Req0(recv_timeout=300) as stranger:
            stranger.dial(f"tcp://{server.address}", block=True)
            for _ in range(MAX_CONCURRENT_REQUESTS):
                for message in (b"\x91" * DEPTH, long_context):
                    with contextlib.suppress(pynng.Timeout):
                        await stranger.asend(message)
                        await stranger.arecv()
        client = PeerClient(server.address, keys)
        assert await client.request(b"body", 1.0) == b"body"
        client.close()
        await server.close()
