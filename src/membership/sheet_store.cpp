#include "membership/sheet_store.h"

#include "sheet/merge_patch.h"

#include <boost/json/serialize.hpp>

#include <algorithm>
#include <utility>

namespace comfreypass::membership {

sheet_store::sheet_store(sheet::sheet_parser parser) : m_parser(std::move(parser)) { }

sheet::sheet_key sheet_store::key() const noexcept
{
    return m_current ? m_current->key() : sheet::sheet_key{};
}

sheet_store::offer_result sheet_store::offer(std::string_view text, std::uint64_t serviceIndex,
                                             core::time_point now)
{
    auto document = sheet::sheet_document::create(text, serviceIndex, m_parser);
    if (!document)
        return rejectOffer(document.error());
    return applyOffer(std::move(document).value(), now);
}

sheet_store::offer_result sheet_store::offerAnnounced(std::string_view text,
                                                      const sheet::sheet_key &target,
                                                      core::time_point now)
{
    auto document = sheet::sheet_document::create(text, target.serviceIndex, m_parser);
    if (!document)
        return rejectOffer(document.error());
    if (document.value().key() != target) {
        return rejectOffer({core::errc::ValidationFailed, "",
                            "the document's revision or digest is not the announced one", ""});
    }
    return applyOffer(std::move(document).value(), now);
}

sheet_store::offer_result sheet_store::offerPatch(std::string_view mergePatch,
                                                  const sheet::sheet_key &target,
                                                  core::time_point now)
{
    if (!m_current)
        return rejectOffer({core::errc::NotFound, "", "there is no sheet to apply a patch to", ""});
    const auto patch = sheet::sheet_document::parseJson(mergePatch);
    if (!patch)
        return rejectOffer(patch.error());
    auto base = sheet::sheet_document::parseJson(m_current->text());
    if (!base)
        return rejectOffer(base.error());
    const auto patched = sheet::applyMergePatch(std::move(base).value(), patch.value());
    return offerAnnounced(sheet::sheet_document::canonicalText(patched), target, now);
}

std::optional<std::string> sheet_store::patchFrom(const sheet::sheet_key &base)
{
    if (!m_current)
        return std::nullopt;
    // The service index is not part of the content.
    if (base.digest == m_current->key().digest)
        return "{}";
    const auto old = std::find_if(
        m_previousTexts.begin(), m_previousTexts.end(),
        [&base](const previous_text &item) { return item.key.digest == base.digest; });
    if (old == m_previousTexts.end())
        return std::nullopt;
    const auto known = m_patches.find(old->key);
    if (known != m_patches.end())
        return known->second;

    std::optional<std::string> text;
    auto from = sheet::sheet_document::parseJson(old->text);
    const auto to = sheet::sheet_document::parseJson(m_current->text());
    if (from && to) {
        const auto patch = sheet::createMergePatch(from.value(), to.value());
        // A merge patch cannot express a null value; the receiver then needs the whole document.
        if (sheet::applyMergePatch(std::move(from).value(), patch) == to.value())
            text = boost::json::serialize(patch);
    }
    if (text && text->size() >= m_current->text().size())
        text.reset();
    m_patches.emplace(old->key, text);
    return text;
}

sheet_store::offer_result sheet_store::applyOffer(sheet::sheet_document document,
                                                  core::time_point now)
{
    offer_result result;
    result.key = document.key();
    const sheet::sheet_key inForce = key();
    result.adopted = !m_current || result.key > inForce;
    if (m_current && result.key.revision == inForce.revision) {
        if (result.key.digest == inForce.digest) {
            result.status = offer_status::Same;
            if (result.adopted) {
                m_current = std::make_shared<const sheet::sheet_document>(
                    m_current->withServiceIndex(result.key.serviceIndex));
            }
            return result;
        }
        result.status = offer_status::Conflict;
        ++m_conflicts;
    } else {
        result.status = result.adopted ? offer_status::Accepted : offer_status::Older;
    }
    if (!result.adopted) {
        ++m_rejected;
        return result;
    }
    replaceCurrent(std::move(document), now);
    return result;
}

sheet_store::offer_result sheet_store::rejectOffer(core::error reason)
{
    ++m_rejected;
    offer_result result;
    result.reason = std::move(reason);
    return result;
}

void sheet_store::replaceCurrent(sheet::sheet_document document, core::time_point now)
{
    if (m_current)
        m_previousTexts.push_back({m_current->key(), m_current->text()});
    m_current = std::make_shared<const sheet::sheet_document>(std::move(document));
    m_adoptedAt = now;
    m_patches.clear();

    std::size_t bytes = 0;
    for (const previous_text &item : m_previousTexts)
        bytes += item.text.size();
    while (!m_previousTexts.empty()
           && (m_previousTexts.size() > maxPreviousTexts || bytes > maxPreviousBytes)) {
        bytes -= m_previousTexts.front().text.size();
        m_previousTexts.pop_front();
    }
}

} // namespace comfreypass::membership
