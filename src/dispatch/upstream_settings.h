#pragma once

#include "core/time_point.h"

#include <cstdint>
#include <string>

namespace comfreypass::dispatch {

/** What the configuration says of the engines of one upstream. */
struct upstream_settings
{
    std::string name;
    /** Connections that one engine accepts from all callers together; 0 is unknown. */
    std::uint32_t connectionsPerEngine = 0;
    /** Time for which an engine is cold after its start. */
    core::duration coldTime{};
    /** Requests per second that a cold engine bears, from all nodes together; 0 is without limit.
     */
    double coldRequestsPerSecond = 0;
    /** Output tokens in one event of a stream. */
    double tokensPerEvent = 1;

    bool operator==(const upstream_settings &) const = default;
};

} // namespace comfreypass::dispatch
