#pragma once

#include "core/name.h"
#include "core/result.h"
#include "sheet/sheet.h"

#include <boost/json/value.hpp>

#include <cstddef>
#include <string>
#include <string_view>

namespace comfreypass::demo {

/** Sheet document that the demonstration modifies at run time. Not thread-safe. */
class demo_sheet
{
public:
    /**
     * Parses a sheet and sets the fleet size to `entryNodes`. Errors: ParseFailed,
     * ValidationFailed.
     */
    static core::result<demo_sheet> parse(std::string_view text, std::size_t entryNodes);

    /** Takes a failure domain out of service or restores it, and increments the revision. */
    void setDomain(const core::domain_name &domain, bool inService);

    /** Returns the current document. */
    std::string text() const;
    std::uint64_t revision() const;
    /** Returns the model of the document as parsed; later changes are not included. */
    const sheet::sheet &model() const noexcept { return m_model; }

private:
    demo_sheet(boost::json::value document, sheet::sheet model);

    boost::json::value m_document;
    sheet::sheet m_model;
};

} // namespace comfreypass::demo
