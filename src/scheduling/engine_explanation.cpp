#include "scheduling/engine_explanation.h"

namespace comfreypass::scheduling {

std::string_view toString(engine_explanation::status value) noexcept
{
    using status = engine_explanation::status;
    switch (value) {
    case status::Usable:
        return "usable";
    case status::NotListed:
        return "not listed";
    case status::Leaving:
        return "leaving";
    case status::DomainOutOfService:
        return "failure domain out of service";
    case status::NoVotes:
        return "vote share is zero";
    case status::Full:
        return "full";
    case status::ReservedForSmall:
        return "free places reserved for small requests";
    case status::DeadlineTooLongForCold:
        return "deadline too long for a cold engine";
    case status::DeadlineUnreachable:
        return "deadline unreachable";
    }
    return "unknown";
}

} // namespace comfreypass::scheduling
