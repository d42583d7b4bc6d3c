"""Client helpers for tests: the OpenAI client, and plain HTTP for status, headers and raw body."""

import http.client
import json
import urllib.error
import urllib.request
from dataclasses import dataclass

from openai import OpenAI
from ragwortpaddle_standins import model
from ragwortpaddle_standins.demo import LAYERS, TOKEN
from ragwortpaddle_standins.fleet import Process

PROMPT = "the pedal squeaks when it is cold"


@dataclass(frozen=True)
class Reply:
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


def client_of(daemon: Process, token: str = TOKEN) -> OpenAI:
    return OpenAI(api_key=token, base_url=f"{daemon.url}/v1", max_retries=0, timeout=30)


def send(
    daemon: Process,
    path: str,
    body: bytes | None = None,
    *,
    method: str = "",
    token: str = TOKEN,
    key: str = "",
    timeout: float = 30,
) -> Reply:
    request = urllib.request.Request(
        daemon.url + path, body, method=method or ("GET" if body is None else "POST")
    )
    request.add_header("Authorization", f"Bearer {token}")
    request.add_header("Content-Type", "application/json")
    if key:
        request.add_header("Idempotency-Key", key)
    try:
        with urllib.request.urlopen(request, timeout=timeout) as response:
            return Reply(response.status, response.headers, response.read())
    except urllib.error.HTTPError as error:
        return Reply(error.code, error.headers, error.read())


def chat_body(prompt: str, max_tokens: int, *, stream: bool = False, name: str = "") -> bytes:
    return json.dumps(
        {
            "model": name or "pedal-assistant",
            "messages": [{"role": "user", "content": prompt}],
            "max_tokens": max_tokens,
            "stream": stream,
        }
    ).encode()


def expected_chat(prompt: str, max_tokens: int) -> str:
    return model.render(model.generate(f"user: {prompt}", LAYERS, max_tokens))


def stream_chat(daemon: Process, prompt: str, max_tokens: int) -> str:
    stream = client_of(daemon).chat.completions.create(
        model="pedal-assistant",
        messages=[{"role": "user", "content": prompt}],
        max_tokens=max_tokens,
        stream=True,
    )
    return "".join(chunk.choices[0].delta.content or "" for chunk in stream if chunk.choices)
