#pragma once

#include "core/name.h"
#include "sheet/domain_spec.h"
#include "sheet/generation_spec.h"
#include "sheet/policy_spec.h"
#include "sheet/team_spec.h"
#include "sheet/upstream_spec.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace comfreypass::sheet {

/** Maximum size of a sheet document, equal to the configuration service's limit for a value. */
constexpr std::size_t maxSheetBytes = 1'000'000;

/** A validated sheet: every name in it refers to one of its entries. Immutable after parsing. */
struct sheet
{
    std::uint64_t revision = 0;
    /** Entry nodes of the fleet; the denominator of vote shares until the instance list is known.
     */
    std::uint32_t entryNodes = 1;
    std::vector<core::half_name> halves;
    std::map<core::domain_name, domain_spec> domains;
    std::map<std::string, generation_spec> generations;
    std::map<core::upstream_name, upstream_spec> upstreams;
    std::map<core::team_name, team_spec> teams;
    policy_spec policy;

    /** Returns whether the failure domain is listed in the sheet and in service. Thread-safe. */
    bool isDomainInService(const core::domain_name &domain) const;
};

} // namespace comfreypass::sheet
