#include "node/problems.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <utility>

namespace comfreypass::node::problems {

namespace {

constexpr unsigned statusBadRequest = 400;
constexpr unsigned statusUnauthorized = 401;
constexpr unsigned statusForbidden = 403;
constexpr unsigned statusNotFound = 404;
constexpr unsigned statusPreconditionRequired = 428;
constexpr unsigned statusTooManyRequests = 429;
constexpr unsigned statusUnavailable = 503;
constexpr std::string_view notRun = "not_run";

transport::problem makeProblem(unsigned status, std::string_view title, std::string reason,
                               std::string detail, std::string_view outcome)
{
    transport::problem value;
    value.type = "urn:comfreypass:problem:" + reason;
    value.title = title;
    value.status = status;
    value.reason = std::move(reason);
    value.detail = std::move(detail);
    value.outcome = outcome;
    return value;
}

/** Status, title and detail of the response to a refused permit. */
struct refusal_text
{
    unsigned status;
    std::string_view title;
    std::string_view detail;
};

const refusal_text &refusalText(scheduling::refusal_reason reason)
{
    static constexpr std::array<refusal_text, 7> texts = {{
        {statusTooManyRequests, "No capacity",
         "the upstream serves requests of this tier or higher"},
        {statusTooManyRequests, "Displaced",
         "a request of a higher tier took the place in the queue"},
        {statusUnavailable, "Deadline unreachable", "no engine can complete the request in time"},
        {statusTooManyRequests, "Team limit",
         "the team runs as many requests of this tier as it may"},
        {statusUnavailable, "No usable engine", "no engine of the upstream may take requests now"},
        {statusUnavailable, "Scheduler changed", "the upstream's scheduler is changing"},
        {statusUnavailable, "Lease lost", "the upstream's scheduler is changing"},
    }};
    return texts.at(static_cast<std::size_t>(reason));
}

} // namespace

transport::problem badRequest(std::string reason, std::string detail)
{
    return makeProblem(statusBadRequest, "Bad request", std::move(reason), std::move(detail),
                       notRun);
}

transport::problem unauthorized()
{
    return makeProblem(statusUnauthorized, "Unauthorized", "unknown_credentials",
                       "the Authorization header must hold the bearer token of a team", notRun);
}

transport::problem forbidden(std::string reason, std::string detail)
{
    return makeProblem(statusForbidden, "Forbidden", std::move(reason), std::move(detail), notRun);
}

transport::problem notFound(std::string reason, std::string detail)
{
    return makeProblem(statusNotFound, "Not found", std::move(reason), std::move(detail), notRun);
}

transport::problem preconditionRequired(std::string reason, std::string detail)
{
    return makeProblem(statusPreconditionRequired, "Precondition required", std::move(reason),
                       std::move(detail), notRun);
}

transport::problem refusedByScheduler(scheduling::refusal_reason reason, core::duration retryAfter)
{
    const refusal_text &text = refusalText(reason);
    transport::problem value = makeProblem(text.status, text.title, std::string(toString(reason)),
                                           std::string(text.detail), notRun);
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(retryAfter).count();
    value.retryAfterSeconds = seconds > 0 ? static_cast<std::uint32_t>(seconds) : 1;
    return value;
}

transport::problem unavailable(std::string reason, std::string detail)
{
    transport::problem value = makeProblem(statusUnavailable, "Unavailable", std::move(reason),
                                           std::move(detail), notRun);
    value.retryAfterSeconds = 1;
    return value;
}

transport::problem unknownOutcome(unsigned status, std::string reason, std::string detail)
{
    return makeProblem(status, "Unknown outcome", std::move(reason), std::move(detail), "unknown");
}

} // namespace comfreypass::node::problems
