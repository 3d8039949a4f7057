#include "scheduling/dispatch_table.h"

#include "core/invariant.h"
#include "scheduling/scheduler_options.h"

namespace comfreypass::scheduling {

namespace {

/** Keeps a search among dispatches on unsuitable engines short. */
constexpr std::size_t victimsTried = 32;

} // namespace

const dispatch_table::record *dispatch_table::find(const request_ref &ref) const
{
    const auto found = m_records.find(ref);
    return found == m_records.end() ? nullptr : &found->second;
}

void dispatch_table::add(record item)
{
    const request_ref ref = item.ref;
    const auto [place, inserted] = m_records.emplace(ref, std::move(item));
    COMFREYPASS_INVARIANT(inserted);
    const record &added = place->second;
    m_byDeadline.emplace(added.deadline, ref);
    m_byNode[ref.incarnation].insert(ref);
    ++m_byTier.at(added.tier);
    if (added.preemptible)
        m_preemptible.at(added.tier).emplace(added.since, ref);
}

std::optional<dispatch_table::record> dispatch_table::remove(request_ref ref)
{
    auto node = m_records.extract(ref);
    if (node.empty())
        return std::nullopt;
    record &item = node.mapped();
    m_byDeadline.erase({item.deadline, ref});
    m_preemptible.at(item.tier).erase({item.since, ref});
    m_preempting.erase(ref);
    --m_byTier.at(item.tier);
    const auto ofNode = m_byNode.find(ref.incarnation);
    ofNode->second.erase(ref);
    if (ofNode->second.empty())
        m_byNode.erase(ofNode);
    return std::move(item);
}

std::vector<dispatch_table::record> dispatch_table::removeExpired(core::time_point now)
{
    std::vector<record> expired;
    while (!m_byDeadline.empty() && m_byDeadline.begin()->first <= now)
        expired.push_back(*remove(m_byDeadline.begin()->second));
    return expired;
}

void dispatch_table::noteListed(const request_ref &ref, std::uint64_t sequence)
{
    const auto found = m_records.find(ref);
    if (found != m_records.end())
        found->second.listedSequence = std::max(found->second.listedSequence, sequence);
}

std::vector<dispatch_table::record>
dispatch_table::removeAbsent(core::incarnation incarnation, std::uint64_t sequence,
                             const std::unordered_set<request_ref> &listed)
{
    std::vector<record> removed;
    const auto ofNode = m_byNode.find(incarnation);
    if (ofNode == m_byNode.end())
        return removed;
    std::vector<request_ref> absent;
    for (const request_ref &ref : ofNode->second) {
        const record &item = m_records.at(ref);
        const bool wasListed = item.listedSequence != 0 && item.listedSequence < sequence;
        const bool isVoid = !item.foreign && sequence >= item.leaseSequence + permitRounds;
        if (!listed.contains(ref) && (wasListed || isVoid))
            absent.push_back(ref);
    }
    removed.reserve(absent.size());
    for (const request_ref &ref : absent)
        removed.push_back(*remove(ref));
    return removed;
}

bool dispatch_table::preemptibleBelow(core::tier tier) const
{
    for (std::size_t lower = tier + std::size_t{1}; lower < core::tierCount; ++lower) {
        if (!m_preemptible.at(lower).empty())
            return true;
    }
    return false;
}

const dispatch_table::record *
dispatch_table::victimBelow(core::tier tier, const std::function<bool(const record &)> &fits) const
{
    for (std::size_t lower = core::tierCount; --lower > tier;) {
        std::size_t tried = 0;
        for (const auto &[since, ref] : m_preemptible.at(lower)) {
            const record &item = m_records.at(ref);
            if (fits(item))
                return &item;
            if (++tried == victimsTried)
                break;
        }
    }
    return nullptr;
}

void dispatch_table::markPreempting(request_ref ref, core::time_point now)
{
    record &item = m_records.at(ref);
    m_preemptible.at(item.tier).erase({item.since, ref});
    item.preempting = true;
    item.preemptSent = now;
    m_preempting.insert(ref);
}

std::vector<const dispatch_table::record *>
dispatch_table::preemptOrdersBefore(core::time_point time, core::time_point now)
{
    std::vector<const record *> due;
    for (const request_ref &ref : m_preempting) {
        record &item = m_records.at(ref);
        if (item.preemptSent >= time)
            continue;
        item.preemptSent = now;
        due.push_back(&item);
    }
    return due;
}

} // namespace comfreypass::scheduling
