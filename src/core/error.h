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

/** Stable lower-case word for an error code, as it appears in logs and machine-readable output. */
std::string_view toString(errc code) noexcept;

/** An error as a value: what went wrong, where, and what to do about it. */
struct error
{
    errc code = errc::InvalidArgument;
    /** Place of the error, such as a JSON pointer, a file or an address; may be empty. */
    std::string where;
    /** What is wrong. */
    std::string detail;
    /** What the user can do; may be empty. */
    std::string remedy;

    bool operator==(const error &) const = default;
};

/** One line for a person: "where: detail (remedy)". */
std::string describe(const error &value);

} // namespace comfreypass::core
