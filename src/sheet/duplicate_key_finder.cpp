#include "sheet/duplicate_key_finder.h"

#include "sheet/json_pointer.h"

namespace comfreypass::sheet {

std::string duplicate_key_finder::pointer() const
{
    std::string result;
    for (const level &each : m_levels) {
        if (each.isObject ? each.keys.empty() : each.elements == 0)
            break;
        result = childPointer(result, each.isObject ? each.key : std::to_string(each.elements - 1));
    }
    return result;
}

bool duplicate_key_finder::on_object_begin(json_error &)
{
    return openContainer(true);
}

bool duplicate_key_finder::on_object_end(std::size_t, json_error &)
{
    return closeContainer();
}

bool duplicate_key_finder::on_array_begin(json_error &)
{
    return openContainer(false);
}

bool duplicate_key_finder::on_array_end(std::size_t, json_error &)
{
    return closeContainer();
}

bool duplicate_key_finder::on_key_part(json_text part, std::size_t, json_error &)
{
    m_key.append(part.data(), part.size());
    return true;
}

bool duplicate_key_finder::on_key(json_text part, std::size_t, json_error &)
{
    m_key.append(part.data(), part.size());
    level &object = m_levels.back();
    const bool isNew = object.keys.insert(m_key).second;
    object.key = std::move(m_key);
    m_key.clear();
    if (!isNew) {
        m_errors.push_back({core::errc::ValidationFailed, pointer(),
                            "the key \"" + object.key + "\" is given twice",
                            "keep one of the two entries"});
    }
    return true;
}

bool duplicate_key_finder::openContainer(bool isObject)
{
    countElement();
    m_levels.push_back({isObject, {}, {}, 0});
    return true;
}

bool duplicate_key_finder::closeContainer()
{
    m_levels.pop_back();
    return true;
}

bool duplicate_key_finder::addScalar()
{
    countElement();
    return true;
}

void duplicate_key_finder::countElement()
{
    if (!m_levels.empty() && !m_levels.back().isObject)
        ++m_levels.back().elements;
}

} // namespace comfreypass::sheet
