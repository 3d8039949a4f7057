#pragma once

#include "core/name.h"
#include "core/time_point.h"

#include <cstdint>
#include <string_view>

namespace comfreypass::scheduling {

/** Why an engine takes a request, or why not. */
struct engine_explanation
{
    enum class verdict : std::uint8_t {
        Usable,
        NotListed,
        Leaving,
        DomainOutOfService,
        NoVotes,
        Full,
        ReservedForSmall,
        DeadlineTooLongForCold,
        DeadlineUnreachable,
    };

    core::engine_name engine;
    verdict result = verdict::Usable;
    /** Estimated time from a dispatch now to the end of the response. */
    core::duration estimate{};
    std::uint32_t cachedPrefillTokens = 0;
};

/** Stable lower-case words for a verdict, as they appear on state pages. */
std::string_view toString(engine_explanation::verdict value) noexcept;

} // namespace comfreypass::scheduling
