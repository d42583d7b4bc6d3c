"""At-most-once operations under failures of the store, the service and the daemon."""

import itertools
import threading
import time
import uuid
from collections.abc import Callable, Iterable, Iterator

import pytest
from client_helpers import HttpResponse, send_request, stream_chat
from ragwortpaddle_standins.fleet import Fleet, Process, fetch_json, returns_ok, wait_until

ORDERS = "/services/orders/new"


@pytest.fixture(scope="module")
def fleet(installation: Fleet) -> Fleet:
    return installation


@pytest.fixture(autouse=True)
def no_faults(fleet: Fleet) -> Iterator[None]:
    fleet.wait_ready()
    yield
    fleet.platform.set_faults()
    fleet.processes["parts-1"].set_faults()


def execution_count(fleet: Fleet, key: str) -> int:
    executed_operations = fetch_json(f"{fleet.processes['parts-1'].url}/executions")
    return sum(item["idempotency_key"] == key for item in executed_operations)


def recorded_intent_count(fleet: Fleet) -> int:
    stored_objects = fetch_json(f"{fleet.platform.url}/objects?prefix=operations/")["objects"]
    return sum(item["value"].count('"intent"') for item in stored_objects)


def send_order(daemon: Process, key: str) -> HttpResponse:
    return send_request(daemon, ORDERS, b'{"part":"resistor"}', idempotency_key=key)


def wait_for_outcome(daemon: Process, key: str) -> None:
    wait_until(lambda: send_order(daemon, key).status == 200, "the outcome is returned")


def new_key() -> str:
    return str(uuid.uuid4())


def run_orders_that_the_store_loses(fleet: Fleet, daemons: list[Process], count: int) -> list[str]:
    """Run operations through daemons in turn, after a copy of the store was taken."""
    fetch_json(f"{fleet.platform.url}/copy", {})
    keys = [new_key() for _ in range(count)]
    for key, daemon in zip(keys, itertools.cycle(daemons), strict=False):
        assert send_order(daemon, key).status == 200
    wait_until(lambda: recorded_intent_count(fleet) == 0, "the outcomes are recorded")
    return keys


def assert_outcomes_are_returned(fleet: Fleet, keys: list[str], daemons: Iterable[Process]) -> None:
    """Repeat operations until each daemon returns their outcomes; none may run again."""
    for key in keys:
        for daemon in daemons:
            wait_for_outcome(daemon, key)
        assert execution_count(fleet, key) == 1


def run_in_background(
    send: Callable[[], HttpResponse],
) -> tuple[threading.Thread, list[HttpResponse]]:
    replies: list[HttpResponse] = []

    def run() -> None:
        try:
            replies.append(send())
        except OSError:
            return

    thread = threading.Thread(target=run)
    thread.start()
    return thread, replies


class TestStoreOutage:
    def test_operations_are_refused_and_other_requests_are_served(self, fleet: Fleet) -> None:
        fleet.platform.set_faults(outage=True)
        key = new_key()
        for daemon in fleet.daemons:
            http_response = send_order(daemon, key)
            assert (http_response.status, http_response.error["code"]) == (503, "store_unavailable")
            assert http_response.executed == "no"
            assert int(http_response.headers["Retry-After"]) >= 1
            assert send_request(daemon, "/services/board/lost").status == 200
            assert stream_chat(daemon, "during the outage", 3)
        assert execution_count(fleet, key) == 0
        fleet.platform.set_faults()
        wait_until(
            lambda: send_order(fleet.daemons[0], key).status == 200, "operations are accepted again"
        )
        assert execution_count(fleet, key) == 1


class TestLostStoreReplies:
    @pytest.mark.parametrize("late_writes_ms", [0, 1300])
    def test_outcome_of_write_is_determined_by_reading_back(
        self, fleet: Fleet, late_writes_ms: int
    ) -> None:
        for daemon in fleet.daemons:
            key = new_key()
            fleet.platform.set_faults(lose_replies=1, late_writes_ms=late_writes_ms)
            first = send_order(daemon, key)
            assert first.status == 200 or first.executed == "no"
            fleet.platform.set_faults()
            wait_until(
                lambda d=daemon, k=key: send_order(d, k).status == 200,
                "the repeated request succeeds",
            )
            assert execution_count(fleet, key) == 1


class TestRestoredStore:
    def test_operation_whose_record_was_lost_is_not_run_again(self, fleet: Fleet) -> None:
        keys = run_orders_that_the_store_loses(fleet, fleet.daemons, 6)
        fetch_json(f"{fleet.platform.url}/restore", {})
        for daemon in fleet.daemons:
            for key in (keys[0], *(new_key() for _ in range(20))):
                send_order(daemon, key)
            assert execution_count(fleet, keys[0]) == 1
        assert_outcomes_are_returned(fleet, keys, fleet.daemons)

    def test_daemon_that_committed_the_record_is_gone(
        self, new_installation: Callable[..., Fleet]
    ) -> None:
        """Each record was known to the daemon of the caller and to the one that wrote it."""
        fleet = new_installation()
        keys = run_orders_that_the_store_loses(fleet, fleet.daemons[:1], 8)
        fleet.daemons[1].kill()
        fetch_json(f"{fleet.platform.url}/restore", {})
        survivors = (fleet.daemons[2], fleet.daemons[0])
        for key in keys:
            for daemon in survivors:
                send_order(daemon, key)
            assert execution_count(fleet, key) == 1
        assert_outcomes_are_returned(fleet, keys, survivors)

    def test_daemon_that_keeps_the_records_is_paused_during_the_restore(
        self, new_installation: Callable[..., Fleet]
    ) -> None:
        fleet = new_installation()
        keys = run_orders_that_the_store_loses(fleet, fleet.daemons[:1], 8)
        holder, writer, other = fleet.daemons
        writer.kill()
        holder.suspend()
        fetch_json(f"{fleet.platform.url}/restore", {})
        started = fleet.start_daemon("entry-4", fleet.data_centres[2])
        wait_until(lambda: returns_ok(f"{started.url}/readyz"), "the started daemon is ready")
        # Longer than the fixed time that a recovery once took, shorter than what counts as dead.
        end_at = time.monotonic() + 2.5
        for key, daemon in itertools.cycle(itertools.product(keys, (other, started))):
            send_order(daemon, key)
            if time.monotonic() > end_at:
                break
        holder.resume()
        assert_outcomes_are_returned(fleet, keys, (started, other, holder))

    def test_daemon_that_ran_the_operations_and_wrote_their_records_is_gone(
        self, new_installation: Callable[..., Fleet]
    ) -> None:
        fleet = new_installation()
        keys = run_orders_that_the_store_loses(fleet, fleet.daemons[:1], 8)
        fleet.daemons[0].kill()
        fetch_json(f"{fleet.platform.url}/restore", {})
        for daemon in fleet.daemons[1:]:
            wait_until(
                lambda d=daemon: send_order(d, new_key()).status == 200,
                "operations are accepted again",
            )
            for key in keys:
                send_order(daemon, key)
                assert execution_count(fleet, key) == 1


class TestLostServiceReplies:
    @pytest.mark.parametrize(("fault", "executed"), [("drop_before", 0), ("drop_after", 1)])
    def test_outcome_is_unknown_and_operation_is_not_run_again(
        self, fleet: Fleet, fault: str, executed: int
    ) -> None:
        key = new_key()
        fleet.processes["parts-1"].set_faults(**{fault: 1})
        http_response = send_order(fleet.daemons[0], key)
        assert (http_response.status, http_response.executed) == (504, "unknown")
        for daemon in fleet.daemons:
            repeat = send_order(daemon, key)
            assert (repeat.status, repeat.executed) == (409, "unknown")
        assert execution_count(fleet, key) == executed

    @pytest.mark.parametrize("method", ["PUT", "DELETE"])
    def test_idempotent_methods_are_not_retried(self, fleet: Fleet, method: str) -> None:
        key = new_key()
        fleet.processes["parts-1"].set_faults(drop_after=1)
        http_response = send_request(
            fleet.daemons[0], ORDERS, b"{}", method=method, idempotency_key=key
        )
        assert (http_response.status, http_response.executed) == (504, "unknown")
        assert execution_count(fleet, key) == 1

    def test_error_status_of_the_service_is_recorded_and_replayed(self, fleet: Fleet) -> None:
        key = new_key()
        fleet.processes["parts-1"].set_faults(fail=1)
        assert send_order(fleet.daemons[0], key).status == 500
        assert send_order(fleet.daemons[1], key).status == 500
        assert execution_count(fleet, key) == 0


class TestDatedKeys:
    def test_key_older_than_the_record_retention_is_refused(self, fleet: Fleet) -> None:
        http_response = send_order(fleet.daemons[0], "01890000-0000-7000-8000-000000000000")
        assert (http_response.status, http_response.error["code"]) == (409, "key_expired")
        assert http_response.executed == "unknown"


class TestConcurrentRequests:
    def test_concurrent_requests_with_one_key_execute_once(self, fleet: Fleet) -> None:
        fleet.processes["parts-1"].set_faults(delay_ms=300)
        key = new_key()
        threads = [
            run_in_background(lambda d=daemon: send_order(d, key))
            for daemon in fleet.daemons
            for _ in "123"
        ]
        replies = []
        for thread, received in threads:
            thread.join()
            replies += received
        assert sum(http_response.status == 200 for http_response in replies) >= 1
        assert all(http_response.status in (200, 409) for http_response in replies)
        assert execution_count(fleet, key) == 1


class TestKilledDaemon:
    def test_operation_of_killed_daemon_is_unknown_and_not_run_again(
        self, new_installation: Callable[..., Fleet]
    ) -> None:
        fleet = new_installation()
        service = fleet.processes["parts-1"]
        service.set_faults(delay_ms=1500)
        key = new_key()
        thread, _ = run_in_background(lambda: send_order(fleet.daemons[0], key))
        wait_until(lambda: recorded_intent_count(fleet), "the intent is recorded")
        wait_until(
            lambda: fetch_json(f"{service.url}/v1/status")["active"],
            "the service is executing the operation",
        )
        fleet.daemons[0].kill()
        thread.join()
        wait_until(
            lambda: execution_count(fleet, key) == 1, "the service has executed the operation"
        )
        for daemon in fleet.daemons[1:]:
            repeat = send_order(daemon, key)
            assert (repeat.status, repeat.executed) == (409, "unknown")
        assert execution_count(fleet, key) == 1
        # The other daemons write the shards of the killed daemon without delay.
        service.set_faults()
        for _ in range(12):
            assert send_order(fleet.daemons[1], new_key()).status == 200


class TestServiceDown:
    def test_refused_connection_is_not_run_and_retry_succeeds(
        self, new_installation: Callable[..., Fleet]
    ) -> None:
        fleet = new_installation()
        service = fleet.processes["parts-1"]
        service.kill()
        key = new_key()
        http_response = send_order(fleet.daemons[0], key)
        assert (http_response.status, http_response.executed) == (503, "no")
        fleet.start_service("parts-1", "parts")
        wait_until(
            lambda: send_order(fleet.daemons[1], key).status == 200,
            "the repeated request succeeds after the restart",
        )
        assert execution_count(fleet, key) == 1
