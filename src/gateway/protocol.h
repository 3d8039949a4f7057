#pragma once

#include "core/time_point.h"
#include "gateway/answer_facts.h"
#include "gateway/attempt_facts.h"
#include "gateway/request_facts.h"
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

    virtual request_facts readRequest(const http1::message_head &head) const = 0;

    virtual answer_facts readAnswer(const http1::message_head &head) const = 0;

    /** Header fields of the request for an engine, without the framing. */
    virtual transport::http_headers engineHeaders(const http1::message_head &head,
                                                  const attempt_facts &attempt) const = 0;

    /** Header fields of an answer of the gateway itself. */
    virtual transport::http_headers ownHeaders(const request_facts &request) const = 0;
};

} // namespace comfreypass::gateway
