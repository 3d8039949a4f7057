#include "sheet/object_reader.h"

#include "sheet/json_pointer.h"

#include <boost/json/serialize.hpp>

#include <algorithm>
#include <cmath>
#include <sstream>

namespace comfreypass::sheet {

namespace {

std::string_view kindName(const boost::json::value &node)
{
    switch (node.kind()) {
    case boost::json::kind::null:
        return "null";
    case boost::json::kind::bool_:
        return "a boolean";
    case boost::json::kind::int64:
    case boost::json::kind::uint64:
    case boost::json::kind::double_:
        return "a number";
    case boost::json::kind::string:
        return "a string";
    case boost::json::kind::array:
        return "an array";
    case boost::json::kind::object:
        return "an object";
    }
    return "of another type";
}

template<class Keywords>
std::string join(const Keywords &keywords)
{
    std::string line;
    for (const auto &keyword : keywords) {
        if (!line.empty())
            line += ", ";
        line += keyword;
    }
    return line;
}

std::string formatReal(double value)
{
    std::ostringstream stream;
    stream << value;
    return stream.str();
}

/** Text of a value for an error message, cut at a length that fits a line. */
std::string quoted(std::string_view text)
{
    constexpr std::size_t longest = 60;
    const bool isCut = text.size() > longest;
    const std::string shown(text.substr(0, longest));
    return boost::json::serialize(boost::json::string(shown)) + (isCut ? "..." : "");
}

} // namespace

object_reader::object_reader(const boost::json::value *node, std::string pointer,
                             std::vector<core::error> &errors)
    : m_pointer(std::move(pointer)), m_errors(&errors)
{
    if (node == nullptr)
        return;
    m_object = node->if_object();
    if (m_object == nullptr)
        addTypeError(m_pointer, "an object", *node);
}

std::string object_reader::pointerTo(std::string_view key) const
{
    return childPointer(m_pointer, key);
}

bool object_reader::has(std::string_view key)
{
    return find(key, presence::Optional) != nullptr;
}

object_reader object_reader::object(std::string_view key, presence needed)
{
    return {find(key, needed), pointerTo(key), *m_errors};
}

void object_reader::entries(std::string_view key, presence needed,
                            const text_validator &nameValidator,
                            const std::function<void(const std::string &, object_reader &)> &each)
{
    const object_reader outer = object(key, needed);
    if (!outer.isPresent())
        return;
    for (const auto &member : *outer.m_object) {
        const std::string name(member.key().data(), member.key().size());
        const std::string place = outer.pointerTo(name);
        if (const char *expected = nameValidator(name)) {
            addError(place, "the key " + quoted(name) + " must be " + expected, "rename it");
            continue;
        }
        object_reader entry(&member.value(), place, *m_errors);
        if (entry.isPresent())
            each(name, entry);
    }
}

void object_reader::elements(std::string_view key, const std::function<void(object_reader &)> &each)
{
    const boost::json::value *node = find(key, presence::Optional);
    if (node == nullptr)
        return;
    const boost::json::array *array = node->if_array();
    if (array == nullptr) {
        addTypeError(pointerTo(key), "an array of objects", *node);
        return;
    }
    for (std::size_t i = 0; i < array->size(); ++i) {
        object_reader element(&array->at(i), childPointer(pointerTo(key), std::to_string(i)),
                              *m_errors);
        if (element.isPresent())
            each(element);
    }
}

void object_reader::texts(std::string_view key, presence needed, const text_validator &validator,
                          std::vector<std::string> &target)
{
    const boost::json::value *node = find(key, needed);
    if (node == nullptr)
        return;
    const boost::json::array *array = node->if_array();
    if (array == nullptr) {
        addTypeError(pointerTo(key), "an array of strings", *node);
        return;
    }
    target.clear();
    for (std::size_t i = 0; i < array->size(); ++i) {
        const boost::json::value &element = array->at(i);
        const std::string place = childPointer(pointerTo(key), std::to_string(i));
        if (!acceptText(element, place, validator))
            continue;
        std::string text(element.get_string().data(), element.get_string().size());
        if (std::find(target.begin(), target.end(), text) != target.end()) {
            addError(place, quoted(text) + " is listed twice", "remove one of the two");
            continue;
        }
        target.push_back(std::move(text));
    }
}

void object_reader::text(std::string_view key, presence needed, const text_validator &validator,
                         std::string &target)
{
    const boost::json::value *node = find(key, needed);
    if (node != nullptr && acceptText(*node, pointerTo(key), validator))
        target.assign(node->get_string().data(), node->get_string().size());
}

void object_reader::boolean(std::string_view key, presence needed, bool &target)
{
    const boost::json::value *node = find(key, needed);
    if (node == nullptr)
        return;
    if (node->is_bool())
        target = node->get_bool();
    else
        addTypeError(pointerTo(key), "true or false", *node);
}

void object_reader::real(std::string_view key, presence needed, value_range<double> range,
                         double &target)
{
    const boost::json::value *node = find(key, needed);
    if (node == nullptr)
        return;
    if (!node->is_number()) {
        addTypeError(pointerTo(key), "a number", *node);
        return;
    }
    const double value = node->to_number<double>();
    // The comparison also refuses infinity, which Boost.JSON makes of numbers such as 1e999.
    if (value >= range.least && value <= range.greatest) {
        target = value;
        return;
    }
    const std::string bounds = formatReal(range.least) + " to " + formatReal(range.greatest);
    addError(pointerTo(key), formatReal(value) + " is out of range",
             "give a number from " + bounds);
}

std::optional<std::int64_t> object_reader::readInteger(std::string_view key, presence needed,
                                                       value_range<std::int64_t> range)
{
    const boost::json::value *node = find(key, needed);
    if (node == nullptr)
        return std::nullopt;
    if (!node->is_number()) {
        addTypeError(pointerTo(key), "an integer", *node);
        return std::nullopt;
    }
    boost::json::error_code code;
    const auto value = node->to_number<std::int64_t>(code);
    if (!code && value >= range.least && value <= range.greatest)
        return value;
    const std::string bounds
        = std::to_string(range.least) + " to " + std::to_string(range.greatest);
    const bool isFraction
        = node->is_double() && node->get_double() != std::floor(node->get_double());
    addError(pointerTo(key),
             boost::json::serialize(*node)
                 + (isFraction ? " is not an integer" : " is out of range"),
             "give an integer from " + bounds);
    return std::nullopt;
}

std::optional<std::size_t> object_reader::readKeyword(std::string_view key, presence needed,
                                                      std::span<const std::string_view> keywords)
{
    const boost::json::value *node = find(key, needed);
    if (node == nullptr)
        return std::nullopt;
    const boost::json::string *text = node->if_string();
    if (text == nullptr) {
        addTypeError(pointerTo(key), "one of the words " + join(keywords), *node);
        return std::nullopt;
    }
    const std::string_view given(text->data(), text->size());
    const auto found = std::find(keywords.begin(), keywords.end(), given);
    if (found != keywords.end())
        return static_cast<std::size_t>(found - keywords.begin());
    addError(pointerTo(key), quoted(given) + " is not a known word",
             "use one of: " + join(keywords));
    return std::nullopt;
}

void object_reader::reportUnknownKeys()
{
    if (m_object == nullptr)
        return;
    for (const auto &member : *m_object) {
        const std::string_view key(member.key().data(), member.key().size());
        if (std::find(m_known.begin(), m_known.end(), key) == m_known.end()) {
            addError(pointerTo(key), "the key " + quoted(key) + " is unknown",
                     "remove it or use one of: " + join(m_known));
        }
    }
}

void object_reader::addError(std::string pointer, std::string detail, std::string remedy)
{
    m_errors->push_back(
        {core::errc::ValidationFailed, std::move(pointer), std::move(detail), std::move(remedy)});
}

const boost::json::value *object_reader::find(std::string_view key, presence needed)
{
    if (std::find(m_known.begin(), m_known.end(), key) == m_known.end())
        m_known.emplace_back(key);
    if (m_object == nullptr)
        return nullptr;
    const boost::json::value *node
        = m_object->if_contains(boost::json::string_view(key.data(), key.size()));
    if (node == nullptr && needed == presence::Required) {
        addError(pointerTo(key), "the key \"" + std::string(key) + "\" is missing", "add it");
    }
    return node;
}

bool object_reader::acceptText(const boost::json::value &node, const std::string &pointer,
                               const text_validator &validator)
{
    const boost::json::string *text = node.if_string();
    if (text == nullptr) {
        addTypeError(pointer, "a string", node);
        return false;
    }
    const std::string_view given(text->data(), text->size());
    const char *expected = validator(given);
    if (expected == nullptr)
        return true;
    addError(pointer, quoted(given) + " is not accepted", std::string("give ") + expected);
    return false;
}

void object_reader::addTypeError(const std::string &pointer, std::string_view expected,
                                 const boost::json::value &found)
{
    addError(pointer, "is " + std::string(kindName(found)),
             "give " + std::string(expected) + " instead");
}

} // namespace comfreypass::sheet
