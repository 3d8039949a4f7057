"""A part of a prompt crashes engines; it comes after the sixteenth part and is never found."""

import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standin-3"))
import deadly  # noqa: E402
import lab as deployment  # noqa: E402

# A session with so many turns before the part and the request's own; each turn is a part.
TURNS = 16
SESSIONS = 40


def turns(session):
    return [("5c1e07a2", 60)] + [("%08x" % (0x40000000 + 100 * session + turn), 40)
                                 for turn in range(1, TURNS)]


def sound_prompt(number):
    return deadly.Prompt(turns(number % SESSIONS) + [("%08x" % (0x30000000 + number % 8), 40),
                                                     ("%08x" % (0x10000000 + number), 300)])


def deadly_prompt(number):
    return deadly.Prompt(turns(number % SESSIONS) + [(deadly.DEADLY_PART, 40),
                                                     ("%08x" % (0x20000000 + number), 300)])


async def scenario(lab):
    return await deadly.scenario(lab, sound_prompt, deadly_prompt)


deployment.run_case(FOLDER, scenario)
