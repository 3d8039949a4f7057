#pragma once

#include "transport/http_headers.h"
#include "transport/http_request.h"

#include <functional>
#include <string>
#include <string_view>

namespace comfreypass::transport {

/**
 * One request of a caller and the answer to it. Either `respond`, or `beginStream`, `write` and
 * `finish`; further calls after that, and all calls after the connection is closed, have no effect.
 * Not thread-safe; used on the reactor's thread.
 */
class http_exchange
{
public:
    http_exchange() = default;
    virtual ~http_exchange() = default;
    http_exchange(const http_exchange &) = delete;
    http_exchange &operator=(const http_exchange &) = delete;

    /** The request; valid as long as this object. */
    virtual const http_request &request() const noexcept = 0;

    /** Answers with a body of known size. */
    virtual void respond(unsigned status, http_headers headers, std::string body) = 0;

    /** Starts an answer of unknown size (chunked). */
    virtual void beginStream(unsigned status, http_headers headers) = 0;

    /**
     * Appends to the stream; all bytes are taken. False if the bytes not yet taken over by the
     * connection have reached the server's bound: write no more until onWritable.
     */
    virtual bool write(std::string_view bytes) = 0;

    /** Ends the stream properly once all written bytes are sent. */
    virtual void finish() = 0;

    /**
     * Closes the connection after the bytes written so far; the caller sees an incomplete answer
     * (no chunked terminator), or none if the answer was not begun.
     */
    virtual void abort() = 0;

    /** True once the connection is closed or the answer is fully sent. */
    virtual bool closed() const noexcept = 0;

    /**
     * Sets the event functions; both may be empty.
     * onWritable: the buffer has room again after `write` returned false.
     * onClosed: called exactly once; true if the whole answer was handed to the network, false if
     * the caller disconnected first or the answer was aborted. If the exchange is closed already,
     * it is called from within setEvents.
     * The server drops both functions after onClosed, so they may own the exchange.
     */
    virtual void setEvents(std::function<void()> onWritable, std::function<void(bool)> onClosed)
        = 0;
};

} // namespace comfreypass::transport
