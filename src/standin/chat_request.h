#pragma once

#include "core/result.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace comfreypass::standin {

/** What the model engine reads from the body of a chat completion request. */
struct chat_request
{
    std::string model;
    /** All messages in order, each as its role, a line feed, its content and a line feed. */
    std::string prompt;
    std::uint32_t maxTokens = 16;
    bool stream = false;
    /** `stream_options.include_usage`: a last event with the usage. */
    bool includeUsage = false;

    /** Estimated as a quarter of the prompt's characters, at least one. */
    std::uint32_t promptTokens() const noexcept;

    /** Errors: ParseFailed for a body that is no JSON, ValidationFailed for one of another shape.
     */
    static core::result<chat_request> parse(std::string_view body);
};

} // namespace comfreypass::standin
