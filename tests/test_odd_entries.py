"""Odd values from other programs: each is refused where it arrives, and hides no other value."""

import contextlib
import json
import logging
from collections.abc import AsyncIterator, Callable
from operator import attrgetter

import msgspec
import pynng
import pytest
from adapter import PlatformDialect, PlatformStoreDialect
from hypothesis import given
from hypothesis import strategies as st
from ragwortpaddle_standins.relay_platform import API_KEY, HOST, Service, configuration
from ragwortpaddled import telemetry
from ragwortpaddled.errors import NotSentError, ObjectsError, PeerRefusedError
from ragwortpaddled.protocol import StoredObject, decode_json, decode_message
from ragwortpaddled.transport import (
    Http1Client,
    Http1Pool,
    HttpReply,
    KeyRing,
    PeerClient,
    PeerServer,
)
from ragwortpaddled.transport._peer_socket import MAX_CONCURRENT_REQUESTS
from relay_fleet import RelayFleet, RelayTestBed

DIALECT = PlatformDialect()
STORE = PlatformStoreDialect()
DEPTH = 100_000
NESTED = b"[" * DEPTH + b"]" * DEPTH
MIXED_NESTED = b'{"a":[' * DEPTH + b"]}" * DEPTH
DIGITS = "9" * 400


def entry(**fields: str) -> bytes:
    """Return an endpoint's entry, with the JSON text of some fields replaced."""
    texts = {
        "service": '"desk"',
        "address": '"127.0.0.1:9"',
        "zone": '"dc-a"',
        "slots": "6",
        "state": '"ready"',
        "born": "1",
        **fields,
    }
    return ("{" + ",".join(f'"{name}":{text}' for name, text in texts.items()) + "}").encode()


NESTED_ENTRIES = {
    "nested": NESTED,
    "nested objects": MIXED_NESTED,
    "nested in an unknown field": entry(novelty=NESTED.decode()),
    "not UTF-8": entry(zone='"?"').replace(b"?", b"\xff"),
}


def reply(body: bytes) -> HttpReply:
    return HttpReply(200, (), body)


def item(name: bytes, spec: bytes, revision: bytes = b"4") -> bytes:
    return b'{"metadata":{"name":%s,"revision":%s},"spec":%s}' % (name, revision, spec)


def page(*items: bytes) -> bytes:
    return b'{"items":[' + b",".join(items) + b'],"hasMore":true,"storeRevision":9}'


def events(*items: bytes) -> bytes:
    changes = b",".join(b'{"removed":false,"object":%s}' % item for item in items)
    return b'{"events":[' + changes + b'],"storeRevision":9}'


@pytest.fixture
async def testbed(tmp_path) -> AsyncIterator[RelayTestBed]:
    async with RelayTestBed(tmp_path) as testbed:
        yield testbed


async def check_that_the_list_is_followed(testbed: RelayTestBed) -> None:
    """Check that a later entry is used, and that the odd one is not."""
    late = Service(testbed.store, "late", "desk", "dc-a")
    testbed.desks.append(late)
    await late.start()
    entry_by_id = testbed.daemon._relay_directory.entry_by_id
    await testbed.wait(lambda: "late" in entry_by_id, "entry of the late service")
    assert "odd" not in entry_by_id
    for number in range(6):
        head, _ = await testbed.ask(b"GET", b"/look/7", b"a%d" % number)
        assert head.status == 200


class TestNestedEntries:
    @pytest.mark.parametrize("kind", NESTED_ENTRIES)
    async def test_entry_that_appears_does_not_stop_the_watch(
        self, testbed: RelayTestBed, kind: str
    ) -> None:
        testbed.store.put("servers", "odd", msgspec.Raw(NESTED_ENTRIES[kind]))
        await check_that_the_list_is_followed(testbed)

    @pytest.mark.parametrize("kind", NESTED_ENTRIES)
    async def test_entry_that_is_there_at_the_start_does_not_hide_the_others(
        self, tmp_path, kind: str
    ) -> None:
        testbed = RelayTestBed(tmp_path)
        testbed.store.put("servers", "odd", msgspec.Raw(NESTED_ENTRIES[kind]))
        async with testbed:
            await check_that_the_list_is_followed(testbed)

    async def test_other_nested_objects_do_not_stop_a_daemon(self, tmp_path) -> None:
        testbed = RelayTestBed(tmp_path)
        for kind in ("config", "daemons", "quarantines"):
            testbed.store.put(kind, "odd", msgspec.Raw(NESTED))
        testbed.store.put("placements", "model", msgspec.Raw(NESTED))
        async with testbed:
            await check_that_the_list_is_followed(testbed)
            assert (await testbed.ask(b"POST", b"/ask/1"))[0].status == 200
            assert not testbed.daemon._stop_requested.is_set()


class TestPages:
    """One unreadable object of a response; the others hold."""

    ODD_ITEMS = (
        item(b'"odd"', NESTED),
        item(b'"odd"', MIXED_NESTED),
        item(b'"odd"', b'"\xff"'),
        item(b'"odd"', b"{}", b'"x"'),
        item(b'"odd"', b"{}", b"-1"),
        item(b'"odd"', b"{}", DIGITS.encode()),
        item(b"7", b"{}"),
        item(b'""', b"{}"),
        item(b'"' + b"n" * 5000 + b'"', b"{}"),
        item(b'"\xff"', b"{}"),
        item(NESTED, NESTED),
        b'{"spec":{}}',
        b"null",
        NESTED,
    )

    @pytest.mark.parametrize("number", range(len(ODD_ITEMS)))
    def test_objects_beside_an_unreadable_one_are_listed(self, number: int) -> None:
        good = [item(b'"e1"', b'{"a":"[\\"{"}'), item(b'"e2"', b"{}", b"5")]
        body = page(good[0], self.ODD_ITEMS[number], good[1])
        listed = STORE.decode_list("servers/", reply(body))
        value_by_key = {stored.key: stored.value for stored in listed.objects}
        assert value_by_key.pop("servers/odd", "") == ""
        assert value_by_key == {"servers/e1": '{"a":"[\\"{"}', "servers/e2": "{}"}
        assert listed.continue_after == "servers/e2"
        assert len(listed.unreadable) == 1
        assert len(listed.unreadable[0]) < 1000

    @pytest.mark.parametrize("number", range(len(ODD_ITEMS)))
    def test_changes_beside_an_unreadable_one_are_seen(self, number: int) -> None:
        body = events(self.ODD_ITEMS[number], item(b'"e1"', b"{}"))
        changes = STORE.decode_changes("servers/", reply(body))
        assert StoredObject("servers/e1", 4, "{}") in changes.objects
        assert len(changes.unreadable) == 1

    def test_deletion_of_an_unreadable_object_is_seen(self) -> None:
        event = b'{"removed":true,"object":%s}' % item(b'"e1"', NESTED, b'"x"')
        body = b'{"events":[%s],"storeRevision":9}' % event
        assert STORE.decode_changes("servers/", reply(body)).removed == ["servers/e1"]

    def test_page_without_any_name_is_refused_if_there_are_more(self) -> None:
        with pytest.raises(ObjectsError):
            STORE.decode_list("servers/", reply(page(b"null")))

    @given(st.binary())
    def test_any_bytes_are_decoded_or_refused(self, data: bytes) -> None:
        for body in (data, page(data), events(data), page(item(data, data, data))):
            for decode in (STORE.decode_list, STORE.decode_changes, STORE.decode_object):
                try:
                    decode("servers/", reply(body))
                except ObjectsError as error:
                    assert str(error)

    @pytest.mark.parametrize("era", [b"9" * 400, b"9" * 5000, b"8192", b"-1", b"", b"x"])
    def test_odd_era_counts_as_absent(self, era: bytes) -> None:
        assert STORE.decode_era(HttpReply(200, ((b"store-era", era),), b"")) is None


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
        try:
            DIALECT.decode_report(data)
        except ObjectsError as error:
            assert str(error)

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


ODD_ENTRIES = {
    "port 99999": entry(address='"127.0.0.1:99999"'),
    "port 0": entry(address='"127.0.0.1:0"'),
    "port -1": entry(address='"127.0.0.1:-1"'),
    "no port": entry(address='"127.0.0.1"'),
    "port in words": entry(address='"127.0.0.1:http"'),
    "port with 400 digits": entry(address=f'"127.0.0.1:{DIGITS}"'),
    "port in other digits": entry(address='"127.0.0.1:٨٠"'),
    "no host": entry(address='":80"'),
    "host in words": entry(address='"any where:80"'),
    "bracket": entry(address='"[127.0.0.1:80"'),
    "slots with 400 digits": entry(slots=DIGITS),
    "slots -1": entry(slots="-1"),
    "slots 0": entry(slots="0"),
    "born with 400 digits": entry(born=DIGITS),
    "born -1": entry(born="-1"),
    "layers with 400 digits": entry(layers=f'{{"from":0,"target":{DIGITS}}}'),
    "first layer with 400 digits": entry(layers=f'{{"from":{DIGITS},"target":8}}'),
    "layers from -1": entry(layers='{"from":-1,"target":8}'),
    "layers reversed": entry(layers='{"from":8,"target":1}'),
    "long service": entry(service='"' + "s" * 100_000 + '"'),
    "state in words": entry(state='"' + "s" * 100_000 + '"'),
    "no entry": b"null",
}


class TestValuesOutOfRange:
    @pytest.mark.parametrize("kind", ODD_ENTRIES)
    def test_entry_is_refused_with_a_bounded_reason(self, kind: str) -> None:
        with pytest.raises(ObjectsError) as caught:
            DIALECT.decode_endpoint(StoredObject("servers/odd", 1, ODD_ENTRIES[kind].decode()))
        assert len(str(caught.value)) < 1000

    @pytest.mark.parametrize("endpoint_id", ["a\nb", " a", "a ", "a\x00"])
    def test_id_that_does_not_fit_into_a_header_is_refused(self, endpoint_id: str) -> None:
        with pytest.raises(ObjectsError):
            DIALECT.decode_endpoint(StoredObject(f"servers/{endpoint_id}", 1, entry().decode()))

    def test_entry_without_layers_yet_is_usable(self) -> None:
        value = entry(layers='{"from":0,"target":0}').decode()
        assert DIALECT.decode_endpoint(StoredObject("servers/e", 1, value)).layers is None

    @pytest.mark.parametrize("kind", ODD_ENTRIES)
    async def test_entry_that_appears_does_not_stop_the_watch(
        self, testbed: RelayTestBed, kind: str
    ) -> None:
        testbed.store.put("servers", "odd", msgspec.Raw(ODD_ENTRIES[kind]))
        await check_that_the_list_is_followed(testbed)

    async def test_entries_that_are_there_at_the_start_do_not_hide_the_others(
        self, tmp_path
    ) -> None:
        testbed = RelayTestBed(tmp_path)
        for number, value in enumerate(ODD_ENTRIES.values()):
            testbed.store.put("servers", f"odd-{number}", msgspec.Raw(value))
        async with testbed:
            await check_that_the_list_is_followed(testbed)
            assert not any("odd" in e for e in testbed.daemon._relay_directory.entry_by_id)

    async def test_other_objects_out_of_range_do_not_stop_a_daemon(self, tmp_path) -> None:
        testbed = RelayTestBed(tmp_path)
        crash = '{"key":"e/1","age_ms":%s}'
        for name, value in {
            "age": '{"saved_at":1,"crashes":[%s]}' % (crash % DIGITS),
            "time": '{"saved_at":1e308,"crashes":[%s]}' % (crash % "1"),
        }.items():
            testbed.store.put("quarantines", name, msgspec.Raw(value.encode()))
        plan = '{"fencing":1,"chains":[[],[{"engine":"e","first":7,"end":2}]]}'
        testbed.store.put("placements", "model", msgspec.Raw(plan.encode()))
        for number, address in enumerate(["127.0.0.1:99999", "", "a b:1:", "[:1"]):
            testbed.store.put("daemons", f"odd-{number}", {"address": address})
        async with testbed:
            await check_that_the_list_is_followed(testbed)
            assert (await testbed.ask(b"POST", b"/ask/1"))[0].status == 200
            assert not testbed.daemon._stop_requested.is_set()
            assert not any("odd" in name for name in testbed.daemon._peers._address_by_name)

    @pytest.mark.parametrize(
        "report",
        [
            b'{"running":-1}',
            b'{"seq":%s}' % DIGITS.encode(),
            b'{"waiting":%s}' % DIGITS.encode(),
            b'{"kvUsed":1e308}',
            b'{"pace":-1}',
            b'{"layers":{"from":0,"target":%s}}' % DIGITS.encode(),
        ],
    )
    def test_report_is_refused(self, report: bytes) -> None:
        with pytest.raises(ObjectsError):
            DIALECT.decode_report(report)

    @pytest.mark.parametrize(
        "fields",
        [
            {"config_version": -1},
            {"link_bits": [(["a", "b"], float("nan"))]},
            {"request_limits": {"e": (0, float("inf"))}},
            {"fencing_token": 2**60},
            {"departures": {"e": (1, 2**60)}},
            {"crashes": [{"key": "e/1", "age_ms": -1}]},
        ],
    )
    def test_peer_message_is_refused(self, fields: dict) -> None:
        message = {"type": "relay_news", "name": "n", "config_version": 1, "running": {}, **fields}
        with pytest.raises(PeerRefusedError):
            decode_message(msgspec.msgpack.encode(message))

    def test_sums_slightly_below_zero_are_accepted(self) -> None:
        message = {"type": "relay_news", "name": "n", "config_version": 1, "running": {}}
        message["link_bits"] = [(["a", "b"], -1e-9)]
        assert decode_message(msgspec.msgpack.encode(message))
        assert DIALECT.decode_report(b'{"kvUsed":-1e-9}').used_kv_token_layers == -1e-9

    @pytest.mark.parametrize(
        "address", ["h:99999", "h:-1", "h:0", "h", "h:" + DIGITS, "a\0b:80", "\ud800:80", "", "[:1"]
    )
    async def test_connection_to_an_odd_address_is_not_sent(self, address: str) -> None:
        with pytest.raises(NotSentError):
            await Http1Pool().acquire(address)
        with pytest.raises(NotSentError):
            await Http1Client().exchange("GET", f"http://{address}/", timeout_seconds=0.5)
        keys = KeyRing()
        keys.load("a b1")
        with pytest.raises(NotSentError):
            await PeerClient(address, keys).request(b"", 0.5)


ODD_NUMBERS = (
    b"1e308",
    b"1e999",
    DIGITS.encode(),
    b"9" * 3000,
    b"nan",
    b"-1",
    b"0x7",
    b"\xff",
    b"",
)


class TestCallers:
    @pytest.mark.parametrize("target", [b"//[", b"//[::1/look/7", b"http://[/look/7"])
    async def test_target_that_cannot_be_parsed_is_refused(
        self, testbed: RelayTestBed, target: bytes
    ) -> None:
        assert (await testbed.ask(b"GET", target))[0].status == 400

    @pytest.mark.parametrize("number", ODD_NUMBERS)
    async def test_request_with_an_odd_number_is_served(
        self, testbed: RelayTestBed, number: bytes
    ) -> None:
        connection = await testbed.pool.acquire(testbed.daemon.address, fresh=True)
        headers = [
            (b"Host", HOST),
            (b"X-Key", API_KEY),
            (b"X-Attempt-Id", b"a1"),
            (b"X-Deadline-Ms", number),
            (b"X-Token-Counts", number + b"," + number),
            (b"X-Length-Hint", number),
        ]
        await connection.send(b"POST", b"/ask/1", headers, b"")
        assert (await connection.read_head()).status == 200
        connection.close()

    @pytest.mark.parametrize("number", ODD_NUMBERS)
    def test_odd_number_of_an_endpoint_is_ignored(self, number: bytes) -> None:
        headers = [(b"X-Replica-Load", number + b"," + number), (b"Server-Limit", number)]
        metadata = DIALECT.parse_response_headers(200, headers)
        assert metadata.running is None
        assert metadata.requests_per_second is None

    @given(st.binary())
    def test_any_number_stays_within_its_range(self, data: bytes) -> None:
        headers = [(b"X-Token-Counts", data), (b"X-Deadline-Ms", data), (b"X-Length-Hint", data)]
        metadata = DIALECT.parse_request_headers(headers)
        assert 0 <= metadata.prompt_tokens <= 10**9
        assert 0 <= metadata.expected_answer_tokens <= 10**9
        assert metadata.deadline_ms is None or 0 <= metadata.deadline_ms <= 10**9


def split(*weights: float) -> list[dict]:
    """Return the routes of a configuration whose route to pool "desk" has a traffic split."""
    routes = configuration()["routes"]
    look = next(route for route in routes if route["name"] == "look")
    look["trafficSplit"] = [
        {"service": "desk" if number == 0 else f"desk-{number}", "weight": weight}
        for number, weight in enumerate(weights)
    ]
    return routes


class TestConfigurations:
    @pytest.mark.parametrize(
        "weights",
        [(0,), (0, 0), (-1, 0.5), (-1,), (1e308, 1e308)],
        ids=lambda weights: str(weights),
    )
    async def test_configuration_without_usable_weights_is_not_applied(
        self, testbed: RelayTestBed, weights: tuple[float, ...]
    ) -> None:
        directory = testbed.daemon._relay_directory
        testbed.store.put("config", "main", configuration(2, routes=split(*weights)))
        marker = Service(testbed.store, "marker", "desk", "dc-a")
        testbed.desks.append(marker)
        await marker.start()
        await testbed.wait(lambda: "marker" in directory.entry_by_id, "entry of the marker")
        assert (await testbed.ask(b"GET", b"/look/7"))[0].status == 200
        assert directory.config.version == 1
        testbed.store.put("config", "main", configuration(3, routes=split(2, 0)))
        await testbed.wait(lambda: directory.config.version == 3, "the next configuration")
        assert (await testbed.ask(b"GET", b"/look/7"))[0].status == 200

    @pytest.mark.parametrize("field", ["layers", "slots", "stride", "kvTokenBytes", "version"])
    def test_number_out_of_range_is_refused(self, field: str) -> None:
        value = configuration()
        target = value if field == "version" else value["services"][0]["engine"]
        target[field] = 10**400
        with pytest.raises(ObjectsError):
            DIALECT.decode_config(StoredObject("config/main", 1, json.dumps(value)))


class FailingOnce:
    """Wraps a function; the first call raises an unexpected error."""

    def __init__(self, function: Callable) -> None:
        self.failed = False
        self._function = function

    def __call__(self, *args: object, **kwargs: object) -> object:
        if not self.failed:
            self.failed = True
            raise ArithmeticError("injected fault")
        return self._function(*args, **kwargs)


class CountingMetric:
    """Takes the place of a counter; keeps what was added."""

    def __init__(self) -> None:
        self.added: list[tuple[int, dict]] = []

    def add(self, count: int, attributes: dict) -> None:
        self.added.append((count, attributes))


class TestBackgroundTasks:
    FUNCTIONS = (
        ("_relay_directory._endpoint_watcher", "_apply_changes"),
        ("_relay_directory._config_watcher", "_record_response"),
        ("_dispatcher", "dispatch_waiting"),
        ("_endpoint_client.connections", "close_idle"),
        ("_layer_placer", "_model_by_pool"),
        ("_crash_tracker", "_update_active"),
    )

    @pytest.mark.parametrize(("owner", "name"), FUNCTIONS)
    async def test_task_that_failed_runs_again(
        self, testbed: RelayTestBed, monkeypatch, caplog, owner: str, name: str
    ) -> None:
        metric = CountingMetric()
        monkeypatch.setattr(telemetry, "background_task_failures", metric, raising=False)
        component = attrgetter(owner)(testbed.daemon)
        failing = FailingOnce(getattr(component, name))
        monkeypatch.setattr(component, name, failing)
        testbed.store.put("config", "main", configuration(2))
        testbed.desks[0].register()
        await testbed.wait(lambda: failing.failed, "failure")
        await check_that_the_list_is_followed(testbed)
        directory = testbed.daemon._relay_directory
        await testbed.wait(lambda: directory.config.version == 2, "configuration")
        assert not testbed.daemon._stop_requested.is_set()
        assert [count for count, _ in metric.added] == [1]
        record = next(r for r in caplog.records if "background task failed" in r.getMessage())
        assert record.getMessage() == "background task failed, restarting"
        assert record.exc_info

    @pytest.mark.parametrize(
        ("owner", "name"),
        [("_peers", "_start_gossip_round"), ("_peers._object_watcher", "_on_change")],
    )
    async def test_gossip_goes_on_after_a_failure(
        self, tmp_path, monkeypatch, owner: str, name: str
    ) -> None:
        async with RelayFleet(RelayTestBed(tmp_path)) as fleet:
            testbed = fleet.testbed
            component = attrgetter(owner)(testbed.daemon)
            failing = FailingOnce(getattr(component, name))
            monkeypatch.setattr(component, name, failing)
            address = testbed.daemon._peers._address
            fleet.daemons.append(await testbed.start_daemon("entry-4", testbed.store.address))
            await testbed.wait(lambda: failing.failed, "failure")
            fleet.daemons.append(await testbed.start_daemon("entry-5", testbed.store.address))
            await testbed.wait(lambda: "entry-5" in testbed.daemon.reachable_peers, "new peer")
            assert testbed.daemon._peers._address == address
            assert not testbed.daemon._stop_requested.is_set()


class TestSettings:
    async def test_file_that_is_not_text_leaves_the_settings_in_force(
        self, testbed: RelayTestBed, caplog
    ) -> None:
        caplog.set_level(logging.INFO, "ragwortpaddled")  # also restores the level at the end
        daemon = testbed.daemon
        text = daemon._settings_path.read_text()
        daemon._settings_path.write_bytes(b"[relay]\nname = \xff\n")
        await testbed.wait(lambda: "settings file not readable" in caplog.messages, "log line")
        daemon._reload_settings()
        assert "settings not reloaded" in caplog.messages
        daemon._settings_path.write_text(text + "[log]\nlevel = warning\n")
        await testbed.wait(lambda: daemon._settings.log.level == "warning", "new settings")
        assert not [record for record in caplog.records if record.exc_info]
        assert (await testbed.ask(b"GET", b"/look/7"))[0].status == 200


ODD_VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.sampled_from([10**400, -1, 0, 2**53, 2**64, 1e308, "127.0.0.1:80", "ready", "desk"])
    | st.text(),
    lambda inner: st.lists(inner) | st.fixed_dictionaries({"from": inner, "target": inner}),
    max_leaves=5,
)


class TestAcceptedEntries:
    """An entry that is accepted can be used without any further check."""

    @given(st.sampled_from(["address", "slots", "born", "layers", "zone", "service"]), ODD_VALUES)
    def test_values_are_within_their_ranges(self, field: str, value: object) -> None:
        data = entry(**{field: json.dumps(value)}).decode()
        try:
            accepted = DIALECT.decode_endpoint(StoredObject("servers/e", 1, data))
        except ObjectsError:
            return
        host, _, port = accepted.address.rpartition(":")
        assert host.count(".") == 3
        assert 1 <= int(port) <= 65535
        assert 1 <= accepted.slots <= 100_000
        assert 0 <= accepted.incarnation < 2**53
        assert accepted.layers is None or 0 <= accepted.layers.first < accepted.layers.end <= 10_000
