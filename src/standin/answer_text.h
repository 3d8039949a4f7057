#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace comfreypass::standin {

/**
 * Token `index` of the model engine's answer to a prompt. It depends on the prompt only, so that a
 * test can tell whether a caller got the answer to its own request. Thread-safe.
 */
std::string answerToken(std::string_view prompt, std::uint32_t index);

/** The whole answer of `tokens` tokens to a prompt. Thread-safe. */
std::string answerText(std::string_view prompt, std::uint32_t tokens);

} // namespace comfreypass::standin
