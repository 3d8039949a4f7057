#pragma once

#include "transport/http_call_events.h"

#include <functional>
#include <optional>
#include <string>

namespace comfreypass::tests {

/** Records the events of a call for later assertions. */
class recorded_call : public transport::http_call_events
{
public:
    void onHeaders(unsigned status, const transport::http_headers &headers) override;
    bool onData(std::string_view bytes) override;
    void onDone(const transport::http_call_result &result) override;

    bool done() const { return m_result.has_value(); }
    const transport::http_call_result &result() const { return m_result.value(); }
    const transport::http_headers &headers() const { return m_headers; }
    const std::string &body() const { return m_body; }
    int doneCount() const { return m_doneCount; }

    /** Return value of onData; true continues reading. */
    bool keepReading = true;

    /** Called by onData after it has recorded the bytes; may be empty. */
    std::function<void()> onBytes;

private:
    transport::http_headers m_headers;
    std::string m_body;
    std::optional<transport::http_call_result> m_result;
    int m_doneCount = 0;
};

} // namespace comfreypass::tests
