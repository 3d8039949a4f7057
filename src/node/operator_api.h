#pragma once

#include "core/result.h"
#include "node/decision_log.h"
#include "node/entry_node.h"
#include "transport/http_handler.h"
#include "transport/http_server.h"

#include <ace/Reactor.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace comfreypass::node {

/** HTTP API for operators, on a separate port from the callers' one. Not thread-safe. */
class operator_api : private transport::http_handler
{
public:
    using text_function = std::function<std::string()>;

    /** All references must outlive the object. `metrics` returns the metrics in the Prometheus text
     * format; it may be empty. */
    operator_api(ACE_Reactor &reactor, const entry_node &node, const decision_log &decisions,
                 text_function metrics);
    ~operator_api() override;

    /** Listens on the operator address of the node's settings. Errors: Io, InvalidArgument. */
    core::result<std::uint16_t> listen();

private:
    using page_function = void (operator_api::*)(transport::http_exchange &) const;

    struct page_row
    {
        const char *path;
        page_function handler;
        /** False for pages that health probes read without credentials. */
        bool needsToken;
    };

    void onRequest(std::shared_ptr<transport::http_exchange> exchange) override;
    bool isAuthorized(const transport::http_request &request) const;
    void handleHealth(transport::http_exchange &exchange) const;
    void handleReady(transport::http_exchange &exchange) const;
    void handleMetrics(transport::http_exchange &exchange) const;
    void handleState(transport::http_exchange &exchange) const;
    void handleExplain(transport::http_exchange &exchange) const;

    const entry_node &m_node;
    const decision_log &m_decisions;
    text_function m_metrics;
    transport::http_server m_server;
};

} // namespace comfreypass::node
