#pragma once

#include "core/name.h"
#include "core/result.h"
#include "sheet/sheet.h"

#include <boost/json/value.hpp>

#include <cstddef>
#include <string>
#include <string_view>

namespace comfreypass::demo {

/** The sheet document that the demonstration changes while it runs. Not thread-safe. */
class demo_sheet
{
public:
    /** Reads a sheet as operators write it and sets the fleet's size. Errors: ParseFailed,
     * ValidationFailed. */
    static core::result<demo_sheet> parse(std::string_view text, std::size_t entryNodes);

    /** Takes a failure domain out of service or back, under the next revision. */
    void setDomain(const core::domain_name &domain, bool inService);

    /** The present document. */
    std::string text() const;
    std::uint64_t revision() const;
    /** The model of the document as it was read. */
    const sheet::sheet &model() const noexcept { return m_model; }

private:
    demo_sheet(boost::json::value document, sheet::sheet model);

    boost::json::value m_document;
    sheet::sheet m_model;
};

} // namespace comfreypass::demo
