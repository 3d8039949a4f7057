#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace comfreypass::dispatch {

/**
 * Position in the history of a source of published records.
 *
 * A source that is restored from an older copy gives out revision numbers again, in a new era. So
 * numbers are comparable within one era only, and every revision of a later era is newer.
 */
struct record_revision
{
    /** A revision of a source that does not number its eras. */
    constexpr record_revision(std::uint64_t number = 0) noexcept : number(number) { }
    constexpr record_revision(std::uint64_t era, std::uint64_t number) noexcept
        : era(era), number(number)
    { }

    std::uint64_t era = 0;
    std::uint64_t number = 0;

    auto operator<=>(const record_revision &) const = default;

    /** Returns the number, followed by "@" and the era unless that is 0. Thread-safe. */
    std::string text() const;

    /** Parses the format of text(); nullopt if it does not match. Thread-safe. */
    static std::optional<record_revision> parse(std::string_view text);
};

} // namespace comfreypass::dispatch
