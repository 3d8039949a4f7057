#pragma once

#include "gateway/protocol.h"
#include "gateway/record_decoder.h"
#include "gateway/record_source.h"

#include <map>
#include <span>
#include <string>

namespace comfreypass::tests {

/** Test protocol with the header names Id, Key, Wait-Ms, Tokens, Resume, Engine, Team, Signed and
 * Not-Run, and Segments for the keys of shared segments. */
class plain_protocol final : public gateway::protocol
{
public:
    gateway::request_metadata readRequest(const http1::message_head &head) const override;
    gateway::response_metadata readResponse(const http1::message_head &head) const override;
    transport::http_headers engineHeaders(const http1::message_head &head,
                                          const gateway::attempt_metadata &attempt) const override;
    transport::http_headers
    localResponseHeaders(const gateway::request_metadata &request) const override;
};

/** Decodes a record by looking up its value in a map that the test fills. */
class plain_records final : public gateway::record_decoder
{
public:
    core::result<gateway::record_content>
    decode(const dispatch::published_record &record) const override;
    std::string_view engineOfKey(std::string_view key) const override;
    std::string_view evacuatedDomainOfKey(std::string_view key) const override;

    std::map<std::string, gateway::record_content> contents;
};

/** A source without records that counts calls; the test sends the events. */
class scripted_source final : public gateway::record_source
{
public:
    void start(gateway::record_source_events &, std::span<const dispatch::record_revision>) override
    {
        ++starts;
    }
    void stop() override { }
    void restart(gateway::collection_id) override { ++restarts; }
    void setReaderRank(std::size_t, std::size_t) override { }
    std::uint64_t calls() const noexcept override { return 0; }

    int starts = 0;
    int restarts = 0;
};

} // namespace comfreypass::tests
