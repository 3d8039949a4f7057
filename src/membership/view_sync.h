#pragma once

#include "membership/member.h"

#include <vector>

namespace comfreypass::membership {

/** A part of the sender's view, sent when two neighbours' digests differ. */
struct view_sync
{
    bool answerWanted = false;
    std::vector<member> members;

    bool operator==(const view_sync &) const = default;
};

} // namespace comfreypass::membership
