#pragma once

#include "transport/http_headers.h"
#include "transport/http_request.h"

#include <functional>
#include <string>
#include <string_view>

namespace comfreypass::transport {

/**
 * One request of a caller and its response. The response is sent either by `respond`, or by
 * `beginStream`, `write` and `finish`; calls after that, and all calls after the connection is
 * closed, have no effect. Not thread-safe; used on the reactor's thread.
 */
class http_exchange
{
public:
    http_exchange() = default;
    virtual ~http_exchange() = default;
    http_exchange(const http_exchange &) = delete;
    http_exchange &operator=(const http_exchange &) = delete;

    /** Returns the request; valid as long as this object. */
    virtual const http_request &request() const noexcept = 0;

    /** Sends a response with a body of known size. */
    virtual void respond(unsigned status, http_headers headers, std::string body) = 0;

    /** Starts a response of unknown size (chunked). */
    virtual void beginStream(unsigned status, http_headers headers) = 0;

    /**
     * Appends all bytes to the stream. Returns false if the buffered bytes have reached the
     * server's limit; the caller should then not write until onWritable.
     */
    virtual bool write(std::string_view bytes) = 0;

    /** Ends the stream once all written bytes are sent. */
    virtual void finish() = 0;

    /**
     * Closes the connection after the bytes written so far. The caller receives an incomplete
     * response (no chunked terminator), or none if the response was not started.
     */
    virtual void abort() = 0;

    /** Returns true once the connection is closed or the response is fully sent. */
    virtual bool closed() const noexcept = 0;

    /**
     * Sets the event functions; both may be empty.
     * onWritable: called when the buffer has free capacity again after `write` returned false.
     * onClosed: called exactly once, with true if the whole response was passed to the network and
     * false if the caller disconnected first or the response was aborted. If the exchange is
     * already closed, it is called from within setEvents.
     * The server releases both functions after onClosed, so they may own the exchange.
     */
    virtual void setEvents(std::function<void()> onWritable, std::function<void(bool)> onClosed)
        = 0;
};

} // namespace comfreypass::transport
