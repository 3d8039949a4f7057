#include "http1/forwarded_headers.h"

#include <boost/algorithm/string/predicate.hpp>
#include <boost/algorithm/string/trim.hpp>

#include <algorithm>
#include <array>
#include <locale>
#include <vector>

namespace comfreypass::http1 {

namespace {

constexpr std::array<std::string_view, 10> hopByHopFields = {
    "Connection",
    "Keep-Alive",
    "Proxy-Connection",
    "Proxy-Authenticate",
    "Proxy-Authorization",
    "TE",
    "Trailer",
    "Transfer-Encoding",
    "Upgrade",
    "Content-Length",
};

bool equalFieldNames(std::string_view left, std::string_view right)
{
    return left.size() == right.size()
           && boost::algorithm::iequals(left, right, std::locale::classic());
}

std::vector<std::string> fieldsListedInConnection(const transport::http_headers &headers)
{
    std::vector<std::string> names;
    for (const auto &[name, value] : headers) {
        if (!equalFieldNames(name, "Connection"))
            continue;
        std::string_view rest = value;
        while (!rest.empty()) {
            const std::size_t comma = rest.find(',');
            std::string item(rest.substr(0, comma));
            boost::algorithm::trim(item, std::locale::classic());
            if (!item.empty())
                names.push_back(std::move(item));
            rest = comma == std::string_view::npos ? std::string_view() : rest.substr(comma + 1);
        }
    }
    return names;
}

} // namespace

transport::http_headers forwardedHeaders(const transport::http_headers &headers)
{
    const std::vector<std::string> named = fieldsListedInConnection(headers);
    transport::http_headers forwarded;
    for (const auto &[name, value] : headers) {
        const auto isName = [&name = name](std::string_view other) {
            return equalFieldNames(name, other);
        };
        if (std::ranges::none_of(hopByHopFields, isName) && std::ranges::none_of(named, isName))
            forwarded.add(name, value);
    }
    return forwarded;
}

void appendField(std::string &text, std::string_view name, std::string_view value)
{
    text.append(name).append(": ").append(value).append("\r\n");
}

} // namespace comfreypass::http1
