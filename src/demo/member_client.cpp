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
constexpr std::size_t maxAddressAnswer = 65'536;
constexpr core::duration askInterval = std::chrono::milliseconds(200);
/** A member gives up this long after its deadline; the node should have answered by then. */
constexpr core::duration patience = std::chrono::seconds(2);

std::string memberOf(const json::value &document, std::string_view key)
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

std::string contentOf(const json::value &document, std::string_view part)
{
    try {
        const json::value &choice = document.as_object().at("choices").as_array().at(0);
        const json::object &message
            = choice.as_object().at(json::string_view(part.data(), part.size())).as_object();
        const json::value *content = message.if_contains("content");
        return content && content->is_string() ? std::string(content->get_string()) : std::string();
    } catch (const std::exception &) {
        return {};
    }
}

} // namespace

/** One request on its way, over one or more addresses. */
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
        m_answer.request = std::move(request);
        m_answer.key = std::move(key);
    }

    void start()
    {
        const member_request &request = m_answer.request;
        const core::duration left = m_startedAt + request.deadline - transport::monotonicNow();
        if (m_index >= m_addresses.size() || left <= core::duration::zero()) {
            m_owner.finish(m_answer);
            return;
        }
        const auto leftMs = std::chrono::duration_cast<std::chrono::milliseconds>(left).count();
        transport::http_call call;
        call.method = request.method;
        call.url = "http://" + m_addresses[m_index] + request.path;
        call.headers = {{"Authorization", "Bearer demo-" + request.team},
                        {"Comfreypass-Tier", std::to_string(request.tier)},
                        {"Comfreypass-Deadline-Ms", std::to_string(leftMs)},
                        {"Comfreypass-Member", "member-1"},
                        {"Comfreypass-Witnesses", m_witnesses},
                        {"Idempotency-Key", m_answer.key}};
        if (m_index > 0)
            call.headers.add("Comfreypass-Repeat", "true");
        if (!request.body.empty())
            call.headers.add("Content-Type", "application/json");
        call.body = request.body;
        call.deadline = m_startedAt + request.deadline + patience;
        m_owner.m_client.start(std::move(call), shared_from_this());
    }

    void onHeaders(unsigned status, const transport::http_headers &) override { m_status = status; }

    bool onData(std::string_view bytes) override
    {
        if (m_answer.firstToken == core::duration::zero())
            m_answer.firstToken = transport::monotonicNow() - m_startedAt;
        if (m_answer.request.stream && m_status == statusOk)
            m_events.feed(bytes);
        else
            m_body += bytes;
        return true;
    }

    void onDone(const transport::http_call_result &result) override
    {
        m_answer.total = transport::monotonicNow() - m_startedAt;
        if (m_status == 0) {
            // Nothing arrived: the next address is asked under the same key.
            ++m_answer.brokenConnections;
            ++m_index;
            start();
            return;
        }
        if (m_status >= firstErrorStatus)
            readRefusal();
        else
            readAnswer(result.complete);
        m_owner.finish(m_answer);
    }

private:
    // A node ends a stream that it cannot complete with an event that says why.
    void readBrokenStream()
    {
        m_answer.reason = memberOf(parse(m_lastEvent), "reason");
        if (m_answer.reason.empty())
            ++m_answer.brokenConnections;
    }

    void readRefusal()
    {
        const json::value problem = parse(m_body);
        m_answer.reason = memberOf(problem, "reason");
        m_answer.result = memberOf(problem, "outcome") == "not_run"
                              ? member_answer::outcome::NotRun
                              : member_answer::outcome::Unknown;
    }

    void readAnswer(bool complete)
    {
        const member_request &request = m_answer.request;
        if (!complete || (request.stream && !m_events.done())) {
            readBrokenStream();
            return;
        }
        m_answer.result = member_answer::outcome::Answered;
        m_answer.inTime = m_answer.total <= request.deadline;
        if (request.prompt.empty()) {
            m_answer.whole = true;
            return;
        }
        const std::string text = request.stream ? m_streamed : contentOf(parse(m_body), "message");
        m_answer.whole = text == standin::responseText(request.prompt, request.answerTokens);
    }

    member_client &m_owner;
    std::vector<std::string> m_addresses;
    std::string m_witnesses;
    core::time_point m_startedAt;
    transport::sse_parser m_events;
    member_answer m_answer;
    std::size_t m_index = 0;
    unsigned m_status = 0;
    std::string m_body;
    std::string m_streamed;
    std::string m_lastEvent;
};

member_client::member_client(transport::http_client &client, std::vector<std::string> bootstrap,
                             answer_function answered)
    : m_client(client), m_bootstrap(std::move(bootstrap)), m_answered(std::move(answered))
{ }

member_client::~member_client() = default;

void member_client::send(member_request request)
{
    ++m_sent;
    ++m_open;
    // Members spread over the addresses of the answer; each keeps the order for its fall-back.
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
    if (now >= m_keepUntil && now >= m_nextAsk)
        askAddresses(now);
}

void member_client::askAddresses(core::time_point now)
{
    m_nextAsk = now + askInterval;
    const std::string &address = m_bootstrap[m_bootstrapIndex++ % m_bootstrap.size()];
    transport::http_call call;
    call.url = "http://" + address + "/v1/addresses";
    call.deadline = now + std::chrono::seconds(1);
    auto done = [this, now](const core::result<node::http_fetch::answer> &answer) {
        if (answer && answer.value().status == statusOk)
            takeAddresses(answer.value().body, now);
    };
    m_client.start(std::move(call), std::make_shared<node::http_fetch>(maxAddressAnswer, done));
}

void member_client::takeAddresses(const std::string &body, core::time_point askedAt)
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
        m_addresses.push_back(memberOf(entry, "address"));
    m_witnesses = memberOf(document, "witnesses");
    m_keepUntil = askedAt + std::chrono::milliseconds(keep->get_int64());
}

void member_client::finish(const member_answer &answer)
{
    --m_open;
    m_answered(answer);
}

} // namespace comfreypass::demo
