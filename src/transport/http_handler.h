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
     * Called once for each request, after its last byte arrived. The answer may be given within the
     * call or later. The connection waits as long as the exchange is unanswered; an exchange that
     * the handler drops without an answer is aborted. An exception is answered with 500.
     */
    virtual void onRequest(std::shared_ptr<http_exchange> exchange) = 0;
};

} // namespace comfreypass::transport
