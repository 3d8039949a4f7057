#pragma once

#include "core/time_point.h"
#include "node/caller_request.h"
#include "node/routing_table.h"
#include "sheet/policy_spec.h"
#include "transport/http_request.h"
#include "transport/problem.h"

#include <boost/outcome/result.hpp>

#include <string_view>

namespace comfreypass::node {

/** Parses, authenticates and routes callers' requests according to one sheet. */
class request_reader
{
public:
    /** The request, or the problem with which it is refused. */
    using outcome = boost::outcome_v2::result<caller_request, transport::problem,
                                              boost::outcome_v2::policy::terminate>;

    /** The table and the policy must outlive the reader. */
    request_reader(const routing_table &table, const sheet::policy_spec &policy);

    /** Reads a request; all refusals are `not_run`. Thread-safe. */
    outcome read(const transport::http_request &request, core::time_point now) const;

    static constexpr std::string_view chatPath = "/v1/chat/completions";
    static constexpr std::string_view servicePrefix = "/services/";
    static constexpr std::string_view keyHeader = "Idempotency-Key";
    static constexpr std::string_view witnessHeader = "Comfreypass-Witnesses";
    /** "true" if an earlier attempt had no response or an unknown outcome. */
    static constexpr std::string_view repeatHeader = "Comfreypass-Repeat";
    static constexpr std::string_view deadlineHeader = "Comfreypass-Deadline-Ms";
    static constexpr std::string_view tierHeader = "Comfreypass-Tier";
    static constexpr std::string_view memberHeader = "Comfreypass-Member";

private:
    using check
        = boost::outcome_v2::result<void, transport::problem, boost::outcome_v2::policy::terminate>;

    check readDeadline(const transport::http_request &request, core::time_point now,
                       caller_request &read) const;
    check readModel(const transport::http_request &request, const core::team_name &team,
                    std::optional<core::tier> tier, caller_request &read) const;
    check readService(const transport::http_request &request, const core::team_name &team,
                      std::optional<core::tier> tier, caller_request &read) const;
    check readIdentity(const transport::http_request &request, caller_request &read) const;

    const routing_table &m_table;
    const sheet::policy_spec &m_policy;
};

} // namespace comfreypass::node
