#include "membership/sheet_dissemination.h"

#include "sheet/sheet.h"

#include <algorithm>
#include <string_view>
#include <utility>

namespace comfreypass::membership {

sheet_dissemination::sheet_dissemination(sheet_store &store, membership_settings settings)
    : m_store(store), m_settings(settings)
{ }

sheet_dissemination::step sheet_dissemination::onPeerKey(const core::node_name &from,
                                                         const sheet::sheet_key &key,
                                                         core::time_point now)
{
    if (key <= m_store.key()) {
        m_peersAhead.erase(from);
        return {};
    }
    const auto unusable = m_unusablePeers.find(from);
    if (unusable != m_unusablePeers.end()) {
        if (unusable->second.key == key && now < unusable->second.until)
            return {};
        m_unusablePeers.erase(unusable);
    }
    const auto [known, added] = m_peersAhead.insert_or_assign(from, key);
    if (m_transfer)
        return {};
    // A neighbour that did not reply is retried by tick() only, not at each of its pings.
    if (m_triedPeers.contains(from) && !added)
        return {};
    return request(now);
}

sheet_dissemination::step sheet_dissemination::tick(core::time_point now)
{
    if (m_transfer) {
        if (now - m_transfer->lastProgress < m_settings.sheetRequestTimeout)
            return {};
        m_triedPeers.insert(m_transfer->from);
        m_transfer.reset();
        if (++m_timeouts >= maxPatchTimeouts)
            m_requestWhole = true;
    }
    return request(now);
}

sheet_dissemination::step sheet_dissemination::request(core::time_point now)
{
    const sheet::sheet_key own = m_store.key();
    std::erase_if(m_peersAhead, [&own](const auto &item) { return item.second <= own; });
    if (m_peersAhead.empty()) {
        m_triedPeers.clear();
        m_requestWhole = false;
        m_timeouts = 0;
        return {};
    }
    const bool allPeersTried
        = std::all_of(m_peersAhead.begin(), m_peersAhead.end(),
                      [this](const auto &item) { return m_triedPeers.contains(item.first); });
    if (allPeersTried)
        m_triedPeers.clear();

    const std::pair<const core::node_name, sheet::sheet_key> *best = nullptr;
    for (const auto &candidate : m_peersAhead) {
        if (!m_triedPeers.contains(candidate.first)
            && (best == nullptr || candidate.second > best->second))
            best = &candidate;
    }
    const bool whole = m_requestWhole || !m_store.current();
    m_transfer = transfer{best->first, best->second, whole, {}, now};
    step result;
    result.messages.push_back({best->first, sheet_request{own, best->second, 0, whole}});
    return result;
}

sheet_dissemination::step sheet_dissemination::onRequest(const core::node_name &from,
                                                         const sheet_request &request) const
{
    step result;
    const auto current = m_store.current();
    if (!current || current->key() <= request.have)
        return result;
    if (!request.whole) {
        auto patch = m_store.patchFrom(request.have);
        if (patch && patch->size() <= maxPatchBytes) {
            result.messages.push_back(
                {from, sheet_patch{request.have, current->key(), std::move(*patch)}});
            return result;
        }
    }
    const std::string_view text = current->text();
    // A transfer of an older document cannot be continued; the reply starts the current one.
    const bool continues = request.whole && request.want == current->key();
    const std::size_t offset = continues ? request.offset : 0;
    if (offset >= text.size())
        return result;
    sheet_chunk chunk;
    chunk.target = current->key();
    chunk.offset = static_cast<std::uint32_t>(offset);
    chunk.totalBytes = static_cast<std::uint32_t>(text.size());
    chunk.bytes = text.substr(offset, chunkBytes);
    result.messages.push_back({from, std::move(chunk)});
    return result;
}

sheet_dissemination::step sheet_dissemination::onPatch(const core::node_name &from,
                                                       const sheet_patch &patch,
                                                       core::time_point now)
{
    // Only replies to the running request are accepted, which bounds the work peers can cause.
    if (!m_transfer || m_transfer->from != from || m_transfer->whole
        || patch.mergePatch.size() > maxPatchBytes)
        return {};
    if (patch.target <= m_store.key() || patch.base.digest != m_store.key().digest) {
        m_transfer.reset();
        return request(now);
    }
    auto offered = m_store.offerPatch(patch.mergePatch, patch.target, now);
    if (!offered.adopted)
        m_requestWhole = true;
    return finishTransfer(std::move(offered), from, patch.target, now);
}

sheet_dissemination::step sheet_dissemination::onChunk(const core::node_name &from,
                                                       const sheet_chunk &chunk,
                                                       core::time_point now)
{
    if (!m_transfer || m_transfer->from != from || chunk.totalBytes > sheet::maxSheetBytes
        || chunk.bytes.empty() || chunk.bytes.size() > chunkBytes)
        return {};
    if (chunk.target <= m_store.key()) {
        m_transfer.reset();
        return request(now);
    }
    if (chunk.offset == 0) {
        // The neighbour may have a newer sheet by now than the requested one.
        m_transfer->target = chunk.target;
        m_transfer->whole = true;
        m_transfer->bytes.clear();
    }
    if (chunk.target != m_transfer->target || chunk.offset != m_transfer->bytes.size()
        || chunk.offset + chunk.bytes.size() > chunk.totalBytes)
        return {};
    m_transfer->bytes += chunk.bytes;
    m_transfer->lastProgress = now;
    if (m_transfer->bytes.size() < chunk.totalBytes) {
        step result;
        const auto offset = static_cast<std::uint32_t>(m_transfer->bytes.size());
        result.messages.push_back({from, sheet_request{m_store.key(), chunk.target, offset, true}});
        return result;
    }
    const std::string text = std::move(m_transfer->bytes);
    return finishTransfer(m_store.offerAnnounced(text, chunk.target, now), from, chunk.target, now);
}

sheet_dissemination::step sheet_dissemination::finishTransfer(sheet_store::offer_result result,
                                                              const core::node_name &from,
                                                              const sheet::sheet_key &target,
                                                              core::time_point now)
{
    const bool adopted = result.adopted;
    const bool wasWhole = m_transfer->whole;
    m_transfer.reset();
    step next;
    if (adopted) {
        m_triedPeers.clear();
        m_unusablePeers.clear();
        m_requestWhole = false;
        m_timeouts = 0;
        next = request(now);
    } else if (!wasWhole) {
        // Requests the whole document from the same neighbour.
        next = request(now);
    } else {
        m_unusablePeers.insert_or_assign(from, unusable_document{target, now + unusableRetryDelay});
        m_peersAhead.erase(from);
        next = request(now);
    }
    result.key = target;
    next.offered = std::move(result);
    return next;
}

void sheet_dissemination::removePeer(const core::node_name &name)
{
    m_peersAhead.erase(name);
    m_triedPeers.erase(name);
    m_unusablePeers.erase(name);
    if (m_transfer && m_transfer->from == name)
        m_transfer.reset();
}

std::optional<sheet::sheet_key> sheet_dissemination::wanted() const
{
    std::optional<sheet::sheet_key> newest;
    for (const auto &[name, key] : m_peersAhead) {
        if (key > m_store.key() && (!newest || key > *newest))
            newest = key;
    }
    return newest;
}

} // namespace comfreypass::membership
