#pragma once

#include "core/error.h"
#include "core/time_point.h"
#include "sheet/sheet_document.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace comfreypass::membership {

/** The sheet in force and the texts of its predecessors, for patches. Not thread-safe. */
class sheet_store
{
public:
    static constexpr std::size_t maxPreviousTexts = 8;
    /** Bound of all old texts together, within the 8 MB that a node may use for its state. */
    static constexpr std::size_t maxPreviousBytes = 4'000'000;

    enum class offer_status : std::uint8_t {
        /** The document is in force now. */
        Accepted,
        /** The content in force; a greater service index was taken over. */
        Same,
        /** The document's key is smaller; the sheet in force stays. */
        Older,
        /** Equal revision, other content; the document is in force only if `taken`. */
        Conflict,
        /** Not a valid sheet, or not the one that was announced; the sheet in force stays. */
        Invalid,
    };

    struct offer_result
    {
        offer_status status = offer_status::Invalid;
        /** True if the key in force grew. */
        bool adopted = false;
        /** Key of the offered document; all zero if it is invalid. */
        sheet::sheet_key key;
        /** Why the document was not accepted, if it is invalid. */
        core::error reason;
    };

    explicit sheet_store(sheet::sheet_parser parser);

    /** The document in force; null before the first one. */
    std::shared_ptr<const sheet::sheet_document> current() const noexcept { return m_current; }
    /** Key in force; all zero before the first sheet. */
    sheet::sheet_key key() const noexcept;
    /** When the document in force was taken. */
    core::time_point adoptedAt() const noexcept { return m_adoptedAt; }

    /** Offers the configuration service's value. */
    offer_result offer(std::string_view text, std::uint64_t serviceIndex, core::time_point now);
    /** Offers a document that a peer announced as `target`; revision and digest must match it. */
    offer_result offerAnnounced(std::string_view text, const sheet::sheet_key &target,
                                core::time_point now);
    /** Applies a merge patch to the document in force and offers the result. */
    offer_result offerPatch(std::string_view mergePatch, const sheet::sheet_key &target,
                            core::time_point now);

    /**
     * Merge patch from a document that was in force here to the present one; none if the base is
     * unknown, or if a patch cannot express the change or is not smaller than the document.
     */
    std::optional<std::string> patchFrom(const sheet::sheet_key &base);

    std::uint64_t conflicts() const noexcept { return m_conflicts; }
    std::uint64_t rejected() const noexcept { return m_rejected; }

private:
    struct previous_text
    {
        sheet::sheet_key key;
        std::string text;
    };

    offer_result applyOffer(sheet::sheet_document document, core::time_point now);
    offer_result rejectOffer(core::error reason);
    void replaceCurrent(sheet::sheet_document document, core::time_point now);

    sheet::sheet_parser m_parser;
    std::shared_ptr<const sheet::sheet_document> m_current;
    core::time_point m_adoptedAt;
    std::deque<previous_text> m_previousTexts;
    /** Patches to the present document by base; neighbours ask for the same ones. */
    std::map<sheet::sheet_key, std::optional<std::string>> m_patches;
    std::uint64_t m_conflicts = 0;
    std::uint64_t m_rejected = 0;
};

} // namespace comfreypass::membership
