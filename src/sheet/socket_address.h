#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace comfreypass::sheet {

/** Numeric IP address and port. */
struct socket_address
{
    /** IP address, without brackets for IPv6. */
    std::string host;
    std::uint16_t port = 0;
};

/**
 * Splits ip:port or [ip]:port. Precondition: the text was validated, as in settings; otherwise the
 * host may be empty and the port 0. Thread-safe.
 */
socket_address splitAddress(std::string_view text);

} // namespace comfreypass::sheet
