"""All requests share a preamble of sixteen parts; a part after it crashes engines, and sound requests are refused."""

import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standin-3"))
import deadly  # noqa: E402
import lab as deployment  # noqa: E402
import lost  # noqa: E402

PREAMBLE = [("%08x" % (0x5c1e0700 + part), 40) for part in range(16)]


def sound_prompt(number):
    return deadly.Prompt(PREAMBLE + [("%08x" % (0x10000000 + number), 300)])


def deadly_prompt(number):
    return deadly.Prompt(PREAMBLE + [(deadly.DEADLY_PART, 40),
                                     ("%08x" % (0x20000000 + number), 300)])


async def scenario(lab):
    return await lost.scenario(lab, sound_prompt, [(0.5 * number, deadly_prompt) for number in range(5)],
                               deadly_prompt)


deployment.run_case(FOLDER, scenario)
