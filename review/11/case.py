"""A failure at a time limit clears the part that crashes engines; the sound part beside it is refused instead."""

import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standin-3"))
import deadly  # noqa: E402
import lab as deployment  # noqa: E402
import lost  # noqa: E402

FIRST, SHARED = ("5c1e07a2", 60), ("91bd3f06", 40)
LONG_TOKENS, SHORT_WAIT_MS = 150_000, 600


def own(number, tokens):
    return ("%08x" % (0x20000000 + number), tokens)


def sound_prompt(number):
    return deadly.Prompt([FIRST, SHARED, ("%08x" % (0x10000000 + number), 600)])


def deadly_prompt(number):
    return deadly.Prompt([FIRST, SHARED, (deadly.DEADLY_PART, 40), own(number, 600)])


def impatient_deadly_prompt(number):
    """Without the shared part, with a long prompt, from a client that waits only so long."""
    return deadly.Prompt([FIRST, (deadly.DEADLY_PART, 40), own(number, LONG_TOKENS)], SHORT_WAIT_MS)


async def scenario(lab):
    return await lost.scenario(
        lab, sound_prompt,
        [(0, deadly_prompt), (0.5, deadly_prompt), (1.0, deadly_prompt), (1.1, impatient_deadly_prompt),
         (2.0, deadly_prompt)], deadly_prompt)


deployment.run_case(FOLDER, scenario)
