#pragma once

#include "core/name.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string_view>

namespace comfreypass::idempotency {

/** 128-bit hash of team, member and the caller's idempotency key. */
struct request_key
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    auto operator<=>(const request_key &) const = default;
};

/**
 * Returns the key of a request. Callers of different teams or members never share a key, whatever
 * text they choose. Thread-safe.
 */
request_key makeRequestKey(const core::team_name &team, std::string_view member,
                           std::string_view callerKey);

} // namespace comfreypass::idempotency

template<>
struct std::hash<comfreypass::idempotency::request_key>
{
    /** Keys are parts of a cryptographic hash and therefore uniformly distributed. */
    std::size_t operator()(const comfreypass::idempotency::request_key &key) const noexcept
    {
        return key.high ^ key.low;
    }
};
