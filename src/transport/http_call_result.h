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
        /** The connection broke, or the answer is malformed. */
        Broken,
        Cancelled,
    };

    /** Status of the answer; 0 if none arrived. */
    unsigned status = 0;
    error_kind error = error_kind::None;
    /** True as soon as beforeSend returned true; never goes back. */
    bool requestBytesMayHaveLeft = false;
    /** The answer ended by its content length, by the last chunk, or has no body by its status. */
    bool complete = false;
    /** Explanation for a log line; empty without an error. */
    std::string detail;
};

/** Stable lower-case word for an error kind, for logs and metrics. Thread-safe. */
std::string_view toString(http_call_result::error_kind kind) noexcept;

} // namespace comfreypass::transport
