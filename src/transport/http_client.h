#pragma once

#include "transport/http_call.h"
#include "transport/http_call_events.h"

#include <ace/Reactor.h>

#include <cstddef>
#include <cstdint>
#include <memory>

namespace comfreypass::transport {

/**
 * HTTP/1.1 client (libcurl) on a reactor. Only GET calls without beforeSend reuse connections:
 * libcurl resends a request on its own if a reused connection turns out to be closed. All other
 * calls use a new connection that is closed afterwards. Not thread-safe.
 */
class http_client
{
public:
    /** Identifies a call of this client; never 0 and never reused. */
    using call_handle = std::uint64_t;

    /** The reactor must outlive the client. */
    explicit http_client(ACE_Reactor &reactor);

    /** Ends all calls without further events. Must not be called from within an event. */
    ~http_client();
    http_client(const http_client &) = delete;
    http_client &operator=(const http_client &) = delete;

    /** Starts a call. Delivers no event before it returns, not even for an immediate failure. */
    call_handle start(http_call call, std::shared_ptr<http_call_events> events);

    /** Resumes a call paused by onData. No effect if the call is not paused or has ended. */
    void resume(call_handle call);

    /**
     * Cancels a call and closes its connection. The reactor then calls onDone with Cancelled and
     * delivers no other event. No effect if the call has ended.
     */
    void cancel(call_handle call);

    /** Returns the number of calls whose onDone has not been called. */
    std::size_t openCalls() const noexcept;

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace comfreypass::transport
