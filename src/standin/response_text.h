#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace comfreypass::standin {

/** Identifies a prompt for `answerToken`. Thread-safe. */
std::uint64_t responseSeed(std::string_view prompt) noexcept;

/**
 * Token `index` of the model engine's answer. It depends on the prompt only, so that a test can
 * tell whether a caller got the answer to its own request. Thread-safe.
 */
std::string responseToken(std::uint64_t seed, std::uint32_t index);

/** The whole answer of `tokens` tokens to a prompt. Thread-safe. */
std::string responseText(std::string_view prompt, std::uint32_t tokens);

} // namespace comfreypass::standin
