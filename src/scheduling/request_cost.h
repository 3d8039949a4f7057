#pragma once

#include <cstdint>

namespace comfreypass::scheduling {

/** Estimated size of a request. Plain-service requests count as one prefill and no decode token. */
struct request_cost
{
    std::uint32_t prefillTokens = 1;
    std::uint32_t decodeTokens = 0;

    std::uint32_t total() const noexcept { return prefillTokens + decodeTokens; }
    bool operator==(const request_cost &) const = default;
};

} // namespace comfreypass::scheduling
