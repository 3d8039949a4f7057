#include "gateway/plain_spelling.h"

#include "http1/forwarded_headers.h"

#include <chrono>

namespace comfreypass::tests {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

gateway::request_metadata plain_protocol::readRequest(const http1::message_head &head) const
{
    gateway::request_metadata facts;
    facts.attemptId = head.headers.find("Id").value_or("");
    facts.host = head.headers.find("Host").value_or("");
    facts.key = head.headers.find("Key").value_or("");
    if (const auto wait = head.headers.find("Wait-Ms"))
        facts.timeout = milliseconds(std::stol(std::string(*wait)));
    if (const auto tokens = head.headers.find("Tokens"))
        facts.tokens = std::stod(std::string(*tokens));
    if (const auto resume = head.headers.find("Resume"))
        facts.resumeAfter = std::string(*resume);
    return facts;
}

gateway::response_metadata plain_protocol::readResponse(const http1::message_head &head) const
{
    gateway::response_metadata facts;
    facts.attemptId = head.headers.find("Id").value_or("");
    facts.isSigned = head.headers.find("Signed").has_value();
    facts.misdirected = head.status == 421;
    facts.notRun = facts.misdirected || head.headers.find("Not-Run").has_value();
    facts.isEventStream = head.headers.find("Content-Type").value_or("") == "text/event-stream";
    facts.keepAliveSeconds = 10;
    return facts;
}

transport::http_headers
plain_protocol::engineHeaders(const http1::message_head &head,
                              const gateway::attempt_metadata &attempt) const
{
    transport::http_headers headers;
    for (const auto &[name, value] : http1::forwardedHeaders(head.headers)) {
        if (name != "Key" && name != "Wait-Ms" && name != "Resume")
            headers.add(name, value);
    }
    headers.add("Wait-Ms", std::to_string(duration_cast<milliseconds>(attempt.timeLeft).count()));
    headers.add("Engine", std::string(attempt.engineId));
    if (!attempt.team.empty())
        headers.add("Team", std::string(attempt.team));
    if (attempt.resumeAfter)
        headers.add("Resume", *attempt.resumeAfter);
    return headers;
}

transport::http_headers
plain_protocol::localResponseHeaders(const gateway::request_metadata &request) const
{
    return {{"Id", request.attemptId}};
}

core::result<gateway::record_content>
plain_records::decode(const dispatch::published_record &record) const
{
    const auto found = contents.find(record.value);
    if (found == contents.end())
        return core::error{core::errc::ParseFailed, record.key, "unknown value", ""};
    return found->second;
}

std::string_view plain_records::engineOfKey(std::string_view key) const
{
    return key.starts_with("engine/") ? key.substr(7) : std::string_view();
}

std::string_view plain_records::evacuatedDomainOfKey(std::string_view key) const
{
    return key.starts_with("out/") ? key.substr(4) : std::string_view();
}

} // namespace comfreypass::tests
