#pragma once

#include <cstdint>

namespace comfreypass::sheet {

/** Performance of one engine of a hardware generation. */
struct generation_spec
{
    double prefillTokensPerSecond = 0;
    /** Decode rate of a single stream. */
    double decodeTokensPerSecond = 0;
    /** Requests that a warm engine runs concurrently without missing the token deadline. */
    std::uint32_t slots = 1;
};

} // namespace comfreypass::sheet
