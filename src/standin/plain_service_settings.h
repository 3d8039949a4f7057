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
    /** Delay from a request to its effect and response. */
    core::duration latency = std::chrono::milliseconds(5);
    /** Initial number of free slots in GET /slots. */
    std::uint32_t slots = 1'000;
};

} // namespace comfreypass::standin
