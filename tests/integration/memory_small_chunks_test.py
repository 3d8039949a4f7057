"""Guards against a node that runs out of memory by bodies in very small chunks that stop short."""

from memory_crowd import CHUNK_BYTES, MAX_BODY_BYTES, chunk, chunked_head, main

SMALL = 8
main(chunked_head(), chunk(SMALL) * (CHUNK_BYTES // SMALL), MAX_BODY_BYTES // CHUNK_BYTES)
