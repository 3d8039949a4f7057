#include "wire/field_check.h"

#include "wire/limits.h"
#include "wire/milliseconds.h"

#include <arpa/inet.h>
#include <netinet/in.h>

#include <algorithm>
#include <charconv>

namespace comfreypass::wire {

namespace {

bool isPort(std::string_view text)
{
    std::uint16_t port = 0;
    const auto [end, errorCode] = std::from_chars(text.data(), text.data() + text.size(), port);
    return errorCode == std::errc{} && end == text.data() + text.size() && port != 0;
}

bool isHost(const std::string &text)
{
    in6_addr parsed{};
    const bool isBracketed = text.size() > 2 && text.front() == '[' && text.back() == ']';
    if (isBracketed)
        return inet_pton(AF_INET6, text.substr(1, text.size() - 2).c_str(), &parsed) == 1;
    return inet_pton(AF_INET, text.c_str(), &parsed) == 1;
}

bool isControl(char character)
{
    const auto code = static_cast<unsigned char>(character);
    return code < 0x20 || code == 0x7f;
}

} // namespace

bool field_check::require(bool condition, std::string_view field, std::string_view problem)
{
    if (!condition && !m_error.has_value()) {
        m_error = core::error{
            core::errc::InvalidArgument, std::string{field}, std::string{problem}, {}};
    }
    return condition;
}

std::string field_check::address(const std::string &text, std::string_view field)
{
    if (text.empty())
        return text;
    const std::size_t colon = text.rfind(':');
    const bool valid = text.size() <= maxNameBytes && colon != std::string::npos
                       && isPort(std::string_view{text}.substr(colon + 1))
                       && isHost(text.substr(0, colon));
    return require(valid, field, "is not an ip:port address") ? text : std::string{};
}

core::duration field_check::milliseconds(std::uint32_t value, std::uint32_t maxMs,
                                         std::string_view field)
{
    return require(value <= maxMs, field, "exceeds the maximum duration") ? fromMs(value)
                                                                          : core::duration{};
}

bool field_check::size(std::size_t actual, std::size_t maxSize, std::string_view field)
{
    return require(actual <= maxSize, field, "is too long");
}

bool field_check::checkName(const std::string &text, std::string_view field)
{
    return size(text.size(), maxNameBytes, field)
           && require(std::none_of(text.begin(), text.end(), isControl), field,
                      "contains a control character");
}

} // namespace comfreypass::wire
