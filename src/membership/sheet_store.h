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

/** Stores the sheet in force, and the previous texts to create patches from. Not thread-safe. */
class sheet_store
{
public:
    static constexpr std::size_t maxPreviousTexts = 8;
    /** Limit for all previous texts together, within the 8 MB that a node may use for its state. */
    static constexpr std::size_t maxPreviousBytes = 4'000'000;

    enum class offer_status : std::uint8_t {
        /** The document was put in force. */
        Accepted,
        /** The content equals the one in force; a greater service index was adopted. */
        Same,
        /** The document's key is smaller; the sheet in force is unchanged. */
        Older,
        /** The revision is equal but the content differs; the document is in force if `adopted`. */
        Conflict,
        /** Not a valid sheet, or not the announced one; the sheet in force is unchanged. */
        Invalid,
    };

    struct offer_result
    {
        offer_status status = offer_status::Invalid;
        /** True if the key in force increased. */
        bool adopted = false;
        /** Key of the offered document; all zeros if it is invalid. */
        sheet::sheet_key key;
        /** Reason for the rejection of an invalid document. */
        core::error reason;
    };

    explicit sheet_store(sheet::sheet_parser parser);

    /** Returns the document in force; null before the first one. */
    std::shared_ptr<const sheet::sheet_document> current() const noexcept { return m_current; }
    /** Returns the key in force; all zeros before the first sheet. */
    sheet::sheet_key key() const noexcept;
    /** Returns the time at which the document was put in force. */
    core::time_point adoptedAt() const noexcept { return m_adoptedAt; }

    /** Offers the value of the configuration service. */
    offer_result offer(std::string_view text, std::uint64_t serviceIndex, core::time_point now);
    /** Offers a document that a peer announced as `target`; its revision and digest must match. */
    offer_result offerAnnounced(std::string_view text, const sheet::sheet_key &target,
                                core::time_point now);
    /** Applies a merge patch to the document in force and offers the result. */
    offer_result offerPatch(std::string_view mergePatch, const sheet::sheet_key &target,
                            core::time_point now);

    /**
     * Returns a merge patch from a document that was in force here to the current one; empty if the
     * base is unknown, or if a patch cannot express the change or is not smaller than the document.
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
    /** Cache of patches to the current document by base, as neighbours request the same ones. */
    std::map<sheet::sheet_key, std::optional<std::string>> m_patches;
    std::uint64_t m_conflicts = 0;
    std::uint64_t m_rejected = 0;
};

} // namespace comfreypass::membership
