"""Guards against a node that runs out of memory by bodies in large chunks that stop short."""

from memory_crowd import CHUNK_BYTES, MAX_BODY_BYTES, chunk, chunked_head, main

main(chunked_head(), chunk(CHUNK_BYTES), MAX_BODY_BYTES // CHUNK_BYTES)
