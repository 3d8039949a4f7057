#include "node/request_reader.h"

#include "node/bearer_token.h"
#include "node/chat_request.h"
#include "node/problems.h"
#include "transport/request_target.h"

#include <charconv>
#include <optional>
#include <string>
#include <utility>

namespace comfreypass::node {

namespace {

constexpr std::size_t maxKeyBytes = 256;
constexpr std::size_t maxMemberBytes = 256;
constexpr std::uint64_t maxDeadlineMs = 3'600'000;

std::optional<std::uint64_t> parseNumber(std::string_view text)
{
    std::uint64_t number = 0;
    const auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (code != std::errc{} || end != text.data() + text.size())
        return std::nullopt;
    return number;
}

transport::problem routeProblem(const core::error &error)
{
    if (error.code == core::errc::Refused)
        return problems::forbidden("tier_not_held", core::describe(error));
    return problems::notFound("no_upstream", core::describe(error));
}

} // namespace

request_reader::request_reader(const routing_table &table, const sheet::policy_spec &policy)
    : m_table(table), m_policy(policy)
{ }

request_reader::outcome request_reader::read(const transport::http_request &request,
                                             core::time_point now) const
{
    const std::optional<core::team_name> team = m_table.authenticate(bearerToken(request.headers));
    if (!team)
        return problems::unauthorized();

    std::optional<core::tier> tier;
    if (const auto text = request.headers.find(tierHeader)) {
        const std::optional<std::uint64_t> number = parseNumber(*text);
        if (!number || *number > core::lowestTier)
            return problems::badRequest("bad_tier",
                                        "Comfreypass-Tier must be a number from 0 to 4");
        tier = static_cast<core::tier>(*number);
    }

    caller_request read;
    if (const check done = readDeadline(request, now, read); !done)
        return done.error();
    const bool isModel = request.path == chatPath && request.method == "POST";
    const check routed
        = isModel ? readModel(request, *team, tier, read) : readService(request, *team, tier, read);
    if (!routed)
        return routed.error();
    if (const check done = readIdentity(request, read); !done)
        return done.error();
    return read;
}

request_reader::check request_reader::readDeadline(const transport::http_request &request,
                                                   core::time_point now, caller_request &read) const
{
    read.deadline = now + m_policy.defaultDeadline;
    const auto text = request.headers.find(deadlineHeader);
    if (!text)
        return boost::outcome_v2::success();
    const std::optional<std::uint64_t> remaining = parseNumber(*text);
    if (!remaining || *remaining == 0 || *remaining > maxDeadlineMs)
        return problems::badRequest("bad_deadline",
                                    "Comfreypass-Deadline-Ms must be a number from 1 to 3600000");
    read.deadline = now + std::chrono::milliseconds(*remaining);
    return boost::outcome_v2::success();
}

request_reader::check request_reader::readModel(const transport::http_request &request,
                                                const core::team_name &team,
                                                std::optional<core::tier> tier,
                                                caller_request &read) const
{
    core::result<chat_request> chat = parseChatRequest(request.body);
    if (!chat)
        return problems::badRequest("bad_chat_request", core::describe(chat.error()));
    core::result<route> selected = m_table.routeModel(team, tier, chat.value().model);
    if (!selected)
        return routeProblem(selected.error());

    read.type = caller_request::kind::Model;
    read.selectedRoute = std::move(selected).value();
    read.model = chat.value().model;
    read.method = request.method;
    read.path = chatPath;
    read.contentType = "application/json";
    read.stream = chat.value().stream;
    read.cost = chat.value().cost;
    read.prefixHashes = std::move(chat.value().prefixHashes);
    return boost::outcome_v2::success();
}

request_reader::check request_reader::readService(const transport::http_request &request,
                                                  const core::team_name &team,
                                                  std::optional<core::tier> tier,
                                                  caller_request &read) const
{
    std::string_view rest = request.path;
    if (!rest.starts_with(servicePrefix))
        return problems::notFound("no_such_path", "nothing is served at '" + request.path + "'");
    rest.remove_prefix(servicePrefix.size());
    const std::size_t slash = std::min(rest.find('/'), rest.size());
    const core::upstream_name upstream(rest.substr(0, slash));
    const std::string path = slash < rest.size() ? std::string(rest.substr(slash)) : "/";

    core::result<route> selected = m_table.routeService(team, tier, upstream, request.method, path);
    if (!selected)
        return routeProblem(selected.error());
    read.type = caller_request::kind::Service;
    read.selectedRoute = std::move(selected).value();
    read.method = request.method;
    read.path = transport::requestTarget(path, request.arguments);
    read.contentType = request.headers.find("Content-Type").value_or("");
    return boost::outcome_v2::success();
}

request_reader::check request_reader::readIdentity(const transport::http_request &request,
                                                   caller_request &read) const
{
    const auto key = request.headers.find(keyHeader);
    if (!key) {
        if (!read.selectedRoute.idempotent)
            return problems::preconditionRequired(
                "key_required", "this operation is not idempotent: send an Idempotency-Key");
        return boost::outcome_v2::success();
    }
    const std::string_view member = request.headers.find(memberHeader).value_or("");
    if (key->empty() || key->size() > maxKeyBytes || member.size() > maxMemberBytes)
        return problems::badRequest("bad_key", "key and member must have at most 256 bytes");

    const auto tokenText = request.headers.find(witnessHeader);
    if (!tokenText)
        return problems::preconditionRequired("witnesses_required",
                                              "send the token of GET /v1/addresses, or the one "
                                              "with this answer, in Comfreypass-Witnesses");
    core::result<idempotency::witness_token> token = idempotency::parseWitnessToken(*tokenText);
    if (!token)
        return problems::badRequest("bad_witnesses", core::describe(token.error()));
    const bool repeat = request.headers.find(repeatHeader) == "true";
    read.identity
        = caller_request::keyed{idempotency::makeRequestKey(read.selectedRoute.team, member, *key),
                                std::move(token).value(), repeat};
    return boost::outcome_v2::success();
}

} // namespace comfreypass::node
