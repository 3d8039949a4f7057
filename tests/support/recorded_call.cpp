#include "support/recorded_call.h"

namespace comfreypass::tests {

void recorded_call::onHeaders(unsigned /*status*/, const transport::http_headers &headers)
{
    m_headers = headers;
}

bool recorded_call::onData(std::string_view bytes)
{
    m_body += bytes;
    if (onBytes)
        onBytes();
    return keepReading;
}

void recorded_call::onDone(const transport::http_call_result &result)
{
    m_result = result;
    ++m_doneCount;
}

} // namespace comfreypass::tests
