#include "demo/demo_fleet.h"

#include "core/invariant.h"
#include "transport/clock.h"
#include "transport/free_port.h"

#include <boost/json.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace comfreypass::demo {

namespace {

namespace json = boost::json;

constexpr std::string_view sheetKey = "sheet";
/** Short enough for a node to finish draining within the demonstration. */
constexpr std::chrono::milliseconds addressTtl{2'000};
constexpr std::uint32_t coldRequestLimit = 2;

std::string loopback(std::uint16_t port)
{
    return "127.0.0.1:" + std::to_string(port);
}

standin::model_engine_settings engineSettings(const sheet::generation_spec &spec, bool startCold)
{
    standin::model_engine_settings settings;
    settings.slots = spec.slots;
    settings.prefillTokensPerSecond = spec.prefillTokensPerSecond;
    settings.stepTime = std::chrono::duration_cast<core::duration>(
        std::chrono::duration<double>(1.0 / spec.decodeTokensPerSecond));
    settings.startCold = startCold;
    settings.coldRequestLimit = coldRequestLimit;
    return settings;
}

template<class Map>
const auto &elementAt(const Map &map, std::size_t index)
{
    return *std::next(map.begin(), static_cast<std::ptrdiff_t>(index % map.size()));
}

} // namespace

std::uint64_t demo_fleet::engine::received() const
{
    if (model)
        return model->counters().received;
    return service->counters().bookings + service->counters().slotQueries;
}

demo_fleet::demo_fleet(ACE_Reactor &reactor, demo_options options, demo_sheet document)
    : m_reactor(reactor), m_options(std::move(options)), m_document(std::move(document))
{ }

core::result<void> demo_fleet::start()
{
    if (core::result<void> started = startPlatform(); !started)
        return started.error();
    if (core::result<void> started = startEngines(); !started)
        return started.error();
    return startNodes();
}

core::result<void> demo_fleet::startPlatform()
{
    m_configuration = std::make_unique<standin::configuration_service>(
        m_reactor, standin::configuration_service_settings{});
    m_instances
        = std::make_unique<standin::instance_list>(m_reactor, standin::instance_list_settings{});
    if (const auto port = m_configuration->listen(); !port)
        return port.error();
    if (const auto port = m_instances->listen(); !port)
        return port.error();
    m_configuration->put(std::string(sheetKey), m_document.text());
    return boost::outcome_v2::success();
}

core::result<void> demo_fleet::startEngines()
{
    for (const auto &[upstream, spec] : m_document.model().upstreams) {
        const bool isModel = spec.kind == sheet::upstream_kind::Model;
        const std::size_t count = isModel ? m_options.modelEngines : m_options.serviceEngines;
        for (std::size_t index = 0; index < count; ++index) {
            if (core::result<void> started = startEngine(upstream, index); !started)
                return started.error();
        }
    }
    return boost::outcome_v2::success();
}

core::result<void> demo_fleet::startEngine(const core::upstream_name &upstream, std::size_t index)
{
    const sheet::sheet &sheet = m_document.model();
    engine added;
    added.info.name = core::engine_name(upstream.text() + "-" + std::to_string(index + 1));
    added.info.upstream = upstream;
    added.info.domain = elementAt(sheet.domains, index).first;

    core::result<std::uint16_t> port = core::error{};
    if (sheet.upstreams.at(upstream).kind == sheet::upstream_kind::Model) {
        const auto &[generation, spec] = elementAt(sheet.generations, index);
        added.info.generation = generation;
        added.model = std::make_unique<standin::model_engine>(
            m_reactor, engineSettings(spec, m_options.coldStart));
        port = added.model->listen();
    } else {
        added.service = std::make_unique<standin::plain_service>(m_reactor,
                                                                 standin::plain_service_settings{});
        port = added.service->listen();
    }
    if (!port)
        return port.error();
    added.info.address = loopback(port.value());
    m_engines.push_back(std::move(added));
    return boost::outcome_v2::success();
}

core::result<void> demo_fleet::startNodes()
{
    for (std::size_t index = 0; index < m_options.nodes; ++index) {
        sheet::settings settings;
        settings.name = core::node_name("entry-" + std::to_string(index + 1));
        settings.failureDomain = elementAt(m_document.model().domains, index).first;
        settings.listen.callers = loopback(transport::freePort());
        settings.listen.peers = loopback(transport::freePort());
        settings.configurationService.address = loopback(m_configuration->port());
        settings.configurationService.key = sheetKey;
        settings.instanceListAddress = loopback(m_instances->port());
        settings.timing.addressTtl = addressTtl;
        m_nodeSettings.push_back(settings);
    }
    if (core::result<void> published = publishInstances(); !published)
        return published.error();
    for (std::size_t index = 0; index < m_options.nodes; ++index) {
        const core::incarnation incarnation = index + 1;
        m_nodes.push_back(std::make_unique<node::entry_node>(m_reactor, m_nodeSettings[index],
                                                             incarnation, m_options.seed + index));
        if (core::result<void> started = m_nodes.back()->start(); !started)
            return started.error();
    }
    return boost::outcome_v2::success();
}

core::result<void> demo_fleet::publishInstances()
{
    json::array nodes;
    for (const sheet::settings &settings : m_nodeSettings)
        nodes.push_back({{"name", settings.name.text()},
                         {"peer_address", settings.listen.peers},
                         {"caller_address", settings.listen.callers},
                         {"failure_domain", settings.failureDomain.text()},
                         {"state", "live"}});
    json::array engines;
    for (const engine &entry : m_engines)
        engines.push_back({{"name", entry.info.name.text()},
                           {"upstream", entry.info.upstream.text()},
                           {"address", entry.info.address},
                           {"failure_domain", entry.info.domain.text()},
                           {"generation", entry.info.generation},
                           {"state", entry.info.leaving ? "leaving" : "live"}});
    return m_instances->put(json::serialize(
        json::object{{"nodes", std::move(nodes)}, {"engines", std::move(engines)}}));
}

bool demo_fleet::ready() const
{
    std::size_t scheduled = 0;
    for (const auto &node : m_nodes) {
        if (!node->ready().ready)
            return false;
        for (const core::upstream_name &upstream : node->schedulers().active()) {
            const scheduling::pool_snapshot snapshot
                = node->schedulers().find(upstream)->snapshot(transport::monotonicNow());
            if (snapshot.votesHeld == m_nodes.size() && !snapshot.engines.empty())
                ++scheduled;
        }
    }
    return scheduled == m_document.model().upstreams.size();
}

void demo_fleet::setDomain(const core::domain_name &domain, bool inService)
{
    m_document.setDomain(domain, inService);
    m_configuration->put(std::string(sheetKey), m_document.text());
}

void demo_fleet::setLeaving(const core::engine_name &name)
{
    for (engine &entry : m_engines) {
        if (entry.info.name == name)
            entry.info.leaving = true;
    }
    const core::result<void> published = publishInstances();
    COMFREYPASS_INVARIANT(published.has_value());
}

void demo_fleet::removeNode(std::size_t index)
{
    m_nodes.erase(m_nodes.begin() + static_cast<std::ptrdiff_t>(index));
    m_nodeSettings.erase(m_nodeSettings.begin() + static_cast<std::ptrdiff_t>(index));
    const core::result<void> published = publishInstances();
    COMFREYPASS_INVARIANT(published.has_value());
}

} // namespace comfreypass::demo
