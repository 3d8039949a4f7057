#pragma once

#include "membership/member.h"

#include <vector>

namespace comfreypass::membership {

/** Part of the sender's view, sent when the digests of two neighbours differ. */
struct view_sync
{
    bool replyRequested = false;
    std::vector<member> members;

    bool operator==(const view_sync &) const = default;
};

} // namespace comfreypass::membership
