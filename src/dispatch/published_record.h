#pragma once

#include <cstdint>
#include <string>

namespace comfreypass::dispatch {

/** A record that operators or engines publish; the value is in the format of its source. */
struct published_record
{
    std::string key;
    std::uint64_t revision = 0;
    std::string value;

    bool operator==(const published_record &) const = default;
};

} // namespace comfreypass::dispatch
