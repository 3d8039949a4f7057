#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

namespace comfreypass::idempotency {

/** A complete small response, kept to be replayed to a repeated request. */
struct stored_response
{
    std::uint16_t status = 0;
    std::string contentType;
    std::string body;

    /** Returns the bytes that count against the bound of the store. */
    std::size_t bytes() const noexcept
    {
        return sizeof(stored_response) + contentType.size() + body.size();
    }

    bool operator==(const stored_response &) const = default;
};

} // namespace comfreypass::idempotency
