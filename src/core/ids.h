#pragma once

#include <cstdint>

namespace comfreypass::core {

/** Identifies one request of one node incarnation; drawn at random by the entry node. */
using request_id = std::uint64_t;

/** Identifies one permit; unique within the scheduler incarnation that granted it. */
using permit_id = std::uint64_t;

} // namespace comfreypass::core
