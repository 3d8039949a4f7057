#pragma once

#include "core/result.h"
#include "sheet/sheet.h"
#include "sheet/sheet_key.h"

#include <boost/json/value.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace comfreypass::sheet {

/** Parses and validates the text of a sheet. */
using sheet_parser
    = std::function<core::result<std::shared_ptr<const sheet>>(std::string_view text)>;

/**
 * A valid sheet: canonical text, key and parsed model. Immutable and thread-safe to read.
 *
 * The canonical text has no comments, no optional spaces and sorted keys, so that documents with
 * equal content have equal digests on every node, regardless of how they were received.
 */
class sheet_document
{
public:
    /**
     * Parses a document as operators write it (comments and trailing commas are allowed).
     *
     * Errors: the first error of parseJson(), or the error of `parser`.
     */
    static core::result<sheet_document> create(std::string_view text, std::uint64_t serviceIndex,
                                               const sheet_parser &parser);

    /**
     * Parses JSON of at most maxSheetBytes as operators write it. Errors: the first error of
     * sheet::parseJson(). Thread-safe.
     */
    static core::result<boost::json::value> parseJson(std::string_view text);

    /** Returns JSON text with sorted keys and without optional spaces. Thread-safe. */
    static std::string canonicalText(const boost::json::value &value);

    const std::string &text() const noexcept { return m_text; }
    const sheet_key &key() const noexcept { return m_key; }
    const std::shared_ptr<const sheet> &model() const noexcept { return m_model; }

    /** Returns the same document with a later index of the service. */
    sheet_document withServiceIndex(std::uint64_t serviceIndex) const;

private:
    sheet_document(std::string text, sheet_key key, std::shared_ptr<const sheet> model);

    std::string m_text;
    sheet_key m_key;
    std::shared_ptr<const sheet> m_model;
};

} // namespace comfreypass::sheet
