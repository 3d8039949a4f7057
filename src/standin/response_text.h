#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace comfreypass::standin {

/** Returns the seed for `responseToken` of a prompt. Thread-safe. */
std::uint64_t responseSeed(std::string_view prompt) noexcept;

/**
 * Returns token `index` of a model engine's response. It depends only on the prompt, so that a test
 * can check that a caller received the response to its own request. Thread-safe.
 */
std::string responseToken(std::uint64_t seed, std::uint32_t index);

/** Returns the complete response of `tokens` tokens to a prompt. Thread-safe. */
std::string responseText(std::string_view prompt, std::uint32_t tokens);

} // namespace comfreypass::standin
