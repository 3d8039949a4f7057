#include "transport/field_name.h"

#include "core/hash.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <random>

namespace comfreypass::transport {

namespace {

std::uint64_t drawSeed()
{
    std::random_device device;
    constexpr int bitsOfADraw = 32;
    return std::uint64_t{device()} << bitsOfADraw | device();
}

bool isTokenByte(char byte)
{
    constexpr std::string_view symbols = "!#$%&'*+-.^_`|~";
    const char lower = toLowerAscii(byte);
    return (lower >= 'a' && lower <= 'z') || (byte >= '0' && byte <= '9')
           || symbols.find(byte) != std::string_view::npos;
}

} // namespace

bool equalIgnoringCase(std::string_view left, std::string_view right) noexcept
{
    return left.size() == right.size() && std::ranges::equal(left, right, [](char one, char other) {
               return toLowerAscii(one) == toLowerAscii(other);
           });
}

bool isFieldName(std::string_view text) noexcept
{
    return !text.empty() && std::ranges::all_of(text, isTokenByte);
}

std::size_t field_name_hash::operator()(std::string_view text) const noexcept
{
    static const std::uint64_t seed = drawSeed();
    // Longer than usual names; the hash of each block is the seed of the next one.
    std::array<char, 64> block{};
    std::uint64_t hash = seed;
    do {
        const std::string_view part = text.substr(0, block.size());
        std::ranges::transform(part, block.begin(), toLowerAscii);
        hash = core::hash64(std::string_view(block.data(), part.size()), hash);
        text.remove_prefix(part.size());
    } while (!text.empty());
    return hash;
}

} // namespace comfreypass::transport
