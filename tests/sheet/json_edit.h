#pragma once

#include <boost/json/value.hpp>

#include <string>

/** Replaces or adds the value at a JSON pointer (no escapes). Precondition: its parent exists. */
inline void setAt(boost::json::value &document, const std::string &pointer,
                  boost::json::value value)
{
    const std::size_t slash = pointer.rfind('/');
    boost::json::value &parent = document.at_pointer(pointer.substr(0, slash));
    const std::string key = pointer.substr(slash + 1);
    if (parent.is_object()) {
        parent.get_object()[key] = std::move(value);
        return;
    }
    boost::json::array &array = parent.get_array();
    const std::size_t index = std::stoul(key);
    if (index >= array.size())
        array.resize(index + 1);
    array[index] = std::move(value);
}
