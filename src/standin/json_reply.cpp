#include "standin/json_reply.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <charconv>
#include <system_error>

namespace comfreypass::standin {

void respondJson(transport::http_exchange &exchange, unsigned status,
                 const boost::json::value &document)
{
    exchange.respond(status, {{"Content-Type", "application/json"}},
                     boost::json::serialize(document));
}

void respondError(transport::http_exchange &exchange, unsigned status, std::string_view message)
{
    respondJson(exchange, status, {{"error", {{"message", message}}}});
}

boost::json::object bodyObject(const transport::http_exchange &exchange)
{
    boost::json::error_code error;
    boost::json::value document = boost::json::parse(exchange.request().body, error);
    if (error || !document.is_object())
        return {};
    return document.get_object();
}

std::uint64_t numberArgument(const transport::http_exchange &exchange, std::string_view name,
                             std::uint64_t fallback)
{
    const auto &arguments = exchange.request().arguments;
    const auto found = arguments.find(name);
    if (found == arguments.end())
        return fallback;
    const std::string &text = found->second;
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    return error == std::errc() && end == text.data() + text.size() ? value : fallback;
}

} // namespace comfreypass::standin
