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

    /** The header of the final answer (not of a 1xx answer) arrived. */
    virtual void onHeaders(unsigned status, const http_headers &headers) = 0;

    /**
     * A part of the decoded body; all of it is taken. False pauses reading until
     * http_client::resume; no further onData comes before that.
     */
    virtual bool onData(std::string_view bytes) = 0;

    /** The call has ended; never called from within start or cancel. */
    virtual void onDone(const http_call_result &result) = 0;
};

} // namespace comfreypass::transport
