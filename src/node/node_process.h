#pragma once

#include "core/incarnation.h"
#include "core/result.h"
#include "node/decision_log.h"
#include "node/entry_node.h"
#include "sheet/settings.h"
#include "transport/epoll_reactor.h"

namespace comfreypass::node {

/** Runs an entry node as a process with reactor, signal handling, operator API and log. */
class node_process
{
public:
    explicit node_process(sheet::settings settings);

    /**
     * Runs until the node has drained after SIGTERM or SIGINT.
     * Errors: Io or InvalidArgument if a socket cannot be opened, Conflict if another process uses
     * the same node name.
     */
    core::result<void> run();

private:
    core::result<entry_node::stop_reason> runIncarnation(core::incarnation incarnation);

    sheet::settings m_settings;
    transport::epoll_reactor m_reactor;
    decision_log m_decisions;
};

} // namespace comfreypass::node
