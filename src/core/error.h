#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace comfreypass::core {

enum class errc : std::uint8_t {
    InvalidArgument,
    ParseFailed,
    ValidationFailed,
    NotFound,
    TooLarge,
    Expired,
    Stale,
    Conflict,
    Refused,
    Unavailable,
    Io,
};

/** Returns the stable lower-case name of an error code for logs and machine-readable output. */
std::string_view toString(errc code) noexcept;

/** An error value with its location, description and remedy. */
struct error
{
    errc code = errc::InvalidArgument;
    /** Location of the error, such as a JSON pointer, a file or an address; may be empty. */
    std::string where;
    /** Description of the problem. */
    std::string detail;
    /** Suggested correction for the user; may be empty. */
    std::string remedy;

    bool operator==(const error &) const = default;
};

/** Formats an error as one line of text: "where: detail (remedy)". */
std::string describe(const error &value);

} // namespace comfreypass::core
