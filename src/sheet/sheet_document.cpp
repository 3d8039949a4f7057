#include "sheet/sheet_document.h"

#include "core/hash.h"
#include "sheet/parse_json.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <utility>
#include <vector>

namespace comfreypass::sheet {

namespace {

void appendCanonical(const boost::json::value &value, std::string &text);

void appendCanonical(const boost::json::object &object, std::string &text)
{
    std::vector<const boost::json::key_value_pair *> members;
    members.reserve(object.size());
    for (const auto &member : object)
        members.push_back(&member);
    std::sort(members.begin(), members.end(),
              [](const auto *left, const auto *right) { return left->key() < right->key(); });

    text += '{';
    for (const auto *member : members) {
        if (text.back() != '{')
            text += ',';
        text += boost::json::serialize(member->key());
        text += ':';
        appendCanonical(member->value(), text);
    }
    text += '}';
}

void appendCanonical(const boost::json::value &value, std::string &text)
{
    if (value.is_object()) {
        appendCanonical(value.get_object(), text);
    } else if (value.is_array()) {
        text += '[';
        for (const boost::json::value &element : value.get_array()) {
            if (text.back() != '[')
                text += ',';
            appendCanonical(element, text);
        }
        text += ']';
    } else {
        text += boost::json::serialize(value);
    }
}

} // namespace

sheet_document::sheet_document(std::string text, sheet_key key, std::shared_ptr<const sheet> model)
    : m_text(std::move(text)), m_key(key), m_model(std::move(model))
{ }

core::result<boost::json::value> sheet_document::parseJson(std::string_view text)
{
    auto parsed = comfreypass::sheet::parseJson(text, maxSheetBytes);
    if (!parsed)
        return parsed.error().front();
    return std::move(parsed).value();
}

std::string sheet_document::canonicalText(const boost::json::value &value)
{
    std::string text;
    appendCanonical(value, text);
    return text;
}

core::result<sheet_document> sheet_document::create(std::string_view text,
                                                    std::uint64_t serviceIndex,
                                                    const sheet_parser &parser)
{
    const auto parsed = parseJson(text);
    if (!parsed)
        return parsed.error();
    // The parser receives the original text, so that its errors refer to the right positions.
    auto model = parser(text);
    if (!model)
        return model.error();

    std::string canonical = canonicalText(parsed.value());
    const sheet_key key{model.value()->revision, serviceIndex, core::hash64(canonical)};
    return sheet_document(std::move(canonical), key, std::move(model).value());
}

sheet_document sheet_document::withServiceIndex(std::uint64_t serviceIndex) const
{
    sheet_key key = m_key;
    key.serviceIndex = serviceIndex;
    return {m_text, key, m_model};
}

} // namespace comfreypass::sheet
