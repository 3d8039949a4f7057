#pragma once

#include <compare>
#include <cstdint>

namespace comfreypass::sheet {

/**
 * Key that defines a total order of sheets. On every node, a sheet with a greater key replaces one
 * with a smaller key.
 *
 * The service index decides between two sheets of equal revision, so that all nodes use the same
 * sheet after two operators load sheets concurrently. The digest only breaks ties that a faulty
 * service causes.
 */
struct sheet_key
{
    std::uint64_t revision = 0;
    std::uint64_t serviceIndex = 0;
    std::uint64_t digest = 0;

    auto operator<=>(const sheet_key &) const = default;
};

} // namespace comfreypass::sheet
