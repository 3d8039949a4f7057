#pragma once

#include "core/time_point.h"

#include <cstdint>
#include <string>

namespace comfreypass::dispatch {

/** Configuration of the engines of one upstream. */
struct upstream_settings
{
    std::string name;
    /** Connections that one engine accepts in total; 0 if unknown. */
    std::uint32_t connectionsPerEngine = 0;
    /** Duration for which an engine is cold after its start. */
    core::duration coldTime{};
    /** Requests per second that a cold engine accepts from all nodes together; 0 is unlimited. */
    double coldRequestsPerSecond = 0;
    /** Output tokens in one event of a stream. */
    double tokensPerEvent = 1;

    bool operator==(const upstream_settings &) const = default;
};

} // namespace comfreypass::dispatch
