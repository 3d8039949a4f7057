#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace comfreypass::standin {

/** What a plain_service has done. */
struct plain_service_counters
{
    /** How often the booking of each key ran. */
    std::map<std::string, std::uint32_t> bookingRuns;
    /** How often each X-Request-Id was received. */
    std::map<std::string, std::uint32_t> requestIds;
    std::uint64_t bookings = 0;
    std::uint64_t slotQueries = 0;
    std::uint64_t failures = 0;
    /** Bookings that ran but were not answered. */
    std::uint64_t lostReplies = 0;
    /** Callers that had gone before the answer; their bookings run nevertheless. */
    std::uint64_t callersDisconnected = 0;
};

} // namespace comfreypass::standin
