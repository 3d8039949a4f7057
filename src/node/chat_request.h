#pragma once

#include "core/name.h"
#include "core/result.h"
#include "scheduling/request_cost.h"

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace comfreypass::node {

/** What the scheduler needs to know of a chat-completions request. */
struct chat_request
{
    /** Prompt characters per token in estimates; engines report the true number in `usage`. */
    static constexpr std::size_t charactersPerToken = 4;
    /** Answer tokens that are assumed when the caller sets no `max_tokens`. */
    static constexpr std::uint32_t defaultDecodeTokens = 256;
    /** Prompt tokens that one step of the prefix hashes covers. */
    static constexpr std::size_t prefixBlockTokens = 128;
    static constexpr std::size_t maxPrefixHashes = 32;

    core::model_name model;
    bool stream = false;
    scheduling::request_cost cost;
    /** Hashes of growing prefixes of the prompt, shortest first. */
    std::vector<std::uint64_t> prefixHashes;
};

/**
 * Reads a request body in the chat-completions shape. Members that are not needed are ignored,
 * because the body goes to the engine unchanged. Thread-safe.
 *
 * Errors: ParseFailed for a body that is not JSON, ValidationFailed with the JSON pointer
 * otherwise.
 */
core::result<chat_request> parseChatRequest(std::string_view body);

} // namespace comfreypass::node
