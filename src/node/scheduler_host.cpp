#include "node/scheduler_host.h"

#include "core/rendezvous.h"

#include <utility>

namespace comfreypass::node {

scheduler_host::scheduler_host(message_sender &sender, core::node_identity self,
                               scheduling::scheduler_options options)
    : m_sender(sender), m_self(std::move(self)), m_options(options)
{ }

void scheduler_host::setSheet(std::shared_ptr<const sheet::sheet> sheet, core::time_point now)
{
    m_sheet = std::move(sheet);
    for (auto &[name, pool] : m_pools) {
        if (!m_sheet->upstreams.contains(name))
            send(pool.stepDown(now));
        else
            send(pool.setSheet(m_sheet, now));
    }
    for (const auto &[name, spec] : m_sheet->upstreams) {
        if (!m_pools.contains(name))
            createPool(name, now);
    }
    updateActivePools(now);
}

void scheduler_host::setEngines(std::vector<sheet::engine_info> engines, core::time_point now)
{
    if (engines == m_engines)
        return;
    m_engines = std::move(engines);
    for (auto &[name, pool] : m_pools)
        send(pool.setEngines(m_engines, now));
}

void scheduler_host::setView(std::vector<core::node_identity> voters,
                             std::span<const core::node_name> candidates, std::size_t listedCount,
                             core::time_point now)
{
    m_voters = std::move(voters);
    m_candidates.assign(candidates.begin(), candidates.end());
    m_listedCount = listedCount;
    for (auto &[name, pool] : m_pools)
        send(pool.setVoters(m_voters, m_listedCount, now));
    updateActivePools(now);
}

void scheduler_host::setListed(const std::vector<core::node_name> &names, core::time_point now)
{
    if (names == m_listed)
        return;
    m_listed = names;
    for (auto &[name, pool] : m_pools)
        send(pool.setListedNodes(m_listed, now));
}

void scheduler_host::onNodeLost(const core::node_identity &node, core::time_point now)
{
    for (auto &[name, pool] : m_pools)
        send(pool.onNodeLost(node, now));
}

void scheduler_host::stepDown(core::time_point now)
{
    m_candidates.clear();
    updateActivePools(now);
}

void scheduler_host::onPermitRequest(const core::node_identity &from,
                                     const scheduling::permit_request &request,
                                     core::time_point now)
{
    const auto found = m_pools.find(request.upstream);
    if (found != m_pools.end()) {
        send(found->second.onPermitRequest(from, request, now));
        return;
    }
    m_sender.send(from.name, scheduling::permit_refusal{request.request,
                                                        request.upstream,
                                                        scheduling::refusal_reason::NotScheduler,
                                                        {}});
}

void scheduler_host::onRelease(const core::node_identity &from,
                               const scheduling::permit_release &release, core::time_point now)
{
    const auto found = m_pools.find(release.upstream);
    if (found != m_pools.end())
        send(found->second.onRelease(from, release, now));
}

void scheduler_host::onVote(const core::node_identity &from, const scheduling::lease_vote &vote,
                            core::time_point now)
{
    const auto found = m_pools.find(vote.upstream);
    if (found != m_pools.end())
        send(found->second.onVote(from, vote, now));
}

void scheduler_host::onLoadReport(const core::upstream_name &upstream,
                                  const scheduling::load_report &report, core::time_point now)
{
    const auto found = m_pools.find(upstream);
    if (found != m_pools.end())
        send(found->second.onLoadReport(report, now));
}

void scheduler_host::tick(core::time_point now)
{
    for (auto &[name, pool] : m_pools)
        send(pool.tick(now));
}

std::vector<core::upstream_name> scheduler_host::active() const
{
    std::vector<core::upstream_name> names;
    for (const auto &[name, pool] : m_pools) {
        if (pool.active())
            names.push_back(name);
    }
    return names;
}

const scheduling::pool_scheduler *scheduler_host::find(const core::upstream_name &upstream) const
{
    const auto found = m_pools.find(upstream);
    return found == m_pools.end() ? nullptr : &found->second;
}

void scheduler_host::send(std::vector<scheduling::outgoing> messages)
{
    for (scheduling::outgoing &outgoing : messages) {
        std::visit(
            [&](auto &&message) {
                m_sender.send(outgoing.to, std::forward<decltype(message)>(message));
            },
            std::move(outgoing.message));
    }
}

void scheduler_host::updateActivePools(core::time_point now)
{
    if (!m_sheet)
        return;
    for (auto &[name, pool] : m_pools) {
        const std::vector<core::node_name> preferred
            = core::rendezvousRank(name.text(), m_candidates, 1);
        const bool isLocal = m_sheet->upstreams.contains(name) && !preferred.empty()
                             && preferred.front() == m_self.name;
        if (isLocal && !pool.active())
            send(pool.start(now));
        if (!isLocal && pool.active())
            send(pool.stepDown(now));
    }
}

scheduling::pool_scheduler &scheduler_host::createPool(const core::upstream_name &upstream,
                                                       core::time_point now)
{
    scheduling::pool_scheduler &pool
        = m_pools.emplace(upstream, scheduling::pool_scheduler(upstream, m_options)).first->second;
    send(pool.setSheet(m_sheet, now));
    send(pool.setEngines(m_engines, now));
    send(pool.setVoters(m_voters, m_listedCount, now));
    send(pool.setListedNodes(m_listed, now));
    return pool;
}

} // namespace comfreypass::node
