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
    /** URI of the kind of problem. */
    std::string type = "about:blank";
    std::string title;
    unsigned status = 500;
    std::string detail;
    /** Stable word for programs; left out if empty. */
    std::string reason;
    /** "not_run" or "unknown"; left out if empty. */
    std::string outcome;
    /** Seconds for the Retry-After header. */
    std::optional<std::uint32_t> retryAfterSeconds;

    /** The document as JSON text. */
    std::string body() const;

    /** Content-Type, and Retry-After if it is set. */
    http_headers headers() const;

    /** Answers an exchange with this problem and further header fields. */
    void respondTo(http_exchange &exchange, const http_headers &additional = {}) const;
};

} // namespace comfreypass::transport
