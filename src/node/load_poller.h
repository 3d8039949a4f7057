#pragma once

#include "core/time_point.h"
#include "node/http_fetch.h"
#include "scheduling/load_report.h"
#include "sheet/engine_info.h"
#include "transport/http_client.h"

#include <functional>
#include <map>
#include <memory>
#include <span>
#include <string_view>

namespace comfreypass::node {

/**
 * Parses the load page of an engine. Thread-safe.
 *
 * Errors: ParseFailed, ValidationFailed with the JSON pointer.
 */
core::result<scheduling::load_report> parseLoadReport(const core::engine_name &engine,
                                                      std::string_view text);

/** Polls the load pages of the engines that this node schedules. Not thread-safe. */
class load_poller
{
public:
    static constexpr core::duration interval = std::chrono::seconds(1);

    using report_function
        = std::function<void(const core::upstream_name &, const scheduling::load_report &)>;

    /** The client must outlive the poller. */
    load_poller(transport::http_client &client, report_function report);

    /** Starts a poll of each engine whose interval has passed. */
    void tick(std::span<const sheet::engine_info> engines, core::time_point now);

private:
    void poll(const sheet::engine_info &engine, core::time_point now);

    transport::http_client &m_client;
    report_function m_report;
    std::map<core::engine_name, core::time_point> m_nextPoll;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace comfreypass::node
