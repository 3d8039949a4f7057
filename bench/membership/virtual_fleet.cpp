#include "membership/virtual_fleet.h"

#include "membership/incarnation_order.h"
#include "membership/message_size.h"
#include "sheet/sheet_document.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <utility>

namespace comfreypass::bench {

namespace {

constexpr std::uint64_t firstStart = 1'700'000'000;

std::size_t indexOf(const core::node_name &name)
{
    return std::stoul(name.text().substr(name.text().find('-') + 1));
}

} // namespace

virtual_fleet::virtual_fleet(options chosen)
    : m_options(chosen), m_random(chosen.seed), m_nodes(chosen.nodes)
{
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        membership::listed_node listed;
        listed.name = core::node_name("entry-" + std::to_string(i));
        listed.peerAddress = "10.20.30." + std::to_string(i) + ":7400";
        listed.callerAddress = "10.20.30." + std::to_string(i) + ":8080";
        listed.domain = core::domain_name("domain-" + std::to_string(i % m_options.domains));
        m_list.push_back(std::move(listed));
    }
}

void virtual_fleet::start(std::size_t node)
{
    node_slot &slot = m_nodes[node];
    ++m_starts;
    const membership::listed_node &listed = m_list[node];
    membership::member self;
    self.identity.name = listed.name;
    self.identity.incarnation = membership::makeIncarnation(firstStart + m_starts, m_random());
    self.peerAddress = listed.peerAddress;
    self.callerAddress = listed.callerAddress;
    self.domain = listed.domain;
    slot.incarnation = m_starts;
    slot.knownIndex = 0;
    slot.pausedUntil = m_now;
    slot.agent = std::make_unique<membership::membership_agent>(self, m_options.settings,
                                                                parseSheet, m_now);
    perform(node, slot.agent->onInstanceList(m_list, m_now));
    const auto interval = static_cast<std::uint64_t>(m_options.settings.tickInterval.count());
    schedule(core::duration(static_cast<std::int64_t>(m_random() % interval)), node,
             tick_due{slot.incarnation});
}

void virtual_fleet::kill(std::size_t node)
{
    m_nodes[node].agent.reset();
}

void virtual_fleet::pause(std::size_t node, core::duration duration)
{
    m_nodes[node].pausedUntil = std::max(m_nodes[node].pausedUntil, m_now + duration);
}

void virtual_fleet::run(core::duration duration)
{
    const core::time_point end = m_now + duration;
    while (!m_queue.empty() && m_queue.top().time <= end) {
        occurrence item = m_queue.top();
        m_queue.pop();
        m_now = item.time;
        handle(item);
    }
    m_now = end;
}

void virtual_fleet::handle(occurrence &item)
{
    node_slot &slot = m_nodes[item.node];
    if (!slot.agent)
        return;
    if (slot.pausedUntil > m_now) {
        item.time = slot.pausedUntil;
        item.order = ++m_order;
        m_queue.push(std::move(item));
        return;
    }
    if (const auto *tick = std::get_if<tick_due>(&item.what))
        handleTick(item.node, tick->incarnation);
    else if (const auto *message = std::get_if<delivery>(&item.what))
        handleDelivery(item.node, *message);
    else if (const auto *reply = std::get_if<service_reply>(&item.what))
        handleReply(item.node, *reply);
}

void virtual_fleet::handleTick(std::size_t node, std::uint64_t incarnation)
{
    node_slot &slot = m_nodes[node];
    if (slot.incarnation != incarnation)
        return;
    auto actions = slot.agent->tick(m_now, m_random());
    schedule(m_options.settings.tickInterval, node, tick_due{incarnation});
    if (actions.readService) {
        ++m_serviceCalls;
        const auto version = m_serviceView ? m_serviceView(node) : m_values.size();
        schedule(delay() + delay(), node, service_reply{incarnation, version, m_now});
    }
    perform(node, std::move(actions));
}

void virtual_fleet::handleDelivery(std::size_t node, const delivery &item)
{
    node_slot &slot = m_nodes[node];
    if (slot.group != item.fromGroup)
        return;
    membership::membership_agent &agent = *slot.agent;
    struct dispatch
    {
        membership::membership_agent &to;
        const core::node_identity &from;
        core::time_point now;

        auto operator()(const membership::ping &m) const { return to.onPing(from, m, now); }
        auto operator()(const membership::ack &m) const { return to.onAck(from, m, now); }
        auto operator()(const membership::view_sync &m) const
        {
            return to.onViewSync(from, m, now);
        }
        auto operator()(const membership::sheet_request &m) const
        {
            return to.onSheetRequest(from, m, now);
        }
        auto operator()(const membership::sheet_patch &m) const
        {
            return to.onSheetPatch(from, m, now);
        }
        auto operator()(const membership::sheet_chunk &m) const
        {
            return to.onSheetChunk(from, m, now);
        }
    };
    perform(node, std::visit(dispatch{agent, item.from, m_now}, item.message));
}

void virtual_fleet::handleReply(std::size_t node, const service_reply &item)
{
    node_slot &slot = m_nodes[node];
    if (slot.incarnation != item.incarnation)
        return;
    if (!item.version || *item.version == 0) {
        slot.agent->onServiceFailure(m_now);
    } else if (*item.version == slot.knownIndex) {
        perform(node, slot.agent->onServiceUnchanged(slot.knownIndex, item.asOf, m_now));
    } else {
        slot.knownIndex = *item.version;
        perform(node, slot.agent->onServiceValue(m_values[*item.version - 1], slot.knownIndex,
                                                 item.asOf, m_now));
    }
}

void virtual_fleet::perform(std::size_t node, membership::agent_actions actions)
{
    node_slot &slot = m_nodes[node];
    for (membership::outgoing_message &out : actions.messages) {
        ++slot.sent.messages;
        slot.sent.bytes += messageSize(out.message);
        const bool lost = std::uniform_real_distribution<>(0, 1)(m_random) < m_options.loss;
        const std::size_t to = indexOf(out.to);
        if (lost || m_nodes[to].group != slot.group)
            continue;
        schedule(delay(), to,
                 delivery{slot.agent->self().identity, slot.group, std::move(out.message)});
    }
    if (!m_handler)
        return;
    for (const membership::membership_event &event : actions.events)
        m_handler(node, event);
}

void virtual_fleet::schedule(core::duration delay, std::size_t node,
                             std::variant<tick_due, delivery, service_reply> what)
{
    m_queue.push({m_now + delay, ++m_order, node, std::move(what)});
}

core::duration virtual_fleet::delay()
{
    return core::duration(std::uniform_int_distribution<std::int64_t>(
        m_options.minDelay.count(), m_options.maxDelay.count())(m_random));
}

void virtual_fleet::resetTraffic()
{
    for (node_slot &slot : m_nodes)
        slot.sent = {};
}

std::string virtual_fleet::makeSheet(std::uint64_t revision, std::size_t domains,
                                     const std::vector<std::size_t> &out, std::size_t teams,
                                     std::size_t changedTeams)
{
    boost::json::object root;
    root["revision"] = revision;
    boost::json::object &places = root["domains"].emplace_object();
    for (std::size_t i = 0; i < domains; ++i) {
        const bool in = std::find(out.begin(), out.end(), i) == out.end();
        places["domain-" + std::to_string(i)].emplace_object()["in_service"] = in;
    }
    boost::json::object &entries = root["teams"].emplace_object();
    for (std::size_t i = 0; i < teams; ++i) {
        boost::json::object &team = entries["team-" + std::to_string(i)].emplace_object();
        team["half"] = "north";
        team["weight"] = i < changedTeams ? 2 : 1;
        team["token"] = std::string(40, 'a');
        team["tiers"] = {0, 1, 2};
    }
    return boost::json::serialize(root);
}

core::result<std::shared_ptr<const sheet::sheet>> virtual_fleet::parseSheet(std::string_view text)
{
    const auto parsed = sheet::sheet_document::parseJson(text);
    const core::error invalid{core::errc::ValidationFailed, "/revision", "a revision is needed",
                              ""};
    if (!parsed || !parsed.value().is_object())
        return invalid;
    const boost::json::object &root = parsed.value().get_object();
    const boost::json::value *revision = root.if_contains("revision");
    if (revision == nullptr || !revision->is_int64())
        return invalid;
    auto model = std::make_shared<sheet::sheet>();
    model->revision = static_cast<std::uint64_t>(revision->get_int64());
    if (const boost::json::value *domains = root.if_contains("domains")) {
        for (const auto &domain : domains->as_object()) {
            model->domains[core::domain_name(std::string_view(domain.key()))].inService
                = domain.value().at("in_service").as_bool();
        }
    }
    return std::shared_ptr<const sheet::sheet>(std::move(model));
}

} // namespace comfreypass::bench
