#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace comfreypass::transport {

/** How a call ended. */
struct http_call_result
{
    enum class error_kind : std::uint8_t {
        None,
        /** No connection; no byte of the request was sent. */
        ConnectFailed,
        /** beforeSend returned false; no byte of the request was sent. */
        RefusedBeforeSend,
        /** The deadline passed. */
        Timeout,
        /** The connection failed, or the response is malformed. */
        Broken,
        Cancelled,
    };

    /** Status of the response; 0 if none arrived. */
    unsigned status = 0;
    error_kind error = error_kind::None;
    /** Set once beforeSend has returned true, and never reset. */
    bool requestBytesMayHaveLeft = false;
    /** The response ended at its content length or last chunk, or its status allows no body. */
    bool complete = false;
    /** Explanation for a log line; empty without an error. */
    std::string detail;
};

/** Returns the stable lower-case name of an error kind for logs and metrics. Thread-safe. */
std::string_view toString(http_call_result::error_kind kind) noexcept;

} // namespace comfreypass::transport
