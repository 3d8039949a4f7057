#include "membership/membership_event.h"

#include <array>
#include <cstddef>

namespace comfreypass::membership {

std::string_view toString(event_kind kind) noexcept
{
    static constexpr std::array<std::string_view, 12> names = {"joined",
                                                               "suspect",
                                                               "dead",
                                                               "leaving",
                                                               "returned",
                                                               "removed",
                                                               "sheet_taken",
                                                               "sheet_conflict",
                                                               "sheet_rejected",
                                                               "paused",
                                                               "incarnation_raised",
                                                               "superseded"};
    return names.at(static_cast<std::size_t>(kind));
}

} // namespace comfreypass::membership
