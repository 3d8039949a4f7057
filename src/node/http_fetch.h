#pragma once

#include "core/result.h"
#include "transport/http_call_events.h"
#include "transport/http_headers.h"

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace comfreypass::node {

/** Collects a complete response of limited size, as from the platform or an engine's load page. */
class http_fetch : public transport::http_call_events
{
public:
    struct response
    {
        unsigned status = 0;
        transport::http_headers headers;
        std::string body;
    };

    using done_function = std::function<void(const core::result<response> &)>;

    /** `done` is called once, with an error if the body exceeds `maxBytes`. */
    http_fetch(std::size_t maxBytes, done_function done);

    void onHeaders(unsigned status, const transport::http_headers &headers) override;
    bool onData(std::string_view bytes) override;
    void onDone(const transport::http_call_result &result) override;

private:
    std::size_t m_maxBytes;
    done_function m_done;
    response m_response;
    bool m_tooLarge = false;
};

} // namespace comfreypass::node
