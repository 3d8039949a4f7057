#include "scheduling/engine_explanation.h"

namespace comfreypass::scheduling {

std::string_view toString(engine_explanation::verdict value) noexcept
{
    using verdict = engine_explanation::verdict;
    switch (value) {
    case verdict::Usable:
        return "usable";
    case verdict::NotListed:
        return "not listed";
    case verdict::Leaving:
        return "leaving";
    case verdict::DomainOutOfService:
        return "failure domain out of service";
    case verdict::NoVotes:
        return "vote share is zero";
    case verdict::Full:
        return "full";
    case verdict::ReservedForSmall:
        return "free places reserved for small requests";
    case verdict::DeadlineTooLongForCold:
        return "deadline too long for a cold engine";
    case verdict::DeadlineUnreachable:
        return "deadline unreachable";
    }
    return "unknown";
}

} // namespace comfreypass::scheduling
