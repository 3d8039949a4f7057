#include "sheet/upstream_spec.h"

#include <algorithm>

namespace comfreypass::sheet {

bool upstream_spec::isUsableBy(const core::half_name &half) const
{
    return owner == half
           || std::find(sharedWith.begin(), sharedWith.end(), half) != sharedWith.end();
}

} // namespace comfreypass::sheet
