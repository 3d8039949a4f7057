#pragma once

#include "core/name.h"
#include "core/result.h"
#include "scheduling/request_cost.h"

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace comfreypass::node {

/** Scheduling metadata of a chat-completions request. */
struct chat_request
{
    /** Prompt characters per token, for estimates; engines report the exact count in `usage`. */
    static constexpr std::size_t charactersPerToken = 4;
    /** Decode tokens that are assumed if the request sets no limit. */
    static constexpr std::uint32_t defaultDecodeTokens = 256;
    /** Prompt tokens per block of the chained prefix hashes. */
    static constexpr std::size_t prefixBlockTokens = 128;
    static constexpr std::size_t maxPrefixHashes = 32;

    core::model_name model;
    bool stream = false;
    scheduling::request_cost cost;
    /** Hashes of increasingly long prompt prefixes, shortest first. */
    std::vector<std::uint64_t> prefixHashes;
};

/**
 * Parses the body of a chat-completions request. Unknown members are ignored, because the body is
 * forwarded to the engine unchanged. Thread-safe.
 *
 * Errors: ParseFailed for a body that is not JSON, ValidationFailed with the JSON pointer for
 * invalid members.
 */
core::result<chat_request> parseChatRequest(std::string_view body);

} // namespace comfreypass::node
