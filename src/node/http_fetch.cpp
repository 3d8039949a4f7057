#include "node/http_fetch.h"

#include <utility>

namespace comfreypass::node {

http_fetch::http_fetch(std::size_t maxBytes, done_function done)
    : m_maxBytes(maxBytes), m_done(std::move(done))
{ }

void http_fetch::onHeaders(unsigned status, const transport::http_headers &headers)
{
    m_response.status = status;
    m_response.headers = headers;
}

bool http_fetch::onData(std::string_view bytes)
{
    if (m_response.body.size() + bytes.size() > m_maxBytes) {
        m_tooLarge = true;
        return true;
    }
    m_response.body += bytes;
    return true;
}

void http_fetch::onDone(const transport::http_call_result &result)
{
    if (m_tooLarge) {
        m_done(core::error{core::errc::TooLarge, "", "response body exceeds the size limit", ""});
        return;
    }
    if (!result.complete) {
        m_done(core::error{core::errc::Unavailable, "", result.detail, ""});
        return;
    }
    m_done(std::move(m_response));
}

} // namespace comfreypass::node
