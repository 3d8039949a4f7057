#pragma once

#include "core/name.h"
#include "core/time_point.h"

#include <cstdint>
#include <string_view>

namespace comfreypass::scheduling {

/** Whether an engine is usable for a request, and the reason if it is not. */
struct engine_explanation
{
    enum class status : std::uint8_t {
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
    status result = status::Usable;
    /** Estimated time from a dispatch now to the end of the response. */
    core::duration estimate{};
    std::uint32_t cachedPrefillTokens = 0;
};

/** Returns the stable lower-case text of a status, as state pages show it. */
std::string_view toString(engine_explanation::status value) noexcept;

} // namespace comfreypass::scheduling
