"""Guards against callers whose open connections without requests keep ordinary callers out."""

import memory_crowd

# Callers may use 38 of these, fewer than the crowd opens.
memory_crowd.DESCRIPTORS = 64
# Less than the idle time-out, so that the connections do not end by themselves.
memory_crowd.ANSWER_SECONDS = 10

if __name__ == "__main__":
    memory_crowd.main(b"", b"", 0)
