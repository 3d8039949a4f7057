#include "gateway/response_end.h"

#include <algorithm>
#include <array>

namespace comfreypass::gateway {

namespace {

/** No Content, Reset Content, Not Modified. */
constexpr std::array<unsigned, 3> statusesWithoutBody = {204, 205, 304};

} // namespace

bool mayHaveBody(unsigned status, std::string_view requestMethod) noexcept
{
    return requestMethod != "HEAD"
           && std::ranges::find(statusesWithoutBody, status) == statusesWithoutBody.end();
}

bool endsWithConnection(const http1::message_head &response,
                        std::string_view requestMethod) noexcept
{
    return mayHaveBody(response.status, requestMethod) && !response.contentLength
           && !response.chunked;
}

void event_end_detector::feed(std::string_view bytes) noexcept
{
    for (const char each : bytes) {
        const bool endsLine = each == '\n';
        m_atEventEnd = endsLine && m_lineIsEmpty;
        m_lineIsEmpty = endsLine || (m_lineIsEmpty && each == '\r');
    }
}

} // namespace comfreypass::gateway
