"""The stand-in engines' model: a function that every layer of the chain changes.

Each layer folds its input into a rolling value, which stands for its KV cache, so a layer that is
skipped, repeated or taken out of order changes every later token.
"""

import struct
from collections.abc import Sequence

import xxhash

VOCABULARY_SIZE = 512
END_TOKEN = 0


def tokenize(prompt: str) -> list[int]:
    """Split a prompt into token ids."""
    return [
        1 + xxhash.xxh32_intdigest(word.encode()) % (VOCABULARY_SIZE - 1) for word in prompt.split()
    ]


def piece(token: int) -> str:
    """Return the text of a token."""
    return f"w{token} "


def step_layers(
    kv_by_layer: list[int], first_layer: int, hidden: Sequence[int]
) -> tuple[list[int], list[int]]:
    """Run positions through a range of layers and return the new KV values and the outputs."""
    values = list(kv_by_layer)
    outputs = []
    for position_input in hidden:
        value = position_input
        for offset in range(len(values)):
            packed = struct.pack("<QQI", values[offset], value, first_layer + offset)
            values[offset] = xxhash.xxh64_intdigest(packed)
            value = values[offset]
        outputs.append(value)
    return values, outputs


def next_token(hidden: int) -> int:
    """Return the token chosen from the last layer's output."""
    return hidden % VOCABULARY_SIZE


def generate(prompt: str, layers: int, max_tokens: int) -> list[int]:
    """Return the tokens of a whole answer, the reference for every check."""
    kv_by_layer = [0] * layers
    pending = tokenize(prompt)
    answer: list[int] = []
    while len(answer) < max_tokens:
        kv_by_layer, outputs = step_layers(kv_by_layer, 0, pending)
        token = next_token(outputs[-1])
        answer.append(token)
        if token == END_TOKEN:
            break
        pending = [token]
    return answer


def render(tokens: Sequence[int]) -> str:
    """Return the text of an answer."""
    return "".join(piece(token) for token in tokens if token != END_TOKEN)
