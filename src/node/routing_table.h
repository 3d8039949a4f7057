#pragma once

#include "core/name.h"
#include "core/result.h"
#include "node/route.h"
#include "sheet/sheet.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace comfreypass::node {

/** Authenticates callers and routes their requests according to one sheet. Immutable. */
class routing_table
{
public:
    explicit routing_table(std::shared_ptr<const sheet::sheet> sheet);

    /** Returns the team that owns the bearer token, if any. Thread-safe. */
    std::optional<core::team_name> authenticate(std::string_view bearerToken) const;

    /**
     * Returns the route of a model request. Without a requested tier the team's highest one is
     * used. Precondition: the team is in the sheet. Thread-safe.
     *
     * Errors: Refused if the team does not hold the tier, NotFound if no upstream that the team's
     * half may use serves the model.
     */
    core::result<route> routeModel(const core::team_name &team,
                                   std::optional<core::tier> requestedTier,
                                   const core::model_name &model) const;

    /** Returns the route of a plain-service request. Precondition and errors as for routeModel().
     * Thread-safe. */
    core::result<route> routeService(const core::team_name &team,
                                     std::optional<core::tier> requestedTier,
                                     const core::upstream_name &upstream, std::string_view method,
                                     std::string_view path) const;

private:
    core::result<route> beginRoute(const core::team_name &team,
                                   std::optional<core::tier> requestedTier) const;

    std::shared_ptr<const sheet::sheet> m_sheet;
    std::unordered_map<std::string, core::team_name> m_teamByTokenHash;
    std::map<core::model_name, std::vector<core::upstream_name>> m_upstreamsByModel;
};

} // namespace comfreypass::node
