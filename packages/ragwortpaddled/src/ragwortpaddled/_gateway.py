"""The callers' side: the usual model protocol, plain services, and health pages."""

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
from ragwortpaddled._answer import Answer
from ragwortpaddled._logs import request_id as current_request_id
from ragwortpaddled._settings import LimitsSection
from ragwortpaddled.coordination import (
    Admission,
    Explainer,
    Generator,
    Job,
    Journal,
    Quarantines,
    ReleaseFollower,
    RequestRecord,
    Services,
    ServiceTarget,
    check_key,
    content_digest,
)
from ragwortpaddled.protocol import (
    EXECUTED_HEADER,
    IDEMPOTENCY_KEY_HEADER,
    REQUEST_ID_HEADER,
    RETRY_AFTER_HEADER,
    AnswerWriter,
    Executed,
    ModelEntry,
    ModelList,
    Prompt,
    Refusal,
    ServiceCall,
    end_to_end_headers,
    error_event,
    read_chat,
    read_completion,
)
from ragwortpaddled.state import Release, Route, Team
from ragwortpaddled.transport import HttpReply

SERVICES_PREFIX = "/services/"
EVENT_STREAM = b"text/event-stream"
JSON = b"application/json"

logger = logging.getLogger(__name__)

Handler = Callable[[Request], Awaitable[Response]]
StatusPage = Callable[[], bytes]


class Gateway:
    """Handles callers' requests, each under one release from start to end."""

    def __init__(
        self,
        releases: ReleaseFollower,
        admission: Admission,
        generator: Generator,
        services: Services,
        quarantines: Quarantines,
        limits: LimitsSection,
        status_page: StatusPage,
        journal: Journal,
        explainer: Explainer,
    ) -> None:
        self.draining = False
        self.in_flight: dict[str, asyncio.Task[Any] | None] = {}
        self._cutting = False
        self._releases = releases
        self._admission = admission
        self._generator = generator
        self._services = services
        self._quarantines = quarantines
        self._limits = limits
        self._status_page = status_page
        self._journal = journal
        self._explainer = explainer

    def cut(self) -> list[str]:
        """End every request in flight with an honest error and return their ids."""
        self._cutting = True
        for task in self.in_flight.values():
            if task is not None:
                task.cancel()
        return sorted(self.in_flight)

    def application(self) -> Application:
        """Build the HTTP application."""
        application = Application()
        router = application.router
        router.add_get("/healthz", _page(self._health))
        router.add_get("/readyz", _page(self._ready))
        router.add_get("/metrics", _page(self._metrics))
        router.add_get("/status", _page(self._status))
        router.add_get("/explain", _page(self._explain))
        router.add_get("/v1/models", self._tracked(self._models))
        router.add_post("/v1/chat/completions", self._tracked(self._chat))
        router.add_post("/v1/completions", self._tracked(self._completion))
        for method in ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"):
            router.add(method, f"{SERVICES_PREFIX}*", self._tracked(self._service))
        return application

    async def _health(self, _request: Request) -> Response:
        return Response(200, content=Content(b"text/plain", b"ok\n"))

    async def _ready(self, _request: Request) -> Response:
        if self.draining:
            return Response(503, content=Content(b"text/plain", b"shutting down\n"))
        if self._releases.current is None:
            return Response(503, content=Content(b"text/plain", b"no release yet\n"))
        return Response(200, content=Content(b"text/plain", b"ready\n"))

    async def _metrics(self, _request: Request) -> Response:
        text = telemetry.prometheus_text()
        return Response(200, content=Content(b"text/plain; version=0.0.4", text))

    async def _status(self, _request: Request) -> Response:
        return Response(200, content=Content(JSON, self._status_page()))

    async def _explain(self, request: Request) -> Response:
        names = request.query.get("name") or [""]
        lines = self._explainer.explain(names[0])
        return Response(200, content=Content(JSON, msgspec.json.encode(lines)))

    def _note_target(self, release: Release, team: Team, route: Route) -> None:
        record = self._journal.get(current_request_id.get())
        if record is not None:
            record.team, record.route, record.release = team.name, route.name, release.number

    def _tracked(self, handler: Handler) -> Handler:
        """Wrap a handler: request id, span, and refusals in the callers' form."""

        async def run(request: Request) -> Response:
            request_id = uuid.uuid4().hex
            current_request_id.set(request_id)
            carrier = _trace_headers(request)
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
                # A caller may leave before its stream has begun, which then never ends either.
                task.add_done_callback(lambda _: self._finish(request_id, span))
            path = request.url.path.decode()
            record = self._journal.open(RequestRecord(request_id, path, time.time()))
            try:
                with trace.use_span(span):
                    response = await handler(request)
            except Refusal as refusal:
                record.outcome = f"refused: {refusal.code}, executed {refusal.executed}"
                response = self._refuse(refusal, request_id)
            except Exception:
                logger.exception("request failed")
                failure = Refusal(500, "internal_error", "fault", executed=Executed.UNKNOWN)
                response = self._refuse(failure, request_id)
            except asyncio.CancelledError:
                if not self._cutting:
                    self._finish(request_id, span)
                    raise
                response = self._refuse(_cut_off(), request_id)
            else:
                record.outcome = f"status {response.status}"
            response.add_header(REQUEST_ID_HEADER, request_id.encode())
            content = response.content
            if isinstance(content, StreamedContent):
                # A stream lives on after its handler has returned.
                response.content = self._until_streamed(content, request_id, span)
            else:
                self._finish(request_id, span)
            return response

        return run

    def _until_streamed(
        self, content: StreamedContent, request_id: str, span: trace.Span
    ) -> StreamedContent:
        provider = content.generator

        async def stream() -> AsyncIterator[bytes]:
            current_request_id.set(request_id)
            try:
                with trace.use_span(span):
                    async for chunk in provider():
                        yield chunk
            except asyncio.CancelledError:
                if not self._cutting:
                    raise
                yield error_event(_cut_off(), request_id)
            finally:
                self._finish(request_id, span)

        return StreamedContent(content.type, stream)

    def _finish(self, request_id: str, span: trace.Span) -> None:
        if request_id in self.in_flight:
            del self.in_flight[request_id]
            span.end()

    def _refuse(self, refusal: Refusal, request_id: str) -> Response:
        telemetry.refusals.add(1, {"code": refusal.code})
        response = Response(refusal.status, content=Content(JSON, refusal.body(request_id)))
        response.add_header(EXECUTED_HEADER, refusal.executed.value.encode())
        if refusal.retry_after_seconds is not None:
            seconds = max(1, math.ceil(refusal.retry_after_seconds))
            response.add_header(RETRY_AFTER_HEADER, str(seconds).encode())
        return response

    def _authenticate(self, request: Request) -> tuple[Release, Team]:
        """Return the release in force and the caller's team.

        :raises Refusal: there is no release, the daemon is full, or the token is unknown
        """
        release = self._releases.current
        if release is None:
            raise Refusal(503, "not_ready", "no release is in force", retry_after_seconds=1.0)
        if len(self.in_flight) > self._limits.max_requests_in_flight:
            raise Refusal(503, "overloaded", "too many requests", retry_after_seconds=1.0)
        header = (request.get_first_header(b"Authorization") or b"").decode(errors="replace")
        scheme, _, token = header.partition(" ")
        team = release.team_of(token.strip()) if scheme.lower() == "bearer" else None
        if team is None:
            raise Refusal(401, "unknown_token", "the bearer token is unknown")
        return release, team

    async def _read_body(self, request: Request) -> bytes:
        """Read a body within the bound.

        :raises Refusal: it is too large
        """
        bound = self._limits.max_body_bytes
        parts = []
        size = 0
        async for part in request.stream():  # type: ignore[attr-defined]
            size += len(part)
            if size > bound:
                raise Refusal(413, "body_too_large", f"the body exceeds {bound} bytes")
            parts.append(part)
        return b"".join(parts)

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
        return await self._answer_prompt(request, read_chat)

    async def _completion(self, request: Request) -> Response:
        return await self._answer_prompt(request, read_completion)

    async def _answer_prompt(self, request: Request, read: Callable[[bytes], Prompt]) -> Response:
        release, team = self._authenticate(request)
        prompt = read(await self._read_body(request))
        route = self._model_route(release, team, prompt.model)
        self._note_target(release, team, route)
        job = self._job(release, team, route, prompt)
        self._quarantines.refuse_if_quarantined(job.content_digest)
        self._admission.limits.admit(release, team, job.max_tokens)
        writer = AnswerWriter(prompt, job.request_id, int(time.time()))
        answer = Answer(self._admission, self._generator, release, team, route, job)
        task = asyncio.current_task()
        if task is not None:
            task.add_done_callback(lambda _: answer.close_later())
        first = await answer.first_text()
        if prompt.stream:

            async def events() -> AsyncIterator[bytes]:
                async for event in answer.events(writer, first):
                    yield event

            return Response(200, content=StreamedContent(EVENT_STREAM, events))
        try:
            text = first + await answer.rest()
        finally:
            await answer.close()
        body = writer.whole(text, answer.finish, answer.usage())
        return Response(200, content=Content(JSON, body))

    def _model_route(self, release: Release, team: Team, model: str) -> Route:
        route = release.route_for(model, team)
        if route is None or release.pool_of(route).serves != "model":
            raise Refusal(404, "model_not_found", f"there is no model {model} for this team")
        return route

    def _job(self, release: Release, team: Team, route: Route, prompt: Prompt) -> Job:
        return Job(
            request_id=current_request_id.get(),
            team=team.name,
            pool=release.pool_of(route),
            prompt=prompt.text,
            content_digest=content_digest(route.name, prompt.text),
            max_tokens=prompt.max_tokens,
            priority=release.priority_of(route).level,
            deadline=time.monotonic() + route.timeout_ms / 1000,
        )

    async def _service(self, request: Request) -> Response:
        release, team = self._authenticate(request)
        path = request.url.path.decode().removeprefix(SERVICES_PREFIX)
        name, _, rest = path.partition("/")
        route = release.route_for(name, team)
        if route is None or release.pool_of(route).serves != "service":
            raise Refusal(404, "route_not_found", f"there is no service {name} for this team")
        key = (request.get_first_header(IDEMPOTENCY_KEY_HEADER) or b"").decode(errors="replace")
        if not route.repeatable:
            check_key(route, key, time.time())
        self._note_target(release, team, route)
        call = await self._service_call(request, rest)
        self._admission.limits.admit(release, team, 0)
        pool = self._admission.pool(route.pool)
        target = ServiceTarget(team, route, release.pool_of(route))
        level = release.priority_of(route).level
        patience_seconds = route.timeout_ms / 1000
        async with pool.place(release, team, level, 0, patience_seconds):
            if route.repeatable:
                reply = await self._services.run_repeatable(target, call)
            else:
                reply = await self._services.run_once(target, call, key)
        telemetry.requests.add(1, {"route": route.name, "outcome": "answered"})
        return _pass_on(reply)

    async def _service_call(self, request: Request, rest: str) -> ServiceCall:
        query = request.url.query
        path = rest + (f"?{query.decode()}" if query else "")
        added = telemetry.trace_headers()
        traced = {name for name, _ in added}
        kept = [(k, v) for k, v in request.headers if k.lower() not in traced]
        return ServiceCall(
            current_request_id.get(),
            request.method,
            path,
            (*kept, *added),
            request.content_type() or b"application/octet-stream",
            await self._read_body(request),
        )


def _cut_off() -> Refusal:
    return Refusal(
        503,
        "shutting_down",
        "the daemon ended before the request did",
        executed=Executed.UNKNOWN,
        retry_after_seconds=1.0,
    )


def _page(handler: Handler) -> Handler:
    """Wrap a bound method, which the HTTP library cannot mark as a handler."""

    async def run(request: Request) -> Response:
        return await handler(request)

    return run


def _pass_on(reply: HttpReply) -> Response:
    content_type = reply.header(b"Content-Type") or b"application/octet-stream"
    response = Response(reply.status, content=Content(content_type, reply.body))
    for name, value in end_to_end_headers(reply):
        if name.lower() not in (b"date", b"server", REQUEST_ID_HEADER.lower()):
            response.add_header(name, value)
    return response


def _trace_headers(request: Request) -> dict[str, str]:
    carrier = {}
    for name in ("traceparent", "tracestate"):
        value = request.get_first_header(name.encode())
        if value:
            carrier[name] = value.decode(errors="replace")
    return carrier
