#pragma once

#include "standin/chat_request.h"
#include "transport/http_exchange.h"

#include <cstdint>
#include <memory>
#include <string>

namespace comfreypass::standin {

/** State of a request in a model engine. */
struct engine_request
{
    enum class fault : std::uint8_t {
        None,
        /** The connection is closed half-way through the response. */
        Truncate,
        /** The request is never processed. */
        Hang,
    };

    std::shared_ptr<transport::http_exchange> exchange;
    chat_request chat;
    /** Stream id, which POST /v1/resume refers to. */
    std::string stream;
    std::uint64_t seed = 0;
    fault failure = fault::None;
    std::uint32_t cachedTokens = 0;
    /** Prompt tokens that are not prefilled yet. */
    double remainingPrefillTokens = 0;
    /** Prompt tokens prefilled for this request. */
    double prefilledTokens = 0;
    /** Index of the next token. */
    std::uint32_t nextToken = 0;
    bool streamStarted = false;
    /** False while the send buffer of the connection is full. */
    bool writable = true;

    /** Returns a stream event with one token. */
    std::string tokenEvent(const std::string &token) const;

    /** Returns the last events of a stream: finish reason, usage if requested, and [DONE]. */
    std::string endEvents() const;

    /** Returns the body of a response that is not streamed. */
    std::string responseBody() const;
};

} // namespace comfreypass::standin
