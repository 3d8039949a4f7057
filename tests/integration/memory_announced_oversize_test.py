"""Guards against a node that keeps bodies whose announced length is far over the limit."""

from memory_crowd import CHUNK_BYTES, MAX_BODY_BYTES, main, sized_head

main(sized_head(16 * MAX_BODY_BYTES), b"x" * CHUNK_BYTES, 4 * MAX_BODY_BYTES // CHUNK_BYTES)
