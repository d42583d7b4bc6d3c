"""End-to-end tests: callers, daemons, engines and services run as separate processes."""

import http.client
import json
import socket

import openai
import pytest
from client_helpers import (
    CHAT_PROMPT,
    encode_chat_request,
    expected_chat_text,
    openai_client,
    send_request,
    stream_chat,
)
from ragwortpaddle_standins import model
from ragwortpaddle_standins.demo import LAYER_COUNT
from ragwortpaddle_standins.fleet import Fleet, fetch_json, wait_until


class TestModels:
    def test_lists_the_routes_of_the_team(self, installation: Fleet) -> None:
        models = openai_client(installation.daemons[0]).models.list()
        assert [entry.id for entry in models.data] == ["pedal-assistant"]


class TestChat:
    def test_streams_the_whole_response(self, installation: Fleet) -> None:
        for daemon in installation.daemons:
            assert stream_chat(daemon, CHAT_PROMPT, 40) == expected_chat_text(CHAT_PROMPT, 40)

    def test_returns_the_whole_response(self, installation: Fleet) -> None:
        completion = openai_client(installation.daemons[0]).chat.completions.create(
            model="pedal-assistant",
            messages=[{"role": "user", "content": CHAT_PROMPT}],
            max_tokens=12,
        )
        assert completion.choices[0].message.content == expected_chat_text(CHAT_PROMPT, 12)
        assert completion.choices[0].finish_reason == "length"
        assert completion.usage.completion_tokens == 12

    def test_includes_usage_if_requested(self, installation: Fleet) -> None:
        stream = openai_client(installation.daemons[0]).chat.completions.create(
            model="pedal-assistant",
            messages=[{"role": "user", "content": CHAT_PROMPT}],
            max_tokens=5,
            stream=True,
            stream_options={"include_usage": True},
        )
        usages = [chunk.usage for chunk in stream if chunk.usage]
        assert [usage.completion_tokens for usage in usages] == [5]

    def test_stream_ends_with_done(self, installation: Fleet) -> None:
        body = encode_chat_request(CHAT_PROMPT, 3, stream=True)
        http_response = send_request(installation.daemons[0], "/v1/chat/completions", body)
        assert http_response.body.endswith(b"data: [DONE]\n\n")
        assert http_response.headers["Ragwortpaddle-Request-Id"]


class TestCompletion:
    def test_returns_the_same_text_whole_and_streamed(self, installation: Fleet) -> None:
        client = openai_client(installation.daemons[1])
        expected = model.render(model.generate(CHAT_PROMPT, LAYER_COUNT, 9))
        whole = client.completions.create(model="pedal-assistant", prompt=CHAT_PROMPT, max_tokens=9)
        assert whole.choices[0].text == expected
        stream = client.completions.create(
            model="pedal-assistant", prompt=CHAT_PROMPT, max_tokens=9, stream=True
        )
        assert "".join(chunk.choices[0].text for chunk in stream) == expected


class TestServices:
    def test_passes_method_path_query_and_body(self, installation: Fleet) -> None:
        path = "/services/board/lost/7?colour=red"
        http_response = send_request(installation.daemons[0], path, b'{"a":1}', method="PUT")
        assert http_response.status == 200
        assert json.loads(http_response.body)["path"] == "/do/board/lost/7"
        assert json.loads(http_response.body)["echo"] == '{"a":1}'
        assert http_response.headers["Service-Sequence"]

    def test_operation_without_an_idempotency_key_is_refused(self, installation: Fleet) -> None:
        http_response = send_request(installation.daemons[0], "/services/orders/new", b"{}")
        assert (http_response.status, http_response.error["code"]) == (400, "key_required")
        assert http_response.executed == "no"

    def test_operation_with_one_idempotency_key_runs_once(self, installation: Fleet) -> None:
        replies = [
            send_request(daemon, "/services/orders/new", b'{"n":1}', idempotency_key="once-7")
            for daemon in installation.daemons
        ]
        assert {http_response.body for http_response in replies} == {replies[0].body}
        executions = fetch_json(f"{installation.processes['parts-1'].url}/executions")
        assert sum(item["idempotency_key"] == "once-7" for item in executions) == 1

    def test_idempotency_key_reused_with_another_body_is_refused(self, installation: Fleet) -> None:
        send_request(
            installation.daemons[0], "/services/orders/new", b'{"n":1}', idempotency_key="reused"
        )
        http_response = send_request(
            installation.daemons[1], "/services/orders/new", b'{"n":2}', idempotency_key="reused"
        )
        assert (http_response.status, http_response.error["code"]) == (422, "key_reused")


class TestRefusals:
    def test_unknown_bearer_token_is_refused(self, installation: Fleet) -> None:
        with pytest.raises(openai.AuthenticationError):
            openai_client(installation.daemons[0], "wrong").models.list()

    def test_unknown_model_is_refused(self, installation: Fleet) -> None:
        body = encode_chat_request(CHAT_PROMPT, 3, model="no-such-model")
        http_response = send_request(installation.daemons[0], "/v1/chat/completions", body)
        assert (http_response.status, http_response.error["code"]) == (404, "model_not_found")
        assert (http_response.executed, http_response.error["executed"]) == ("no", "no")

    @pytest.mark.parametrize(
        "body",
        [b"", b"{", b"[]", b'{"model":3}', b'{"model":"pedal-assistant","messages":[]}', b"\xff"],
    )
    def test_malformed_body_is_refused(self, installation: Fleet, body: bytes) -> None:
        http_response = send_request(installation.daemons[0], "/v1/chat/completions", body)
        assert (http_response.status, http_response.error["code"]) == (400, "bad_request")

    def test_body_over_the_size_limit_is_refused(self, installation: Fleet) -> None:
        http_response = send_request(
            installation.daemons[0], "/v1/chat/completions", b"x" * 1_000_001
        )
        assert (http_response.status, http_response.error["code"]) == (413, "body_too_large")

    def test_ten_megabyte_header_is_refused(self, installation: Fleet) -> None:
        host, _, port = installation.daemons[0].address.partition(":")
        with socket.create_connection((host, int(port)), timeout=10) as connection:
            connection.sendall(b"GET /v1/models HTTP/1.1\r\nHost: x\r\nX-Large: ")
            received = b""
            try:
                for _ in range(160):
                    connection.sendall(b"x" * 65536)
                received = connection.recv(65536)
            except ConnectionError:
                received = received or connection.recv(65536)
        assert received.startswith(b"HTTP/1.1 431")
        assert b"Ragwortpaddle-Executed: no" in received
        assert send_request(installation.daemons[0], "/healthz").status == 200


class TestCallerDisconnect:
    def test_cancels_the_request_at_every_stage(self, installation: Fleet) -> None:
        daemon = installation.daemons[0]
        host, _, port = daemon.address.partition(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=10)
        headers = {"Authorization": "Bearer zurich-token", "Content-Type": "application/json"}
        body = encode_chat_request("a caller that disconnects", 4000, stream=True)
        connection.request("POST", "/v1/chat/completions", body, headers)
        response = connection.getresponse()
        request_id = response.headers["Ragwortpaddle-Request-Id"]
        response.read(200)
        connection.sock.close() if connection.sock else response.close()
        response.close()
        engines = [p for name, p in installation.processes.items() if name.startswith("engine")]

        def cancelled_at_every_stage() -> bool:
            histories = [fetch_json(f"{engine.url}/history") for engine in engines]
            cancelled = [
                sequence
                for history in histories
                for sequence in history["cancelled"]
                if sequence["request"] == request_id
            ]
            return len(cancelled) >= 3

        wait_until(cancelled_at_every_stage, "the engines record the cancellation", 10)
        wait_until(
            lambda: fetch_json(f"{daemon.url}/status")["requests_in_flight"] == 0,
            "the daemon has no request in flight",
            10,
        )


class TestHealth:
    def test_health_and_metrics_pages_respond(self, installation: Fleet) -> None:
        daemon = installation.daemons[0]
        assert send_request(daemon, "/healthz").status == 200
        assert send_request(daemon, "/readyz").status == 200
        assert b"ragwortpaddle_requests" in send_request(daemon, "/metrics").body
