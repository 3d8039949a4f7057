#pragma once

#include <cstddef>
#include <functional>
#include <string_view>
#include <unordered_set>

namespace comfreypass::transport {

/** Returns the lower case of an ASCII letter and any other byte as it is. Thread-safe. */
constexpr char toLowerAscii(char byte) noexcept
{
    constexpr char offset = 'a' - 'A';
    return byte >= 'A' && byte <= 'Z' ? static_cast<char>(byte + offset) : byte;
}

/**
 * Returns true if two texts differ only in the case of ASCII letters, as names of HTTP fields are
 * compared. Independent of the locale. Thread-safe.
 */
bool equalIgnoringCase(std::string_view left, std::string_view right) noexcept;

/**
 * Returns true if a text may be the name of an HTTP field: one or more letters, digits and
 * "!#$%&'*+-.^_`|~" (a token of RFC 9110). Thread-safe.
 */
bool isFieldName(std::string_view text) noexcept;

/**
 * Hashes a text so that texts that are equal ignoring case have the same hash. The hash is seeded
 * at random in each process, so that callers cannot prepare names that collide. Thread-safe.
 */
struct field_name_hash
{
    std::size_t operator()(std::string_view text) const noexcept;
};

struct field_name_equal
{
    bool operator()(std::string_view left, std::string_view right) const noexcept
    {
        return equalIgnoringCase(left, right);
    }
};

/** Names of HTTP fields, which must outlive the set. Each operation costs the name's length. */
using field_name_set = std::unordered_set<std::string_view, field_name_hash, field_name_equal>;

} // namespace comfreypass::transport
