#pragma once

#include "transport/http_call.h"
#include "transport/http_call_events.h"

#include <ace/Reactor.h>

#include <cstddef>
#include <cstdint>
#include <memory>

namespace comfreypass::transport {

/**
 * HTTP/1.1 client (libcurl) on a reactor. Only GET calls without beforeSend reuse connections: on a
 * dead reused connection libcurl would send a request again without asking. All other calls get a
 * new connection that is closed afterwards. Not thread-safe.
 */
class http_client
{
public:
    /** Identifies a call of this client; never 0 and never used again. */
    using call_handle = std::uint64_t;

    /** The reactor must outlive the client. */
    explicit http_client(ACE_Reactor &reactor);

    /** Ends all calls without further events. Not within an event. */
    ~http_client();
    http_client(const http_client &) = delete;
    http_client &operator=(const http_client &) = delete;

    /** Starts a call; all events, including those of an immediate failure, come later. */
    call_handle start(http_call call, std::shared_ptr<http_call_events> events);

    /** Goes on after onData returned false; no effect for a call that is not paused or has ended.
     */
    void resume(call_handle call);

    /**
     * Closes the call's connection; onDone with Cancelled follows from the reactor and no other
     * event. No effect for a call that has ended.
     */
    void cancel(call_handle call);

    /** Calls whose onDone has not been called. */
    std::size_t openCalls() const noexcept;

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace comfreypass::transport
