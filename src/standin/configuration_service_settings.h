#pragma once

#include "core/time_point.h"
#include "transport/http_server_settings.h"

#include <chrono>
#include <cstddef>

namespace comfreypass::standin {

/** Settings of a configuration_service. */
struct configuration_service_settings
{
    transport::http_server_settings http;
    std::size_t maxValueBytes = 1'000'000;
    /** Upper bound of wait_ms. */
    core::duration maxWait = std::chrono::minutes(1);
};

} // namespace comfreypass::standin
