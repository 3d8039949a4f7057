#pragma once

#include "transport/http_headers.h"

#include <cstdint>
#include <optional>
#include <string>

namespace comfreypass::http1 {

/** Start line and header fields of a request or a response. */
struct message_head
{
    /** Requests only: method and target as sent. */
    std::string method;
    std::string target;
    /** True if the sender understands chunks. */
    bool isHttp11 = true;
    /** Responses only: status code and reason phrase. */
    unsigned status = 0;
    std::string reason;
    transport::http_headers headers;
    /** True if the connection persists after this message. */
    bool keepAlive = true;
    bool chunked = false;
    std::optional<std::uint64_t> contentLength;
};

} // namespace comfreypass::http1
