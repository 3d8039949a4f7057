#pragma once

#include <cstdint>

namespace comfreypass::sheet {

/** Speed of one hardware generation, per engine. */
struct generation_spec
{
    double prefillTokensPerSecond = 0;
    /** Decode speed of one stream. */
    double decodeTokensPerSecond = 0;
    /** Requests that a warm engine runs at once without missing the token deadline. */
    std::uint32_t slots = 1;
};

} // namespace comfreypass::sheet
