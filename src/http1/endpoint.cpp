#include "http1/endpoint.h"

#include <arpa/inet.h>

#include <array>
#include <charconv>

namespace comfreypass::http1 {

core::result<endpoint> endpoint::parse(std::string_view text)
{
    const auto failed = [text] {
        return core::error{core::errc::ParseFailed, std::string(text), "is not IP:PORT",
                           "write it like 10.1.0.25:8221"};
    };
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return failed();
    const std::string host(text.substr(0, colon));
    const std::string_view digits = text.substr(colon + 1);
    in_addr address{};
    std::uint16_t port = 0;
    const auto read = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    const bool portIsWhole = read.ec == std::errc() && read.ptr == digits.data() + digits.size();
    if (inet_pton(AF_INET, host.c_str(), &address) != 1 || !portIsWhole || port == 0)
        return failed();
    return endpoint{ntohl(address.s_addr), port};
}

std::string endpoint::text() const
{
    return addressText(address) + ":" + std::to_string(port);
}

std::string addressText(std::uint32_t address)
{
    const in_addr raw{htonl(address)};
    std::array<char, INET_ADDRSTRLEN> buffer{};
    inet_ntop(AF_INET, &raw, buffer.data(), buffer.size());
    return buffer.data();
}

} // namespace comfreypass::http1
