#pragma once

#include <cstdint>

namespace comfreypass::scheduling {

/** Estimated cost of a request. A plain-service request has one prefill and no decode token. */
struct request_cost
{
    std::uint32_t prefillTokens = 1;
    std::uint32_t decodeTokens = 0;

    std::uint32_t total() const noexcept { return prefillTokens + decodeTokens; }
    bool operator==(const request_cost &) const = default;
};

} // namespace comfreypass::scheduling
