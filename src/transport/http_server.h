#pragma once

#include "core/result.h"
#include "transport/http_handler.h"
#include "transport/http_server_settings.h"

#include <ace/Reactor.h>

#include <cstddef>
#include <cstdint>
#include <memory>

namespace comfreypass::transport {

/**
 * HTTP/1.1 server (libmicrohttpd) on a reactor, without a thread of its own.
 *
 * A caller that closes its connection, or only its sending side, before the handler has finished
 * the response counts as disconnected; this is detected within 250 ms. Not thread-safe.
 */
class http_server
{
public:
    /** Reactor and handler must outlive the server. */
    http_server(ACE_Reactor &reactor, http_server_settings settings, http_handler &handler);

    /** Closes all connections; open exchanges get onClosed(false). Not from within a callback. */
    ~http_server();
    http_server(const http_server &) = delete;
    http_server &operator=(const http_server &) = delete;

    /**
     * Starts listening and returns the bound port.
     * Errors: InvalidArgument for an unusable address, key or certificate; Io if the port is in
     * use.
     */
    core::result<std::uint16_t> listen();

    /** Returns the bound port; 0 before listen. */
    std::uint16_t port() const noexcept;

    /** Stops accepting connections; existing ones are still served. */
    void stopListening();

    /** Returns the number of exchanges passed to the handler and not yet closed. */
    std::size_t openExchanges() const noexcept;

    /** Returns the number of open connections, including those without a request. */
    std::size_t openConnections() const noexcept;

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace comfreypass::transport
