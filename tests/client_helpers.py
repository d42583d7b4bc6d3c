"""Client helpers for tests: the OpenAI client, and plain HTTP for status, headers and raw body."""

import http.client
import json
import urllib.error
import urllib.request
from dataclasses import dataclass

from openai import OpenAI
from ragwortpaddle_standins import model
from ragwortpaddle_standins.demo import API_TOKEN, LAYER_COUNT
from ragwortpaddle_standins.fleet import Process

CHAT_PROMPT = "the pedal squeaks when it is cold"


@dataclass(frozen=True)
class HttpResponse:
    """A complete HTTP response with any status code."""

    status: int
    headers: http.client.HTTPMessage
    body: bytes

    @property
    def executed(self) -> str:
        return self.headers.get("Ragwortpaddle-Executed", "")

    @property
    def error(self) -> dict:
        return json.loads(self.body)["error"]


def openai_client(daemon: Process, token: str = API_TOKEN) -> OpenAI:
    return OpenAI(api_key=token, base_url=f"{daemon.url}/v1", max_retries=0, timeout=30)


def send_request(
    daemon: Process,
    path: str,
    body: bytes | None = None,
    *,
    method: str = "",
    token: str = API_TOKEN,
    idempotency_key: str = "",
    timeout: float = 30,
) -> HttpResponse:
    request = urllib.request.Request(
        daemon.url + path, body, method=method or ("GET" if body is None else "POST")
    )
    request.add_header("Authorization", f"Bearer {token}")
    request.add_header("Content-Type", "application/json")
    if idempotency_key:
        request.add_header("Idempotency-Key", idempotency_key)
    try:
        with urllib.request.urlopen(request, timeout=timeout) as response:
            return HttpResponse(response.status, response.headers, response.read())
    except urllib.error.HTTPError as error:
        return HttpResponse(error.code, error.headers, error.read())


def encode_chat_request(
    prompt: str, max_tokens: int, *, stream: bool = False, model: str = ""
) -> bytes:
    return json.dumps(
        {
            "model": model or "pedal-assistant",
            "messages": [{"role": "user", "content": prompt}],
            "max_tokens": max_tokens,
            "stream": stream,
        }
    ).encode()


def expected_chat_text(prompt: str, max_tokens: int) -> str:
    return model.render(model.generate(f"user: {prompt}", LAYER_COUNT, max_tokens))


def stream_chat(daemon: Process, prompt: str, max_tokens: int) -> str:
    stream = openai_client(daemon).chat.completions.create(
        model="pedal-assistant",
        messages=[{"role": "user", "content": prompt}],
        max_tokens=max_tokens,
        stream=True,
    )
    return "".join(chunk.choices[0].delta.content or "" for chunk in stream if chunk.choices)
