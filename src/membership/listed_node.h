#pragma once

#include "core/name.h"

#include <string>

namespace comfreypass::membership {

/** A node as the platform's instance list gives it. */
struct listed_node
{
    core::node_name name;
    /** ip:port of the socket for peers. */
    std::string peerAddress;
    /** ip:port for callers. */
    std::string callerAddress;
    core::domain_name domain;
    bool leaving = false;
};

} // namespace comfreypass::membership
