"""Guards against a node that runs out of memory by many large bodies of legal size at once."""

from memory_crowd import CHUNK_BYTES, MAX_BODY_BYTES, main, sized_head

main(sized_head(MAX_BODY_BYTES), b"x" * CHUNK_BYTES, MAX_BODY_BYTES // CHUNK_BYTES)
