"""Wire format of the platform adapter, including malformed input."""

import json

import pytest
from adapter import PlatformDialect, PlatformStoreDialect
from hypothesis import given
from hypothesis import strategies as st
from ragwortpaddle_standins.relay_platform import configuration
from ragwortpaddled.errors import ObjectsError
from ragwortpaddled.protocol import (
    ForwardingMetadata,
    Hop,
    LayerRange,
    PlacementOrder,
    RequestKind,
    StoredObject,
)
from ragwortpaddled.transport import HttpReply

DIALECT = PlatformDialect()
STORE = PlatformStoreDialect()
JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=10,
)
PATH = (
    Hop("e1", "10.0.0.1:80", LayerRange(0, 20)),
    Hop("e2", "10.0.0.2:80", LayerRange(20, 80)),
)


def stored_object(value: object) -> StoredObject:
    return StoredObject("servers/e1", 7, json.dumps(value))


class TestConfiguration:
    def test_routes_pools_and_teams_are_decoded(self) -> None:
        config = DIALECT.decode_config(stored_object(configuration()))
        route_by_name = {route.name: route for route in config.routes}
        assert route_by_name["ask"].request_kind is RequestKind.STREAM
        assert route_by_name["ask"].retryable
        assert not route_by_name["once"].retryable
        assert not route_by_name["book"].retryable
        assert config.team_by_key["key-of-bench"].name == "bench-team"
        model = config.pool_by_name["model"].model
        assert model is not None
        assert model.kv_mb_per_token_layer == pytest.approx(0.1 / 8 * 8)
        assert config.pool_by_name["desk"].model is None

    def test_unknown_fields_are_ignored(self) -> None:
        assert DIALECT.decode_config(stored_object(configuration(3, novelty={"a": 1}))).version == 3

    @given(JSON_VALUES)
    def test_any_value_is_decoded_or_refused(self, value: object) -> None:
        try:
            DIALECT.decode_config(stored_object(value))
        except ObjectsError as error:
            assert str(error)


class TestEndpointEntries:
    def test_id_state_and_layers_are_decoded(self) -> None:
        entry = DIALECT.decode_endpoint(
            stored_object(
                {
                    "service": "model",
                    "address": "10.0.0.1:80",
                    "zone": "a",
                    "state": "draining",
                    "slots": 96,
                    "kind": "card",
                    "layers": {"from": 3, "target": 9, "version": 1},
                    "born": 1234,
                }
            )
        )
        assert (entry.id, entry.leaving, entry.layers) == ("e1", True, LayerRange(3, 9))

    @given(JSON_VALUES)
    def test_any_value_is_decoded_or_refused(self, value: object) -> None:
        try:
            DIALECT.decode_endpoint(stored_object(value))
        except ObjectsError as error:
            assert str(error)


class TestHeaders:
    @given(st.lists(st.tuples(st.binary(min_size=1), st.binary())))
    def test_any_headers_are_parsed(self, headers: list[tuple[bytes, bytes]]) -> None:
        metadata = DIALECT.parse_request_headers(headers)
        assert metadata.prompt_tokens >= 0

    @pytest.mark.parametrize(
        ("deadline", "expected"),
        [(b"1500", 1500.0), (b"nan", None), (b"-3", None), (b"soon", None), (b"inf", None)],
    )
    def test_deadline_is_parsed_and_invalid_one_ignored(
        self, deadline: bytes, expected: float | None
    ) -> None:
        assert DIALECT.parse_request_headers([(b"X-Deadline-Ms", deadline)]).deadline_ms == expected

    def test_length_hint_is_capped_at_the_token_limit(self) -> None:
        headers = [(b"X-Token-Counts", b"700,80"), (b"X-Length-Hint", b"500")]
        assert DIALECT.parse_request_headers(headers).expected_answer_tokens == 80

    def test_path_header_lists_each_stage_and_api_key_is_dropped(self) -> None:
        headers = DIALECT.build_forward_headers(
            [(b"X-Key", b"k")], ForwardingMetadata("e1", 900, "t", PATH)
        )
        value_by_header = dict(headers)
        assert value_by_header[b"X-Hop-Count"] == b"10.0.0.1:80=0-20,10.0.0.2:80=20-80"
        assert b"X-Key" not in value_by_header

    def test_last_event_id_of_caller_is_kept_unless_relay_resumes_later(self) -> None:
        caller_headers = [(b"Last-Event-Id", b"3")]
        assert (b"Last-Event-Id", b"3") in DIALECT.build_forward_headers(
            caller_headers, ForwardingMetadata("e1", 900)
        )
        resumed = DIALECT.build_forward_headers(
            caller_headers, ForwardingMetadata("e1", 900, last_event_id="9")
        )
        assert [value for name, value in resumed if name.lower() == b"last-event-id"] == [b"9"]

    @pytest.mark.parametrize(
        ("value", "parts"),
        [
            (b"5c1e07a2:800,91bd3f06:410,e4402b7d:250", ("5c1e07a2", "91bd3f06", "e4402b7d")),
            (b" a:1 , b ,,:7", ("a", "b")),
            (b"", ()),
        ],
    )
    def test_prompt_parts_are_parsed_without_their_sizes(
        self, value: bytes, parts: tuple[str, ...]
    ) -> None:
        metadata = DIALECT.parse_request_headers([(b"X-Prompt-Prefix", value)])
        assert metadata.prompt_parts == parts

    @pytest.mark.parametrize(
        ("value", "limit"),
        [(b"4.25", 4.25), (b"0", 0.0), (b"-1", None), (b"nan", None), (b"soon", None)],
    )
    def test_request_limit_is_parsed_and_invalid_one_ignored(
        self, value: bytes, limit: float | None
    ) -> None:
        metadata = DIALECT.parse_response_headers(200, [(b"Server-Limit", value)])
        assert metadata.requests_per_second == limit
        assert DIALECT.parse_response_headers(200, []).requests_per_second is None

    def test_status_421_means_not_run(self) -> None:
        assert DIALECT.parse_response_headers(421, []).not_run
        assert not DIALECT.parse_response_headers(500, []).not_run


class TestOrders:
    def test_placement_order_is_encoded(self) -> None:
        body = json.loads(DIALECT.encode_placement_order(PlacementOrder(LayerRange(20, 31), 4)))
        assert body == {
            "operation": "place",
            "from": 20,
            "target": 31,
            "mode": "queue",
            "fence": 4,
        }


class TestStore:
    def test_creation_posts_and_update_puts_with_revision(self) -> None:
        created = STORE.put("kind/a b", '{"x":1}', 0)
        assert (created.method, created.path) == ("POST", "/api/objects/kind")
        updated = STORE.put("kind/a b", '{"x":1}', 7)
        assert (updated.method, updated.path) == ("PUT", "/api/objects/kind/a%20b")
        assert json.loads(updated.body)["metadata"]["revision"] == 7

    def test_only_last_change_of_an_object_is_kept(self) -> None:
        def event(revision: int, removed: bool) -> dict:
            metadata = {"name": "e1", "revision": revision}
            return {"removed": removed, "object": {"metadata": metadata, "spec": {}}}

        body = {"events": [event(4, False), event(5, True)], "storeRevision": 5}
        changes = STORE.decode_changes("servers/", HttpReply(200, (), json.dumps(body).encode()))
        assert (changes.objects, changes.removed) == ([], ["servers/e1"])

    def test_next_page_starts_after_last_object(self) -> None:
        item = {"metadata": {"name": "e1", "revision": 4}, "spec": {}}
        body = {"items": [item], "hasMore": True, "storeRevision": 5}
        page = STORE.decode_list("servers/", HttpReply(200, (), json.dumps(body).encode()))
        assert STORE.list_objects("servers/", page.continue_after).path.endswith("?startAfter=e1")
