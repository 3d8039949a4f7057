#pragma once

#include "core/name.h"
#include "sheet/domain_facts.h"
#include "sheet/generation_facts.h"
#include "sheet/policy_facts.h"
#include "sheet/team_facts.h"
#include "sheet/upstream_facts.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace comfreypass::sheet {

/** Largest document that is accepted, the same as the configuration service's limit for a value. */
constexpr std::size_t maxSheetBytes = 1'000'000;

/** A validated sheet: every name in it refers to an entry of it. Immutable after parsing. */
struct sheet
{
    std::uint64_t revision = 0;
    /** Entry nodes of the fleet; the denominator of vote shares until the instance list is known.
     */
    std::uint32_t entryNodes = 1;
    std::vector<core::half_name> halves;
    std::map<core::domain_name, domain_facts> domains;
    std::map<std::string, generation_facts> generations;
    std::map<core::upstream_name, upstream_facts> upstreams;
    std::map<core::team_name, team_facts> teams;
    policy_facts policy;

    /** True if the failure domain is named in the sheet and in service. Thread-safe. */
    bool domainInService(const core::domain_name &domain) const;
};

} // namespace comfreypass::sheet
