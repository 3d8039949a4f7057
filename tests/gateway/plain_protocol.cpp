#include "gateway/plain_protocol.h"

#include "http1/forwarded_headers.h"

#include <chrono>
#include <sstream>

namespace comfreypass::tests {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

gateway::request_metadata plain_protocol::readRequest(const http1::message_head &head) const
{
    gateway::request_metadata metadata;
    metadata.attemptId = head.headers.find("Id").value_or("");
    metadata.host = head.headers.find("Host").value_or("");
    metadata.key = head.headers.find("Key").value_or("");
    if (const auto wait = head.headers.find("Wait-Ms"))
        metadata.timeout = milliseconds(std::stol(std::string(*wait)));
    if (const auto tokens = head.headers.find("Prompt-Tokens"))
        metadata.promptTokens = std::stod(std::string(*tokens));
    if (const auto tokens = head.headers.find("Tokens"))
        metadata.tokens = std::stod(std::string(*tokens));
    if (const auto resume = head.headers.find("Resume"))
        metadata.resumeAfter = std::string(*resume);
    if (const auto segments = head.headers.find("Segments")) {
        std::istringstream text{std::string(*segments)};
        for (std::uint64_t key = 0; text >> key;)
            metadata.sharedSegments.push_back(key);
    }
    return metadata;
}

gateway::response_metadata plain_protocol::readResponse(const http1::message_head &head) const
{
    gateway::response_metadata metadata;
    metadata.attemptId = head.headers.find("Id").value_or("");
    metadata.isSigned = head.headers.find("Signed").has_value();
    metadata.misdirected = head.status == 421;
    metadata.notRun = metadata.misdirected || head.headers.find("Not-Run").has_value();
    if (const auto pause = head.headers.find("Pause-Ms"); pause && *pause != "invalid")
        metadata.pauseFor = milliseconds(std::stol(std::string(*pause)));
    else
        metadata.hasInvalidPause = pause.has_value();
    metadata.isLeaving = head.headers.find("Leaving").has_value();
    metadata.readsAsNotRun = head.status == 408 || head.status == 429 || head.status == 503;
    metadata.isEventStream = head.headers.find("Content-Type").value_or("") == "text/event-stream";
    metadata.keepAliveSeconds = 10;
    return metadata;
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
