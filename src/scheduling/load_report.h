#pragma once

#include "core/name.h"

#include <cstdint>

namespace comfreypass::scheduling {

/** A load report of one engine; its values are outdated by the time it is read. */
struct load_report
{
    core::engine_name engine;
    std::uint64_t engineEpoch = 0;
    bool cold = false;
    std::uint32_t running = 0;
    std::uint32_t queuedTokens = 0;

    bool operator==(const load_report &) const = default;
};

} // namespace comfreypass::scheduling
