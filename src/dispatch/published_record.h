#pragma once

#include "core/time_point.h"
#include "dispatch/record_revision.h"

#include <string>

namespace comfreypass::dispatch {

/** A record that operators or engines publish; the value is in the format of its source. */
struct published_record
{
    std::string key;
    record_revision revision = {};
    std::string value;
    /** The value as sent to peers, if it is compressed; empty otherwise. */
    std::string compressedValue = {};
    /** When a node read the record from its source, on the clock of this node; 0 if unknown. */
    core::time_point readAt{};

    bool operator==(const published_record &) const = default;
};

} // namespace comfreypass::dispatch
