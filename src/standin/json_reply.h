#pragma once

#include "transport/http_exchange.h"

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

#include <cstdint>
#include <string_view>

namespace comfreypass::standin {

/** Answers with a JSON document. */
void respondJson(transport::http_exchange &exchange, unsigned status,
                 const boost::json::value &document);

/** Answers with an error in the usual shape {"error":{"message":...}}. */
void respondError(transport::http_exchange &exchange, unsigned status, std::string_view message);

/** The body of a request as a JSON object; an empty one if it is none. */
boost::json::object bodyObject(const transport::http_exchange &exchange);

/** A query argument as a number; `fallback` if it is missing or none. */
std::uint64_t numberArgument(const transport::http_exchange &exchange, std::string_view name,
                             std::uint64_t fallback);

} // namespace comfreypass::standin
