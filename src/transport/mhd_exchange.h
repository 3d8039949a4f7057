#pragma once

#include "transport/http_exchange.h"

#include <microhttpd.h>
#include <sys/types.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace comfreypass::transport {

/**
 * An exchange on a libmicrohttpd connection. The connection is suspended while there is nothing to
 * send; libmicrohttpd allows this only from within its own callbacks. Not thread-safe.
 */
class mhd_exchange final : public http_exchange
{
public:
    /**
     * `maxBufferedBytes` is the number of buffered bytes at which `write` returns false.
     * `onResumed` is called when libmicrohttpd has to run for a resumed connection.
     */
    mhd_exchange(MHD_Connection *connection, std::size_t maxBufferedBytes,
                 std::function<void()> onResumed);

    const http_request &request() const noexcept override { return m_request; }
    void respond(unsigned status, http_headers headers, std::string body) override;
    void beginStream(unsigned status, http_headers headers) override;
    bool write(std::string_view bytes) override;
    void finish() override;
    void abort() override;
    bool closed() const noexcept override { return m_connection == nullptr; }
    void setEvents(std::function<void()> onWritable, std::function<void(bool)> onClosed) override;

    /** Returns the request for the server to fill while reading it. */
    http_request &mutableRequest() noexcept { return m_request; }

    /**
     * Called by the access handler once the request is complete: queues the response if it has been
     * started, otherwise suspends the connection. MHD_NO closes the connection.
     */
    MHD_Result advance();

    /** Called by the server when the request has ended; calls onClosed. */
    void onConnectionClosed(bool complete);

    /** Called by the server when the caller has disconnected. */
    void onCallerDisconnected();

    /** Called when the handler has released the exchange; aborts an unfinished response. */
    void onHandlerReleased();

    /** Returns the state of the response, for the log. */
    std::string_view stateText() const noexcept;

    /** Returns the descriptor to poll for a disconnect; -1 once finished, aborted or closed. */
    int watchedDescriptor() const noexcept;

private:
    enum class response_state : std::uint8_t {
        Pending,
        Complete,
        Streaming,
    };

    static ssize_t readStream(void *self, std::uint64_t position, char *target,
                              std::size_t capacity) noexcept;
    ssize_t readBytes(char *target, std::size_t capacity);
    MHD_Result queueResponse();
    void suspend();
    void resume();

    MHD_Connection *m_connection;
    int m_descriptor = -1;
    std::size_t m_maxBufferedBytes;
    std::function<void()> m_onResumed;
    http_request m_request;
    response_state m_state = response_state::Pending;
    unsigned m_status = 0;
    http_headers m_headers;
    /** The whole body, or the streamed bytes, of which those before m_bodyStart are consumed. */
    std::string m_body;
    std::size_t m_bodyStart = 0;
    bool m_finished = false;
    bool m_aborted = false;
    bool m_callerDisconnected = false;
    bool m_suspended = false;
    bool m_writerPaused = false;
    bool m_sentCompletely = false;
    std::function<void()> m_onWritable;
    std::function<void(bool)> m_onClosed;
};

} // namespace comfreypass::transport
