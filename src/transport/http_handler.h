#pragma once

#include "transport/http_exchange.h"

#include <memory>

namespace comfreypass::transport {

/** Receives the requests of an http_server. */
class http_handler
{
public:
    http_handler() = default;
    virtual ~http_handler() = default;
    http_handler(const http_handler &) = delete;
    http_handler &operator=(const http_handler &) = delete;

    /**
     * Called once for each request, after its last byte has arrived. The handler may respond within
     * the call or later; the connection is suspended until then. An exchange that the handler
     * releases without a response is aborted. An exception results in status 500.
     */
    virtual void onRequest(std::shared_ptr<http_exchange> exchange) = 0;
};

} // namespace comfreypass::transport
