"""Deterministic stand-in for a model, in which every layer affects every later token.

Each layer hashes its input into a rolling value, which represents its KV cache, so a layer that is
skipped, run twice or run out of order changes every later token.
"""

import struct
from collections.abc import Sequence

import xxhash

VOCABULARY_SIZE = 512
END_TOKEN = 0


def tokenize(prompt: str) -> list[int]:
    """Return one token id for each word of a prompt."""
    return [
        1 + xxhash.xxh32_intdigest(word.encode()) % (VOCABULARY_SIZE - 1) for word in prompt.split()
    ]


def token_text(token: int) -> str:
    """Return the text of a token."""
    return f"w{token} "


def step_layers(
    kv_by_layer: list[int], first_layer: int, hidden: Sequence[int]
) -> tuple[list[int], list[int]]:
    """Run positions through a range of layers; return the new KV values and the outputs."""
    values = list(kv_by_layer)
    outputs = []
    for input_value in hidden:
        value = input_value
        for offset in range(len(values)):
            packed = struct.pack("<QQI", values[offset], value, first_layer + offset)
            values[offset] = xxhash.xxh64_intdigest(packed)
            value = values[offset]
        outputs.append(value)
    return values, outputs


def next_token(hidden: int) -> int:
    """Return the token that the output of the last layer selects."""
    return hidden % VOCABULARY_SIZE


def generate(prompt: str, layers: int, max_tokens: int) -> list[int]:
    """Return all generated tokens for a prompt, as the reference that checks compare with."""
    kv_by_layer = [0] * layers
    pending = tokenize(prompt)
    tokens: list[int] = []
    while len(tokens) < max_tokens:
        kv_by_layer, outputs = step_layers(kv_by_layer, 0, pending)
        token = next_token(outputs[-1])
        tokens.append(token)
        if token == END_TOKEN:
            break
        pending = [token]
    return tokens


def render(tokens: Sequence[int]) -> str:
    """Return the text of generated tokens, without the end token."""
    return "".join(token_text(token) for token in tokens if token != END_TOKEN)
