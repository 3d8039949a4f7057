#pragma once

#include "core/time_point.h"
#include "transport/http_headers.h"

#include <chrono>
#include <cstddef>
#include <functional>
#include <limits>
#include <string>

namespace comfreypass::transport {

/** A request to an upstream. */
struct http_call
{
    std::string method = "GET";
    std::string url;
    http_headers headers;
    std::string body;
    /** A response with a larger body ends the call with Broken. */
    std::size_t maxBodyBytes = std::numeric_limits<std::size_t>::max();
    /** Time at which the call ends with Timeout. */
    core::time_point deadline = core::time_point::max();
    core::duration connectTimeout = std::chrono::seconds(1);
    /**
     * Called immediately before the first byte of the request is written. If it returns false, the
     * call ends without sending a byte. May be empty.
     */
    std::function<bool()> beforeSend;
};

} // namespace comfreypass::transport
