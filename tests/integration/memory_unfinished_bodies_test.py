"""Guards against a node that runs out of memory by large bodies of legal size that stop short."""

from memory_crowd import MAX_BODY_BYTES, main, sized_head

PIECE_BYTES = 4096
main(sized_head(MAX_BODY_BYTES), b"x" * PIECE_BYTES, MAX_BODY_BYTES // PIECE_BYTES - 1)
