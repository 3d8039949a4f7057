#include "transport/problem.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <utility>

namespace comfreypass::transport {

std::string problem::body() const
{
    boost::json::object document;
    document["type"] = type;
    document["title"] = title;
    document["status"] = status;
    document["detail"] = detail;
    if (!reason.empty())
        document["reason"] = reason;
    if (!outcome.empty())
        document["outcome"] = outcome;
    return boost::json::serialize(document);
}

http_headers problem::headers() const
{
    http_headers fields{{"Content-Type", "application/problem+json"}};
    if (retryAfterSeconds)
        fields.add("Retry-After", std::to_string(*retryAfterSeconds));
    return fields;
}

void problem::respondTo(http_exchange &exchange, const http_headers &additional) const
{
    http_headers fields = headers();
    for (const auto &[name, value] : additional)
        fields.add(name, value);
    exchange.respond(status, std::move(fields), body());
}

} // namespace comfreypass::transport
