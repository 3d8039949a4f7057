#pragma once

#include "transport/http_headers.h"

#include <map>
#include <string>

namespace comfreypass::transport {

/** A complete request of a caller. */
struct http_request
{
    /** In upper case, as sent. */
    std::string method;
    /** Decoded path without the query. */
    std::string path;
    /** Decoded query arguments; only the first of several with the same name is kept. */
    std::map<std::string, std::string, std::less<>> arguments;
    http_headers headers;
    std::string body;
    /** IP address and port of the caller, such as "127.0.0.1:40312". */
    std::string remoteAddress;
};

} // namespace comfreypass::transport
