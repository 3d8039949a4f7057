"""Guards against a node that keeps bodies that turn out to be far over the limit."""

from memory_crowd import CHUNK_BYTES, MAX_BODY_BYTES, chunk, chunked_head, main

main(chunked_head(), chunk(CHUNK_BYTES), 4 * MAX_BODY_BYTES // CHUNK_BYTES)
