#include "demo/demo_sheet.h"

#include "sheet/parse_json.h"
#include "sheet/parse_sheet.h"

#include <boost/json.hpp>

#include <utility>

namespace comfreypass::demo {

demo_sheet::demo_sheet(boost::json::value document, sheet::sheet model)
    : m_document(std::move(document)), m_model(std::move(model))
{ }

core::result<demo_sheet> demo_sheet::parse(std::string_view text, std::size_t entryNodes)
{
    auto document = sheet::parseJson(text, sheet::maxSheetBytes);
    if (!document)
        return document.error().front();
    auto parsed = sheet::readSheet(document.value());
    if (!parsed)
        return parsed.error().front();
    boost::json::value changed = std::move(document).value();
    changed.as_object()["fleet"] = {{"entry_nodes", entryNodes}};
    return demo_sheet(std::move(changed), std::move(parsed).value());
}

void demo_sheet::setDomain(const core::domain_name &domain, bool inService)
{
    boost::json::object &document = m_document.as_object();
    document["revision"] = revision() + 1;
    document["failure_domains"].as_object()[domain.text()].as_object()["state"]
        = inService ? "in" : "out";
}

std::string demo_sheet::text() const
{
    return boost::json::serialize(m_document);
}

std::uint64_t demo_sheet::revision() const
{
    return m_document.as_object().at("revision").to_number<std::uint64_t>();
}

} // namespace comfreypass::demo
