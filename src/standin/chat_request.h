#pragma once

#include "core/result.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace comfreypass::standin {

/** The fields of a chat completion request that the model engine uses. */
struct chat_request
{
    std::string model;
    /** All messages in order, each as role, line feed, content, line feed. */
    std::string prompt;
    std::uint32_t maxTokens = 16;
    bool stream = false;
    /** `stream_options.include_usage`: the stream ends with an event that has the usage. */
    bool includeUsage = false;

    /** Returns the estimated size of the prompt: one token per four characters, at least one. */
    std::uint32_t promptTokens() const noexcept;

    /**
     * Parses a request body. Errors: ParseFailed if it is not JSON, ValidationFailed if a field is
     * missing or has the wrong type.
     */
    static core::result<chat_request> parse(std::string_view body);
};

} // namespace comfreypass::standin
