"""The callers' HTTP interface: the OpenAI-compatible model API, services and health pages."""

import asyncio
import logging
import math
import time
import uuid
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

import msgspec
from blacksheep import Application, Content, Request, Response, StreamedContent
from opentelemetry import propagate, trace

from ragwortpaddled import telemetry
from ragwortpaddled._completion_stream import CompletionStream
from ragwortpaddled._logs import request_id as current_request_id
from ragwortpaddled._settings import LimitsSection
from ragwortpaddled.coordination import (
    AdmissionController,
    Explainer,
    GenerationJob,
    QuarantineTracker,
    RecentRequests,
    ReleaseTracker,
    RequestRecord,
    ServiceProxy,
    ServiceTarget,
    TokenGenerator,
    check_idempotency_key,
    content_digest,
)
from ragwortpaddled.protocol import (
    EXECUTED_HEADER,
    IDEMPOTENCY_KEY_HEADER,
    REQUEST_ID_HEADER,
    RETRY_AFTER_HEADER,
    CompletionEncoder,
    Executed,
    GenerationRequest,
    ModelEntry,
    ModelList,
    Refusal,
    ServiceCall,
    encode_error_event,
    end_to_end_headers,
    parse_chat_request,
    parse_completion_request,
)
from ragwortpaddled.state import Release, Route, Team
from ragwortpaddled.transport import HttpReply

SERVICES_PREFIX = "/services/"
EVENT_STREAM = b"text/event-stream"
JSON = b"application/json"

logger = logging.getLogger(__name__)

Handler = Callable[[Request], Awaitable[Response]]
StatusProvider = Callable[[], bytes]


class Gateway:
    """Handles callers' requests; each request uses one release from start to end."""

    def __init__(
        self,
        release_tracker: ReleaseTracker,
        admission_controller: AdmissionController,
        token_generator: TokenGenerator,
        service_proxy: ServiceProxy,
        quarantine_tracker: QuarantineTracker,
        limits: LimitsSection,
        get_status: StatusProvider,
        recent_requests: RecentRequests,
        explainer: Explainer,
    ) -> None:
        self.draining = False
        self.in_flight: dict[str, asyncio.Task[Any] | None] = {}
        self._aborting = False
        self._release_tracker = release_tracker
        self._admission = admission_controller
        self._token_generator = token_generator
        self._service_proxy = service_proxy
        self._quarantine_tracker = quarantine_tracker
        self._limits = limits
        self._get_status = get_status
        self._recent_requests = recent_requests
        self._explainer = explainer

    def abort_requests(self) -> list[str]:
        """End every request in flight with a ``shutting_down`` error and return their ids."""
        self._aborting = True
        for task in self.in_flight.values():
            if task is not None:
                task.cancel()
        return sorted(self.in_flight)

    def build_application(self) -> Application:
        """Build the HTTP application."""
        application = Application()
        router = application.router
        router.add_get("/healthz", _wrap_method(self._health))
        router.add_get("/readyz", _wrap_method(self._ready))
        router.add_get("/metrics", _wrap_method(self._metrics))
        router.add_get("/status", _wrap_method(self._status))
        router.add_get("/explain", _wrap_method(self._explain))
        router.add_get("/v1/models", self._track_request(self._models))
        router.add_post("/v1/chat/completions", self._track_request(self._chat))
        router.add_post("/v1/completions", self._track_request(self._completion))
        for method in ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"):
            router.add(method, f"{SERVICES_PREFIX}*", self._track_request(self._service))
        return application

    async def _health(self, _request: Request) -> Response:
        return Response(200, content=Content(b"text/plain", b"ok\n"))

    async def _ready(self, _request: Request) -> Response:
        if self.draining:
            return Response(503, content=Content(b"text/plain", b"shutting down\n"))
        if self._release_tracker.current is None:
            return Response(503, content=Content(b"text/plain", b"no release yet\n"))
        return Response(200, content=Content(b"text/plain", b"ready\n"))

    async def _metrics(self, _request: Request) -> Response:
        text = telemetry.prometheus_text()
        return Response(200, content=Content(b"text/plain; version=0.0.4", text))

    async def _status(self, _request: Request) -> Response:
        return Response(200, content=Content(JSON, self._get_status()))

    async def _explain(self, request: Request) -> Response:
        names = request.query.get("name") or [""]
        explanation = self._explainer.explain(names[0])
        return Response(200, content=Content(JSON, msgspec.json.encode(explanation)))

    def _record_target(self, release: Release, team: Team, route: Route) -> None:
        record = self._recent_requests.get(current_request_id.get())
        if record is not None:
            record.team, record.route, record.release = team.name, route.name, release.number

    def _track_request(self, handler: Handler) -> Handler:
        """Wrap a handler: assign a request id, open a trace span and answer its errors."""

        async def run(request: Request) -> Response:
            request_id = uuid.uuid4().hex
            current_request_id.set(request_id)
            carrier = _read_trace_headers(request)
            context = propagate.extract(carrier) if carrier else None
            span = telemetry.tracer.start_span(
                f"{request.method} {request.url.path.decode()}",
                context=context,
                kind=trace.SpanKind.SERVER,
                attributes={"request.id": request_id},
            )
            task = asyncio.current_task()
            self.in_flight[request_id] = task
            if task is not None:
                # A stream whose caller disconnects before it starts never runs its own clean-up.
                task.add_done_callback(lambda _: self._end_request(request_id, span))
            path = request.url.path.decode()
            record = self._recent_requests.add(RequestRecord(request_id, path, time.time()))
            try:
                with trace.use_span(span):
                    response = await handler(request)
            except Refusal as refusal:
                record.outcome = f"refused: {refusal.code}, executed {refusal.executed}"
                response = self._build_refusal_response(refusal, request_id)
            except Exception:
                logger.exception("request failed")
                error = Refusal(500, "internal_error", "internal error", executed=Executed.UNKNOWN)
                response = self._build_refusal_response(error, request_id)
            except asyncio.CancelledError:
                if not self._aborting:
                    self._end_request(request_id, span)
                    raise
                response = self._build_refusal_response(_shutdown_refusal(), request_id)
            else:
                record.outcome = f"status {response.status}"
            response.add_header(REQUEST_ID_HEADER, request_id.encode())
            content = response.content
            if isinstance(content, StreamedContent):
                # The stream outlives its handler, so the request ends with the stream.
                response.content = self._track_stream(content, request_id, span)
            else:
                self._end_request(request_id, span)
            return response

        return run

    def _track_stream(
        self, content: StreamedContent, request_id: str, span: trace.Span
    ) -> StreamedContent:
        generate = content.generator

        async def stream() -> AsyncIterator[bytes]:
            current_request_id.set(request_id)
            try:
                with trace.use_span(span):
                    async for chunk in generate():
                        yield chunk
            except asyncio.CancelledError:
                if not self._aborting:
                    raise
                yield encode_error_event(_shutdown_refusal(), request_id)
            finally:
                self._end_request(request_id, span)

        return StreamedContent(content.type, stream)

    def _end_request(self, request_id: str, span: trace.Span) -> None:
        if request_id in self.in_flight:
            del self.in_flight[request_id]
            span.end()

    def _build_refusal_response(self, refusal: Refusal, request_id: str) -> Response:
        telemetry.refusals.add(1, {"code": refusal.code})
        response = Response(refusal.status, content=Content(JSON, refusal.body(request_id)))
        response.add_header(EXECUTED_HEADER, refusal.executed.value.encode())
        if refusal.retry_after_seconds is not None:
            seconds = max(1, math.ceil(refusal.retry_after_seconds))
            response.add_header(RETRY_AFTER_HEADER, str(seconds).encode())
        return response

    def _authenticate(self, request: Request) -> tuple[Release, Team]:
        """Return the release in force and the caller's team.

        :raises Refusal: no release is in force, the daemon is overloaded, or the token is unknown
        """
        release = self._release_tracker.current
        if release is None:
            raise Refusal(503, "not_ready", "no release is in force", retry_after_seconds=1.0)
        if len(self.in_flight) > self._limits.max_requests_in_flight:
            raise Refusal(
                503,
                "overloaded",
                f"more than {self._limits.max_requests_in_flight} requests are in flight",
                retry_after_seconds=1.0,
            )
        header = (request.get_first_header(b"Authorization") or b"").decode(errors="replace")
        scheme, _, token = header.partition(" ")
        team = release.team_of(token.strip()) if scheme.lower() == "bearer" else None
        if team is None:
            raise Refusal(401, "unknown_token", "the bearer token is unknown")
        return release, team

    async def _read_body(self, request: Request) -> bytes:
        """Read the whole body; raises ``Refusal`` if it is larger than ``max_body_bytes``."""
        max_bytes = self._limits.max_body_bytes
        chunks = []
        size = 0
        async for chunk in request.stream():  # type: ignore[attr-defined]
            size += len(chunk)
            if size > max_bytes:
                raise Refusal(413, "body_too_large", f"the body exceeds {max_bytes} bytes")
            chunks.append(chunk)
        return b"".join(chunks)

    async def _models(self, request: Request) -> Response:
        release, team = self._authenticate(request)
        created = int(release.published_at)
        entries = [
            ModelEntry(route.name, created)
            for route in release.objects.route_by_name.values()
            if release.pool_of(route).serves == "model" and release.route_for(route.name, team)
        ]
        return Response(200, content=Content(JSON, msgspec.json.encode(ModelList(entries))))

    async def _chat(self, request: Request) -> Response:
        return await self._complete_prompt(request, parse_chat_request)

    async def _completion(self, request: Request) -> Response:
        return await self._complete_prompt(request, parse_completion_request)

    async def _complete_prompt(
        self, request: Request, parse: Callable[[bytes], GenerationRequest]
    ) -> Response:
        release, team = self._authenticate(request)
        generation_request = parse(await self._read_body(request))
        route = self._select_model_route(release, team, generation_request.model)
        self._record_target(release, team, route)
        job = self._build_job(release, team, route, generation_request)
        self._quarantine_tracker.refuse_if_quarantined(job.content_digest)
        self._admission.limits.admit(release, team, job.max_tokens)
        encoder = CompletionEncoder(generation_request, job.request_id, int(time.time()))
        stream = CompletionStream(self._admission, self._token_generator, release, team, route, job)
        task = asyncio.current_task()
        if task is not None:
            task.add_done_callback(lambda _: stream.schedule_close())
        first = await stream.read_first_text()
        if generation_request.stream:

            async def events() -> AsyncIterator[bytes]:
                async for event in stream.stream_events(encoder, first):
                    yield event

            return Response(200, content=StreamedContent(EVENT_STREAM, events))
        try:
            text = first + await stream.read_rest()
        finally:
            await stream.close()
        body = encoder.encode_response(text, stream.finish_reason, stream.usage())
        return Response(200, content=Content(JSON, body))

    def _select_model_route(self, release: Release, team: Team, model: str) -> Route:
        route = release.route_for(model, team)
        if route is None or release.pool_of(route).serves != "model":
            raise Refusal(404, "model_not_found", f"model {model} not found for this team")
        return route

    def _build_job(
        self, release: Release, team: Team, route: Route, generation_request: GenerationRequest
    ) -> GenerationJob:
        return GenerationJob(
            request_id=current_request_id.get(),
            team=team.name,
            pool=release.pool_of(route),
            prompt=generation_request.text,
            content_digest=content_digest(route.name, generation_request.text),
            max_tokens=generation_request.max_tokens,
            priority=release.priority_of(route).level,
            deadline=time.monotonic() + route.timeout_ms / 1000,
        )

    async def _service(self, request: Request) -> Response:
        release, team = self._authenticate(request)
        path = request.url.path.decode().removeprefix(SERVICES_PREFIX)
        name, _, sub_path = path.partition("/")
        route = release.route_for(name, team)
        if route is None or release.pool_of(route).serves != "service":
            raise Refusal(404, "route_not_found", f"service {name} not found for this team")
        key = (request.get_first_header(IDEMPOTENCY_KEY_HEADER) or b"").decode(errors="replace")
        if not route.repeatable:
            check_idempotency_key(route, key, time.time())
        self._record_target(release, team, route)
        call = await self._read_service_call(request, sub_path)
        self._admission.limits.admit(release, team, 0)
        pool = self._admission.pool(route.pool)
        target = ServiceTarget(team, route, release.pool_of(route))
        priority = release.priority_of(route).level
        timeout_seconds = route.timeout_ms / 1000
        async with pool.slot(release, team, priority, 0, timeout_seconds):
            if route.repeatable:
                reply = await self._service_proxy.run_repeatable(target, call)
            else:
                reply = await self._service_proxy.run_at_most_once(target, call, key)
        telemetry.requests.add(1, {"route": route.name, "outcome": "answered"})
        return _build_response(reply)

    async def _read_service_call(self, request: Request, sub_path: str) -> ServiceCall:
        query = request.url.query
        path = sub_path + (f"?{query.decode()}" if query else "")
        trace_headers = telemetry.trace_headers()
        trace_names = {name for name, _ in trace_headers}
        caller_headers = [(k, v) for k, v in request.headers if k.lower() not in trace_names]
        return ServiceCall(
            current_request_id.get(),
            request.method,
            path,
            (*caller_headers, *trace_headers),
            request.content_type() or b"application/octet-stream",
            await self._read_body(request),
        )


def _shutdown_refusal() -> Refusal:
    return Refusal(
        503,
        "shutting_down",
        "the daemon shut down before the request completed",
        executed=Executed.UNKNOWN,
        retry_after_seconds=1.0,
    )


def _wrap_method(handler: Handler) -> Handler:
    """Wrap a bound method in a function, since the HTTP library sets attributes on its handlers."""

    async def run(request: Request) -> Response:
        return await handler(request)

    return run


def _build_response(reply: HttpReply) -> Response:
    content_type = reply.header(b"Content-Type") or b"application/octet-stream"
    response = Response(reply.status, content=Content(content_type, reply.body))
    for name, value in end_to_end_headers(reply):
        if name.lower() not in (b"date", b"server", REQUEST_ID_HEADER.lower()):
            response.add_header(name, value)
    return response


def _read_trace_headers(request: Request) -> dict[str, str]:
    carrier = {}
    for name in ("traceparent", "tracestate"):
        value = request.get_first_header(name.encode())
        if value:
            carrier[name] = value.decode(errors="replace")
    return carrier
