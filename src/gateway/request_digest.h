#pragma once

#include <cstdint>
#include <string_view>

namespace comfreypass::gateway {

/** What makes two requests of callers the same. */
struct request_identity
{
    std::string_view method;
    std::string_view host;
    std::string_view target;
    /** Name of the caller's team. */
    std::string_view team;
    std::string_view body;
};

/**
 * Returns a digest that is equal for equal requests, on all nodes. It is cryptographic, so that no
 * caller can write a request with the digest of another caller's. Thread-safe.
 */
std::uint64_t requestDigest(const request_identity &identity);

} // namespace comfreypass::gateway
