#pragma once

#include "core/result.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace comfreypass::http1 {

/** IPv4 address and port, both in host byte order. */
struct endpoint
{
    std::uint32_t address = 0;
    std::uint16_t port = 0;

    auto operator<=>(const endpoint &) const = default;

    /** Parses an address such as "10.1.0.25:8221". Error: ParseFailed. Thread-safe. */
    static core::result<endpoint> parse(std::string_view text);

    /** Returns the text form, such as "10.1.0.25:8221". Thread-safe. */
    std::string text() const;
};

/** Returns the text form of an IPv4 address in host byte order. Thread-safe. */
std::string addressText(std::uint32_t address);

} // namespace comfreypass::http1
