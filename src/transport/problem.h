#pragma once

#include "transport/http_exchange.h"
#include "transport/http_headers.h"

#include <cstdint>
#include <optional>
#include <string>

namespace comfreypass::transport {

/** A problem+json document (RFC 9457) with the members `reason` and `outcome`. */
struct problem
{
    /** URI of the problem type. */
    std::string type = "about:blank";
    std::string title;
    unsigned status = 500;
    std::string detail;
    /** Stable machine-readable reason; omitted if empty. */
    std::string reason;
    /** "not_run" or "unknown"; omitted if empty. */
    std::string outcome;
    /** Value of the Retry-After header. */
    std::optional<std::uint32_t> retryAfterSeconds;

    /** Returns the document as JSON text. */
    std::string body() const;

    /** Returns Content-Type, and Retry-After if it is set. */
    http_headers headers() const;

    /** Sends this problem with additional header fields as the response to an exchange. */
    void respondTo(http_exchange &exchange, const http_headers &additional = {}) const;
};

} // namespace comfreypass::transport
