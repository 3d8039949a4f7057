#include "sheet/team_spec.h"

#include "core/invariant.h"

namespace comfreypass::sheet {

core::tier team_spec::highestTier() const
{
    for (core::tier tier = 0; tier < core::tierCount; ++tier) {
        if (tiers.at(tier).has_value())
            return tier;
    }
    core::invariantFailed("a validated team holds a tier", __FILE__, __LINE__);
}

} // namespace comfreypass::sheet
