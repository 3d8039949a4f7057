#pragma once

#include "transport/http_call_result.h"
#include "transport/http_headers.h"

#include <string_view>

namespace comfreypass::transport {

/** Receives the events of a call: at most one onHeaders, any number of onData, one onDone. */
class http_call_events
{
public:
    http_call_events() = default;
    virtual ~http_call_events() = default;
    http_call_events(const http_call_events &) = delete;
    http_call_events &operator=(const http_call_events &) = delete;

    /** Called when the header of the final response (not of a 1xx response) has arrived. */
    virtual void onHeaders(unsigned status, const http_headers &headers) = 0;

    /**
     * Called with a part of the decoded body, which the receiver must consume completely. Returning
     * false pauses reading; onData is not called again until http_client::resume.
     */
    virtual bool onData(std::string_view bytes) = 0;

    /** Called when the call has ended; never from within start or cancel. */
    virtual void onDone(const http_call_result &result) = 0;
};

} // namespace comfreypass::transport
