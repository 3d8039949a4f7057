"""A part of a prompt crashes engines; failures at a request's time limit keep it from being found."""

import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standin-3"))
import deadly  # noqa: E402
import lab as deployment  # noqa: E402

# One request in three with the part has a long prompt, and a client that waits only so long.
LONG_TOKENS, SHORT_WAIT_MS = 150_000, 600


def sound_prompt(number):
    return deadly.Prompt([("5c1e07a2", 60), ("%08x" % (number % 8), 40),
                          ("%08x" % (0x10000000 + number), 600)])


def deadly_prompt(number):
    impatient = number % 3 == 0
    parts = [("5c1e07a2", 60), (deadly.DEADLY_PART, 40),
             ("%08x" % (0x20000000 + number), LONG_TOKENS if impatient else 600)]
    return deadly.Prompt(parts, SHORT_WAIT_MS if impatient else deadly.WAIT_MS)


async def scenario(lab):
    return await deadly.scenario(lab, sound_prompt, deadly_prompt)


deployment.run_case(FOLDER, scenario)
