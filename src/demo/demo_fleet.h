#pragma once

#include "core/result.h"
#include "demo/demo_options.h"
#include "demo/demo_sheet.h"
#include "node/entry_node.h"
#include "sheet/engine_info.h"
#include "standin/configuration_service.h"
#include "standin/instance_list.h"
#include "standin/model_engine.h"
#include "standin/plain_service.h"

#include <ace/Reactor.h>

#include <memory>
#include <string>
#include <vector>

namespace comfreypass::demo {

/**
 * Runs the platform services, upstreams and entry nodes of a fleet on one reactor, all on loopback.
 * Not thread-safe.
 */
class demo_fleet
{
public:
    struct engine
    {
        sheet::engine_info info;
        /** Exactly one of `model` and `service` is set. */
        std::unique_ptr<standin::model_engine> model;
        std::unique_ptr<standin::plain_service> service;

        /** Returns the number of requests received since the start. */
        std::uint64_t received() const;
    };

    /** The reactor must outlive the fleet. */
    demo_fleet(ACE_Reactor &reactor, demo_options options, demo_sheet document);

    /** Starts all servers and nodes. Errors: Io, InvalidArgument. */
    core::result<void> start();

    /** Returns whether every node is ready and every upstream has a scheduler with all votes. */
    bool ready() const;

    /** Publishes a sheet in which a failure domain is in or out of service. */
    void setDomain(const core::domain_name &domain, bool inService);
    /** Marks an engine as leaving in the instance list. */
    void setLeaving(const core::engine_name &name);
    /** Stops a drained node and removes it from the instance list. */
    void removeNode(std::size_t index);

    std::vector<engine> &engines() noexcept { return m_engines; }
    const std::vector<std::unique_ptr<node::entry_node>> &nodes() const noexcept { return m_nodes; }
    const demo_sheet &document() const noexcept { return m_document; }

private:
    core::result<void> startPlatform();
    core::result<void> startEngines();
    core::result<void> startNodes();
    core::result<void> startEngine(const core::upstream_name &upstream, std::size_t index);
    core::result<void> publishInstances();

    ACE_Reactor &m_reactor;
    demo_options m_options;
    demo_sheet m_document;
    std::unique_ptr<standin::configuration_service> m_configuration;
    std::unique_ptr<standin::instance_list> m_instances;
    std::vector<engine> m_engines;
    std::vector<sheet::settings> m_nodeSettings;
    std::vector<std::unique_ptr<node::entry_node>> m_nodes;
};

} // namespace comfreypass::demo
