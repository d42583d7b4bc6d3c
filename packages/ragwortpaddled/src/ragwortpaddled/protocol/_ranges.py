"""Ranges of the numbers in messages of other programs, within which no arithmetic overflows."""

from typing import Annotated

from msgspec import Meta

MAX_LAYERS = 10_000
MAX_SLOTS = 100_000

Count = Annotated[int, Meta(ge=0, lt=1 << 53)]  # any JSON library keeps these exactly
Quantity = Annotated[float, Meta(ge=0, le=1e15)]
Measure = Annotated[float, Meta(ge=-1e15, le=1e15)]  # a sum may end slightly below 0 by rounding
Slots = Annotated[int, Meta(ge=1, le=MAX_SLOTS)]
LayerIndex = Annotated[int, Meta(ge=0, le=MAX_LAYERS)]
