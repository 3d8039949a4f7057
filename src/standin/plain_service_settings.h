#pragma once

#include "core/time_point.h"
#include "transport/http_server_settings.h"

#include <chrono>
#include <cstdint>

namespace comfreypass::standin {

/** Settings of a plain_service. */
struct plain_service_settings
{
    transport::http_server_settings http;
    /** Time from the request to its effect and answer. */
    core::duration latency = std::chrono::milliseconds(5);
    /** Bookings that GET /slots reports as free at the start. */
    std::uint32_t slots = 1'000;
};

} // namespace comfreypass::standin
