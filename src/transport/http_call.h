#pragma once

#include "core/time_point.h"
#include "transport/http_headers.h"

#include <chrono>
#include <functional>
#include <string>

namespace comfreypass::transport {

/** A request to an upstream. */
struct http_call
{
    std::string method = "GET";
    std::string url;
    http_headers headers;
    std::string body;
    /** The call ends with Timeout at this time. */
    core::time_point deadline = core::time_point::max();
    core::duration connectTimeout = std::chrono::seconds(1);
    /**
     * Called directly before the first byte of the request is written; false ends the call without
     * a byte having been sent. May be empty.
     */
    std::function<bool()> beforeSend;
};

} // namespace comfreypass::transport
