#pragma once

#include "core/time_point.h"
#include "transport/http_server_settings.h"

namespace comfreypass::standin {

/** Settings of an instance_list. */
struct instance_list_settings
{
    transport::http_server_settings http;
    /** Time until a change becomes visible to GET. */
    core::duration lag{0};
};

} // namespace comfreypass::standin
