#pragma once

#include "core/time_point.h"
#include "gateway/attempt_metadata.h"
#include "gateway/request_metadata.h"
#include "gateway/response_metadata.h"
#include "http1/message_head.h"
#include "transport/http_headers.h"

namespace comfreypass::gateway {

/**
 * How callers and engines spell what the gateway needs to know. Implementations have no state and
 * are thread-safe.
 */
class protocol
{
public:
    protocol() = default;
    virtual ~protocol() = default;
    protocol(const protocol &) = delete;
    protocol &operator=(const protocol &) = delete;

    virtual request_metadata readRequest(const http1::message_head &head) const = 0;

    virtual response_metadata readResponse(const http1::message_head &head) const = 0;

    /** Header fields of the request for an engine, without the framing. */
    virtual transport::http_headers engineHeaders(const http1::message_head &head,
                                                  const attempt_metadata &attempt) const = 0;

    /** Header fields of an answer of the gateway itself. */
    virtual transport::http_headers localResponseHeaders(const request_metadata &request) const = 0;
};

} // namespace comfreypass::gateway
