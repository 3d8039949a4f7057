#pragma once

#include "membership/membership_event.h"
#include "membership/outgoing_message.h"

#include <vector>

namespace comfreypass::membership {

/** Actions that the owner of the agent performs after a step. */
struct agent_actions
{
    std::vector<outgoing_message> messages;
    std::vector<membership_event> events;
    /** If set, the owner starts a read of the configuration service and reports its result. */
    bool readService = false;
};

} // namespace comfreypass::membership
