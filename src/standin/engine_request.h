#pragma once

#include "standin/chat_request.h"
#include "transport/http_exchange.h"

#include <cstdint>
#include <memory>
#include <string>

namespace comfreypass::standin {

/** One request in a model engine, from its arrival to its end. */
struct engine_request
{
    enum class fault : std::uint8_t {
        None,
        /** The connection is closed half-way through the answer. */
        Truncate,
        /** The request is never worked on. */
        Hang,
    };

    std::shared_ptr<transport::http_exchange> exchange;
    chat_request chat;
    /** Name of the stream for a later resume. */
    std::string stream;
    std::uint64_t seed = 0;
    fault failure = fault::None;
    std::uint32_t cachedTokens = 0;
    /** Prompt tokens still to prefill. */
    double remainingPrefillTokens = 0;
    /** Prompt tokens prefilled for this request. */
    double prefilledTokens = 0;
    /** Index of the next token. */
    std::uint32_t nextToken = 0;
    bool streamStarted = false;
    /** False while the caller does not take the stream's bytes. */
    bool writable = true;

    /** The JSON of one streamed event with a token. */
    std::string tokenEvent(const std::string &token) const;

    /** The last events of a stream: the reason of its end, the usage if asked for, and [DONE]. */
    std::string endEvents() const;

    /** The body of a whole answer. */
    std::string responseBody() const;
};

} // namespace comfreypass::standin
