#pragma once

#include "core/ids.h"
#include "core/name.h"
#include "core/time_point.h"

#include <cstdint>

namespace comfreypass::scheduling {

/** The right to dispatch one request to one engine. */
struct permit_grant
{
    core::request_id request = 0;
    core::permit_id permit = 0;
    core::upstream_name upstream;
    core::engine_name engine;
    /** Sequence of the lease round under which the permit was granted. */
    std::uint64_t leaseSequence = 0;
    /** The permit must be used within this time after it is received. */
    core::duration validFor{};
    /** Prompt tokens that are expected to be in the engine's prefix cache. */
    std::uint32_t cachedPrefillTokens = 0;

    bool operator==(const permit_grant &) const = default;
};

} // namespace comfreypass::scheduling
