"""Graceful shutdown: requests in flight complete, unless a second signal ends the wait."""

import signal
import threading
from collections.abc import Callable

from client_helpers import (
    HttpResponse,
    encode_chat_request,
    expected_chat_text,
    send_request,
    stream_chat,
)
from ragwortpaddle_standins.fleet import Fleet, fetch_json, returns_ok, wait_until


class TestGracefulShutdown:
    def test_streams_and_operations_in_flight_are_completed(
        self, new_installation: Callable[..., Fleet]
    ) -> None:
        fleet = new_installation(balancer_lag_ms=500)
        daemon = fleet.daemons[0]
        service = fleet.processes["parts-1"]
        service.set_faults(delay_ms=1500)
        results: dict[str, object] = {}

        def read_stream() -> None:
            results["stream"] = stream_chat(daemon, "in flight", 120)

        def send_order() -> None:
            results["order"] = send_request(
                daemon, "/services/orders/new", b"{}", idempotency_key="at-the-end"
            ).status

        threads = [threading.Thread(target=read_stream), threading.Thread(target=send_order)]
        for thread in threads:
            thread.start()
        wait_until(
            lambda: fetch_json(f"{daemon.url}/status")["requests_in_flight"] == 2,
            "both requests are in flight",
        )
        daemon.popen.send_signal(signal.SIGTERM)
        wait_until(
            lambda: send_request(daemon, "/readyz").status == 503, "the daemon reports not ready"
        )
        # Until the load balancer has seen this, new requests are still served.
        assert stream_chat(daemon, "late arrival", 3) == expected_chat_text("late arrival", 3)
        for thread in threads:
            thread.join()
        assert daemon.popen.wait(20) == 0
        assert results == {"stream": expected_chat_text("in flight", 120), "order": 200}
        repeat = send_request(
            fleet.daemons[1], "/services/orders/new", b"{}", idempotency_key="at-the-end"
        )
        assert repeat.headers["Ragwortpaddle-Replayed"] == "yes"

    def test_other_members_remove_the_leaving_daemon_at_once(
        self, new_installation: Callable[..., Fleet]
    ) -> None:
        fleet = new_installation(data_centres=("dc-a", "dc-a", "dc-a"))
        leaving, others = fleet.daemons[0], fleet.daemons[1:]
        wait_until(
            lambda: all(len(fetch_json(f"{d.url}/status")["members"]) == 2 for d in others),
            "every other daemon has two members",
        )
        leaving.popen.send_signal(signal.SIGTERM)

        def removed_everywhere() -> bool:
            status_pages = [fetch_json(f"{daemon.url}/status") for daemon in others]
            return all(
                leaving.name not in status_page["release_by_daemon"] for status_page in status_pages
            )

        wait_until(removed_everywhere, "the other daemons have removed the leaving one", 3)
        assert leaving.popen.wait(20) == 0


class TestSecondSignal:
    def test_second_sigterm_stops_draining_and_logs_interrupted_requests(
        self, new_installation: Callable[..., Fleet]
    ) -> None:
        fleet = new_installation()
        daemon = fleet.daemons[0]
        fleet.processes["parts-1"].set_faults(delay_ms=30_000)
        replies: list[HttpResponse] = []

        def send_order() -> None:
            replies.append(send_request(daemon, "/services/board/slow"))

        thread = threading.Thread(target=send_order)
        thread.start()
        wait_until(
            lambda: fetch_json(f"{daemon.url}/status")["requests_in_flight"] == 1,
            "the request is in flight",
        )
        daemon.popen.send_signal(signal.SIGTERM)
        wait_until(lambda: not returns_ok(f"{daemon.url}/readyz"), "the daemon is draining")
        daemon.popen.send_signal(signal.SIGTERM)
        assert daemon.popen.wait(10) == 0
        thread.join()
        assert "is cut off by the end of the daemon" in daemon.log_path.read_text()
        assert (replies[0].status, replies[0].executed) == (503, "unknown")


class TestInterruptedStream:
    def test_interrupted_stream_ends_with_an_error(
        self, new_installation: Callable[..., Fleet]
    ) -> None:
        fleet = new_installation()
        received: list[bytes] = []

        def read_stream() -> None:
            body = encode_chat_request("a stream to cut", 2000, stream=True)
            received.append(send_request(fleet.daemons[0], "/v1/chat/completions", body).body)

        thread = threading.Thread(target=read_stream)
        thread.start()
        wait_until(
            lambda: fetch_json(f"{fleet.daemons[0].url}/status")["requests_in_flight"] == 1,
            "the request is in flight",
        )
        for name, process in fleet.processes.items():
            if name.startswith("engine"):
                process.kill()
        thread.join()
        assert b"[DONE]" not in received[0]
        assert b'"executed":"unknown"' in received[0]
