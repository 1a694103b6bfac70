"""A small Bloom filter a block: whether a subject may be in it. Pure; the standard double hashing."""

from collections.abc import Iterable

import xxhash

BITS_A_KEY, PROBES = 16, 8  # one block in 1,700 is looked into in vain


def _probes(word: str, bits: int) -> list[int]:
    told = xxhash.xxh3_128_intdigest(str(word).encode("utf-8", "surrogatepass"))
    first, step = told >> 64, (told & (2**64 - 1)) | 1
    return [(first + n * step) % bits for n in range(PROBES)]


def made(words: Iterable[str]) -> bytes:
    """The filter of these words; empty for none."""
    told = set(words)
    if not told:
        return b""
    held = bytearray(-(-len(told) * BITS_A_KEY // 8))
    for word in told:
        for bit in _probes(word, 8 * len(held)):
            held[bit >> 3] |= 1 << (bit & 7)
    return bytes(held)


def may_hold(held: bytes, word: str) -> bool:
    return bool(held) and all(held[bit >> 3] >> (bit & 7) & 1 for bit in _probes(word, 8 * len(held)))
