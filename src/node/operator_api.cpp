#include "node/operator_api.h"

#include "node/bearer_token.h"
#include "node/problems.h"
#include "node/state_page.h"
#include "node/token_hash.h"
#include "sheet/socket_address.h"
#include "transport/clock.h"

#include <sodium.h>

#include <array>
#include <string_view>
#include <utility>

namespace comfreypass::node {

namespace {

constexpr unsigned statusOk = 200;
constexpr unsigned statusUnavailable = 503;
constexpr std::uint32_t connectionLimit = 64;

transport::http_server_settings serverSettings(const sheet::settings &settings)
{
    const sheet::socket_address address = sheet::splitAddress(settings.listen.operators);
    transport::http_server_settings values;
    values.address = address.host;
    values.port = address.port;
    values.connectionLimit = connectionLimit;
    return values;
}

void respondWithJson(transport::http_exchange &exchange, std::string body)
{
    exchange.respond(statusOk, {{"Content-Type", "application/json"}}, std::move(body));
}

} // namespace

operator_api::operator_api(ACE_Reactor &reactor, const entry_node &node,
                           const decision_log &decisions, text_function metrics)
    : m_node(node), m_decisions(decisions), m_metrics(std::move(metrics)),
      m_server(reactor, serverSettings(node.settings()), *this)
{ }

operator_api::~operator_api() = default;

core::result<std::uint16_t> operator_api::listen()
{
    return m_server.listen();
}

void operator_api::onRequest(std::shared_ptr<transport::http_exchange> exchange)
{
    static constexpr std::array<page_row, 5> pages = {{
        {"/healthz", &operator_api::handleHealth, false},
        {"/readyz", &operator_api::handleReady, false},
        {"/metrics", &operator_api::handleMetrics, true},
        {"/state", &operator_api::handleState, true},
        {"/explain", &operator_api::handleExplain, true},
    }};
    for (const page_row &page : pages) {
        if (exchange->request().path != page.path)
            continue;
        if (page.needsToken && !isAuthorized(exchange->request()))
            problems::unauthorized().respondTo(*exchange);
        else
            (this->*page.handler)(*exchange);
        return;
    }
    problems::notFound("no_such_page", "the pages are /healthz /readyz /metrics /state /explain")
        .respondTo(*exchange);
}

bool operator_api::isAuthorized(const transport::http_request &request) const
{
    const auto &expected = m_node.settings().operatorTokenSha256;
    if (!expected)
        return true;
    const std::string presentedHash = tokenHash(bearerToken(request.headers));
    return presentedHash.size() == expected->size()
           && sodium_memcmp(presentedHash.data(), expected->data(), presentedHash.size()) == 0;
}

void operator_api::handleHealth(transport::http_exchange &exchange) const
{
    exchange.respond(statusOk, {{"Content-Type", "text/plain"}}, "ok\n");
}

void operator_api::handleReady(transport::http_exchange &exchange) const
{
    const auto readiness = m_node.ready();
    exchange.respond(readiness.ready ? statusOk : statusUnavailable,
                     {{"Content-Type", "text/plain"}},
                     readiness.ready ? "ready\n" : readiness.reason + "\n");
}

void operator_api::handleMetrics(transport::http_exchange &exchange) const
{
    exchange.respond(statusOk, {{"Content-Type", "text/plain; version=0.0.4"}},
                     m_metrics ? m_metrics() : std::string());
}

void operator_api::handleState(transport::http_exchange &exchange) const
{
    respondWithJson(exchange, statePage(m_node, transport::monotonicNow()));
}

void operator_api::handleExplain(transport::http_exchange &exchange) const
{
    const auto key = exchange.request().arguments.find("key");
    if (key == exchange.request().arguments.end()) {
        problems::badRequest("key_missing", "ask with /explain?key=IDEMPOTENCY_KEY")
            .respondTo(exchange);
        return;
    }
    respondWithJson(exchange, explainPage(m_decisions.find(key->second)));
}

} // namespace comfreypass::node
