#pragma once

#include <compare>
#include <cstdint>

namespace comfreypass::sheet {

/**
 * Total order of sheets. A sheet with a greater key replaces one with a smaller key on every node
 * alike.
 *
 * The service index decides between two sheets of equal revision, so that two operators who load at
 * once leave the same sheet in force everywhere; the digest only breaks a tie that a faulty service
 * makes.
 */
struct sheet_key
{
    std::uint64_t revision = 0;
    std::uint64_t serviceIndex = 0;
    std::uint64_t digest = 0;

    auto operator<=>(const sheet_key &) const = default;
};

} // namespace comfreypass::sheet
