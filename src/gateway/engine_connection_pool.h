#pragma once

#include "core/time_point.h"
#include "http1/client_connection.h"
#include "http1/deferred_deleter.h"
#include "http1/endpoint.h"

#include <ace/Reactor.h>

#include <cstddef>
#include <map>
#include <memory>
#include <vector>

namespace comfreypass::gateway {

/** A connection to an engine for one request. */
struct engine_connection
{
    std::shared_ptr<http1::client_connection> connection;
    /** True if it served a request before, whose late response may still arrive. */
    bool isReused = false;
};

/** Pool of persistent connections to engines. Not thread-safe. */
class engine_connection_pool
{
public:
    /** Reactor and deleter must outlive the pool. */
    engine_connection_pool(ACE_Reactor &reactor, http1::deferred_deleter &deleter);
    ~engine_connection_pool();
    engine_connection_pool(const engine_connection_pool &) = delete;
    engine_connection_pool &operator=(const engine_connection_pool &) = delete;

    /** Returns a pooled connection that was idle for less than `maxIdle`, or a new one. */
    engine_connection acquire(const http1::endpoint &address, core::duration maxIdle,
                              core::time_point now);

    /** Returns a new connection. */
    engine_connection connect(const http1::endpoint &address);

    /** Returns a connection to the pool; `lifetime` is the engine's idle timeout, 0 if unknown. */
    void release(const http1::endpoint &address,
                 std::shared_ptr<http1::client_connection> connection, core::duration lifetime,
                 core::time_point now);

    /** Adds an established connection that has served no request. */
    void addUnused(const http1::endpoint &address,
                   std::shared_ptr<http1::client_connection> connection, core::time_point now);

    /**
     * Closes a connection, with a reset if its request is unanswered; may be called within one of
     * its events.
     */
    void discard(std::shared_ptr<http1::client_connection> connection);

    /** Closes a connection, but lets a request that was sent whole reach its engine. */
    void closeAfterRequest(std::shared_ptr<http1::client_connection> connection);

    /** Closes the idle connections to an address. */
    void closeIdle(const http1::endpoint &address);

    /** Closes the connections that are near their idle timeout or were closed by the engine. */
    void closeExpired(core::time_point now);

private:
    struct idle_connection
    {
        std::shared_ptr<http1::client_connection> connection;
        core::time_point idleSince;
        core::time_point expiresAt;
        bool hasServed = true;
    };

    ACE_Reactor &m_reactor;
    http1::deferred_deleter &m_deleter;
    std::map<http1::endpoint, std::vector<idle_connection>> m_idle;
};

} // namespace comfreypass::gateway
