#pragma once

#include "transport/http_exchange.h"

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

#include <cstdint>
#include <string_view>

namespace comfreypass::standin {

/** Sends a JSON response. */
void respondJson(transport::http_exchange &exchange, unsigned status,
                 const boost::json::value &document);

/** Sends an error response of the form {"error":{"message":...}}. */
void respondError(transport::http_exchange &exchange, unsigned status, std::string_view message);

/** Returns the body of a request as a JSON object, or an empty object if it is not one. */
boost::json::object bodyObject(const transport::http_exchange &exchange);

/** Returns a numeric query argument, or `fallback` if it is missing or not a number. */
std::uint64_t numberArgument(const transport::http_exchange &exchange, std::string_view name,
                             std::uint64_t fallback);

} // namespace comfreypass::standin
