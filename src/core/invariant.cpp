#include "core/invariant.h"

#include <cstdio>
#include <cstdlib>

namespace comfreypass::core {

void invariantFailed(const char *condition, const char *file, int line) noexcept
{
    std::fprintf(stderr, "%s:%d: invariant failed: %s\n", file, line, condition);
    std::abort();
}

} // namespace comfreypass::core
