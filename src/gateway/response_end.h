#pragma once

#include "http1/message_head.h"

#include <string_view>

namespace comfreypass::gateway {

/** Returns false if the response ends with its header, whatever its fields say. Thread-safe. */
bool mayHaveBody(unsigned status, std::string_view requestMethod) noexcept;

/**
 * Returns whether the response has neither a length nor chunks, so that only an orderly end of its
 * connection completes it. Thread-safe.
 */
bool endsWithConnection(const http1::message_head &response,
                        std::string_view requestMethod) noexcept;

/**
 * Detects whether a stream of server-sent events stops inside an event, for a body that is not
 * split into events. Lines end with LF or CR LF. Not thread-safe.
 */
class event_end_detector
{
public:
    /** Reads the next bytes of the stream. */
    void feed(std::string_view bytes) noexcept;

    /** Returns true after the blank line that ends an event, and before the first byte. */
    bool atEventEnd() const noexcept { return m_atEventEnd; }

private:
    bool m_lineIsEmpty = true;
    bool m_atEventEnd = true;
};

} // namespace comfreypass::gateway
