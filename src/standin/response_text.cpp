#include "standin/response_text.h"

#include "core/hash.h"

namespace comfreypass::standin {

namespace {

/** Tokens are numbers below this bound, which keeps responses short. */
constexpr std::uint64_t vocabularySize = 100'000;

} // namespace

std::uint64_t responseSeed(std::string_view prompt) noexcept
{
    return core::hash64(prompt);
}

std::string responseToken(std::uint64_t seed, std::uint32_t index)
{
    return "w" + std::to_string(core::hash64(std::to_string(index), seed) % vocabularySize) + " ";
}

std::string responseText(std::string_view prompt, std::uint32_t tokens)
{
    const std::uint64_t seed = responseSeed(prompt);
    std::string text;
    for (std::uint32_t i = 0; i < tokens; ++i)
        text += responseToken(seed, i);
    return text;
}

} // namespace comfreypass::standin
