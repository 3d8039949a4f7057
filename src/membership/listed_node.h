#pragma once

#include "core/name.h"

#include <string>

namespace comfreypass::membership {

/** Entry of the platform's instance list. */
struct listed_node
{
    core::node_name name;
    /** ip:port of the socket for peer connections. */
    std::string peerAddress;
    /** ip:port of the socket for callers. */
    std::string callerAddress;
    core::domain_name domain;
    bool leaving = false;
};

} // namespace comfreypass::membership
