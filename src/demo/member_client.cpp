#include "demo/member_client.h"

#include "node/http_fetch.h"
#include "standin/response_text.h"
#include "transport/clock.h"
#include "transport/http_call_events.h"
#include "transport/sse_parser.h"

#include <boost/json.hpp>

#include <algorithm>
#include <exception>
#include <utility>

namespace comfreypass::demo {

namespace {

namespace json = boost::json;

constexpr unsigned statusOk = 200;
constexpr unsigned firstErrorStatus = 400;
constexpr std::size_t maxAddressResponseBytes = 65'536;
constexpr std::size_t maxResponseBytes = 16'777'216;
constexpr core::duration addressRequestInterval = std::chrono::milliseconds(200);
/** Time after the deadline at which a member cancels; the node should have responded by then. */
constexpr core::duration responseGracePeriod = std::chrono::seconds(2);

std::string stringMember(const json::value &document, std::string_view key)
{
    const json::object *object = document.if_object();
    const json::value *value
        = object ? object->if_contains(json::string_view(key.data(), key.size())) : nullptr;
    return value && value->is_string() ? std::string(value->get_string()) : std::string();
}

json::value parse(std::string_view text)
{
    json::error_code code;
    json::value document = json::parse(json::string_view(text.data(), text.size()), code);
    return code ? json::value() : document;
}

std::string contentOf(const json::value &document, std::string_view messageKey)
{
    try {
        const json::value &choice = document.as_object().at("choices").as_array().at(0);
        const json::object &message
            = choice.as_object()
                  .at(json::string_view(messageKey.data(), messageKey.size()))
                  .as_object();
        const json::value *content = message.if_contains("content");
        return content && content->is_string() ? std::string(content->get_string()) : std::string();
    } catch (const std::exception &) {
        return {};
    }
}

} // namespace

/** Sends a request to one address after the other until one responds. */
class member_client::attempt : public transport::http_call_events,
                               public std::enable_shared_from_this<attempt>
{
public:
    attempt(member_client &owner, member_request request, std::string key,
            std::vector<std::string> addresses, std::string witnesses)
        : m_owner(owner), m_addresses(std::move(addresses)), m_witnesses(std::move(witnesses)),
          m_startedAt(transport::monotonicNow()),
          m_events(transport::sse_parser::defaultEventBytes, [this](std::string_view data) {
              m_streamed += contentOf(parse(data), "delta");
              m_lastEvent = data;
          })
    {
        m_response.request = std::move(request);
        m_response.key = std::move(key);
    }

    void start()
    {
        const member_request &request = m_response.request;
        const core::duration remaining = m_startedAt + request.deadline - transport::monotonicNow();
        if (m_index >= m_addresses.size() || remaining <= core::duration::zero()) {
            m_owner.finish(m_response);
            return;
        }
        const auto remainingMs
            = std::chrono::duration_cast<std::chrono::milliseconds>(remaining).count();
        transport::http_call call;
        call.method = request.method;
        call.url = "http://" + m_addresses[m_index] + request.path;
        call.headers = {{"Authorization", "Bearer demo-" + request.team},
                        {"Comfreypass-Tier", std::to_string(request.tier)},
                        {"Comfreypass-Deadline-Ms", std::to_string(remainingMs)},
                        {"Comfreypass-Member", "member-1"},
                        {"Comfreypass-Witnesses", m_witnesses},
                        {"Idempotency-Key", m_response.key}};
        if (m_index > 0)
            call.headers.add("Comfreypass-Repeat", "true");
        if (!request.body.empty())
            call.headers.add("Content-Type", "application/json");
        call.body = request.body;
        call.deadline = m_startedAt + request.deadline + responseGracePeriod;
        call.maxBodyBytes = maxResponseBytes;
        m_owner.m_client.start(std::move(call), shared_from_this());
    }

    void onHeaders(unsigned status, const transport::http_headers &) override { m_status = status; }

    bool onData(std::string_view bytes) override
    {
        if (m_response.firstToken == core::duration::zero())
            m_response.firstToken = transport::monotonicNow() - m_startedAt;
        if (m_response.request.stream && m_status == statusOk)
            m_events.feed(bytes);
        else
            m_body += bytes;
        return true;
    }

    void onDone(const transport::http_call_result &result) override
    {
        m_response.total = transport::monotonicNow() - m_startedAt;
        if (m_status == 0) {
            // No response: retries at the next address with the same key.
            ++m_response.brokenConnections;
            ++m_index;
            start();
            return;
        }
        if (m_status >= firstErrorStatus)
            readRefusal();
        else
            readResponse(result.complete);
        m_owner.finish(m_response);
    }

private:
    // A node ends a stream that it cannot complete with an event that has the reason.
    void readBrokenStream()
    {
        m_response.reason = stringMember(parse(m_lastEvent), "reason");
        if (m_response.reason.empty())
            ++m_response.brokenConnections;
    }

    void readRefusal()
    {
        const json::value problem = parse(m_body);
        m_response.reason = stringMember(problem, "reason");
        m_response.result = stringMember(problem, "outcome") == "not_run"
                                ? member_response::outcome::NotRun
                                : member_response::outcome::Unknown;
    }

    void readResponse(bool complete)
    {
        const member_request &request = m_response.request;
        if (!complete || (request.stream && !m_events.done())) {
            readBrokenStream();
            return;
        }
        m_response.result = member_response::outcome::Completed;
        m_response.inTime = m_response.total <= request.deadline;
        if (request.prompt.empty()) {
            m_response.isCorrect = true;
            return;
        }
        const std::string text = request.stream ? m_streamed : contentOf(parse(m_body), "message");
        m_response.isCorrect
            = text == standin::responseText(request.prompt, request.responseTokens);
    }

    member_client &m_owner;
    std::vector<std::string> m_addresses;
    std::string m_witnesses;
    core::time_point m_startedAt;
    transport::sse_parser m_events;
    member_response m_response;
    std::size_t m_index = 0;
    unsigned m_status = 0;
    std::string m_body;
    std::string m_streamed;
    std::string m_lastEvent;
};

member_client::member_client(transport::http_client &client, std::vector<std::string> bootstrap,
                             response_function onResponse)
    : m_client(client), m_bootstrap(std::move(bootstrap)), m_onResponse(std::move(onResponse))
{ }

member_client::~member_client() = default;

void member_client::send(member_request request)
{
    ++m_sent;
    ++m_openRequests;
    // Requests are distributed over the addresses; the fallback follows the order of the list.
    std::vector<std::string> addresses = m_addresses;
    if (!addresses.empty())
        std::rotate(addresses.begin(),
                    addresses.begin() + static_cast<std::ptrdiff_t>(m_sent % addresses.size()),
                    addresses.end());
    std::make_shared<attempt>(*this, std::move(request), "demo-" + std::to_string(m_sent),
                              std::move(addresses), m_witnesses)
        ->start();
}

void member_client::tick(core::time_point now)
{
    if (now >= m_addressesValidUntil && now >= m_nextAddressRequest)
        requestAddresses(now);
}

void member_client::requestAddresses(core::time_point now)
{
    m_nextAddressRequest = now + addressRequestInterval;
    const std::string &address = m_bootstrap[m_bootstrapIndex++ % m_bootstrap.size()];
    transport::http_call call;
    call.url = "http://" + address + "/v1/addresses";
    call.deadline = now + std::chrono::seconds(1);
    auto done = [this, now](const core::result<node::http_fetch::response> &response) {
        if (response && response.value().status == statusOk)
            updateAddresses(response.value().body, now);
    };
    m_client.start(std::move(call),
                   std::make_shared<node::http_fetch>(maxAddressResponseBytes, done));
}

void member_client::updateAddresses(const std::string &body, core::time_point requestedAt)
{
    const json::value document = parse(body);
    const json::object *object = document.if_object();
    const json::value *addresses = object ? object->if_contains("addresses") : nullptr;
    const json::value *keep = object ? object->if_contains("keep_ms") : nullptr;
    if (!addresses || !addresses->is_array() || addresses->get_array().empty() || !keep
        || !keep->is_int64())
        return;
    m_addresses.clear();
    for (const json::value &entry : addresses->get_array())
        m_addresses.push_back(stringMember(entry, "address"));
    m_witnesses = stringMember(document, "witnesses");
    m_addressesValidUntil = requestedAt + std::chrono::milliseconds(keep->get_int64());
}

void member_client::finish(const member_response &response)
{
    --m_openRequests;
    m_onResponse(response);
}

} // namespace comfreypass::demo
