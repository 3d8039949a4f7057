#include "http1/forwarded_headers.h"

#include "transport/field_name.h"

#include <array>

namespace comfreypass::http1 {

namespace {

constexpr std::string_view connectionField = "Connection";

constexpr std::array<std::string_view, 10> hopByHopFields = {
    connectionField,
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

std::string_view trim(std::string_view text)
{
    constexpr std::string_view whitespace = " \t\r\n\v\f";
    const std::size_t first = text.find_first_not_of(whitespace);
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(whitespace) - first + 1);
}

/** Adds the names that a value of Connection lists. */
void addListedNames(std::string_view list, transport::field_name_set &names)
{
    while (!list.empty()) {
        const std::size_t comma = list.find(',');
        const std::string_view item = trim(list.substr(0, comma));
        if (!item.empty())
            names.insert(item);
        list = comma == std::string_view::npos ? std::string_view() : list.substr(comma + 1);
    }
}

} // namespace

transport::http_headers forwardedHeaders(const transport::http_headers &headers)
{
    // A set, since one header can hold thousands of fields and of names in Connection.
    transport::field_name_set omitted(hopByHopFields.begin(), hopByHopFields.end());
    for (const auto &[name, value] : headers) {
        if (transport::equalIgnoringCase(name, connectionField))
            addListedNames(value, omitted);
    }
    transport::http_headers forwarded;
    for (const auto &[name, value] : headers) {
        if (!omitted.contains(name))
            forwarded.add(name, value);
    }
    return forwarded;
}

void appendField(std::string &text, std::string_view name, std::string_view value)
{
    text.append(name).append(": ").append(value).append("\r\n");
}

} // namespace comfreypass::http1
