#pragma once

#include <optional>
#include <string_view>

namespace comfreypass::transport {

/**
 * Returns true for the status of an interim response, which a final one follows. Precondition:
 * isResponseStatus(status). Thread-safe.
 */
constexpr bool isInterimStatus(unsigned status) noexcept
{
    constexpr unsigned firstFinalStatus = 200;
    return status < firstFinalStatus;
}

/**
 * Returns true for the status of a response, interim or final: 100 to 599, but not 101, since no
 * request asks for another protocol. Thread-safe.
 */
constexpr bool isResponseStatus(unsigned status) noexcept
{
    constexpr unsigned firstStatus = 100;
    constexpr unsigned lastStatus = 599;
    constexpr unsigned switchingProtocols = 101;
    return status >= firstStatus && status <= lastStatus && status != switchingProtocols;
}

/**
 * Parses a status line of HTTP/1.0 or HTTP/1.1, without its line end. Returns the status, or
 * nothing if the line is malformed or its status is not one of a response. Thread-safe.
 */
std::optional<unsigned> parseStatusLine(std::string_view line) noexcept;

} // namespace comfreypass::transport
