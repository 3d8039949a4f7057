#include "observe/prometheus_text.h"

#include <array>
#include <charconv>
#include <cstddef>

namespace comfreypass::observe {

std::string escapeLabel(std::string_view value)
{
    std::string escaped;
    for (const char character : value) {
        if (character == '\n') {
            escaped += "\\n";
            continue;
        }
        if (character == '\\' || character == '"')
            escaped += '\\';
        escaped += character;
    }
    return escaped;
}

std::string formatNumber(double value)
{
    constexpr std::size_t maxDoubleChars = 32;
    std::array<char, maxDoubleChars> buffer{};
    const auto written = std::to_chars(buffer.data(), buffer.data() + buffer.size(), value);
    return {buffer.data(), written.ptr};
}

} // namespace comfreypass::observe
