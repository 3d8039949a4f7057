#pragma once

#include "core/error.h"

#include <boost/json/error.hpp>
#include <boost/json/string_view.hpp>

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace comfreypass::sheet {

/**
 * Handler of boost::json::basic_parser that reports duplicate keys of an object and tracks the
 * position of the parser.
 */
class duplicate_key_finder
{
public:
    /** Returns the JSON pointer of the value that is being parsed. */
    std::string pointer() const;

    /** Returns one error for each duplicate key, in document order. */
    const std::vector<core::error> &errors() const noexcept { return m_errors; }

    // basic_parser requires the names below.
    // NOLINTBEGIN(readability-identifier-naming)
    using json_error = boost::json::error_code;
    using json_text = boost::json::string_view;

    static constexpr std::size_t max_object_size = static_cast<std::size_t>(-1);
    static constexpr std::size_t max_array_size = static_cast<std::size_t>(-1);
    static constexpr std::size_t max_key_size = static_cast<std::size_t>(-1);
    static constexpr std::size_t max_string_size = static_cast<std::size_t>(-1);

    bool on_document_begin(json_error &) noexcept { return true; }
    bool on_document_end(json_error &) noexcept { return true; }
    bool on_object_begin(json_error &);
    bool on_object_end(std::size_t, json_error &);
    bool on_array_begin(json_error &);
    bool on_array_end(std::size_t, json_error &);
    bool on_key_part(json_text part, std::size_t, json_error &);
    bool on_key(json_text part, std::size_t, json_error &);
    bool on_string_part(json_text, std::size_t, json_error &) noexcept { return true; }
    bool on_string(json_text, std::size_t, json_error &) { return addScalar(); }
    bool on_number_part(json_text, json_error &) noexcept { return true; }
    bool on_int64(std::int64_t, json_text, json_error &) { return addScalar(); }
    bool on_uint64(std::uint64_t, json_text, json_error &) { return addScalar(); }
    bool on_double(double, json_text, json_error &) { return addScalar(); }
    bool on_bool(bool, json_error &) { return addScalar(); }
    bool on_null(json_error &) { return addScalar(); }
    bool on_comment_part(json_text, json_error &) noexcept { return true; }
    bool on_comment(json_text, json_error &) noexcept { return true; }
    // NOLINTEND(readability-identifier-naming)

private:
    /** An object or array that is still open. */
    struct level
    {
        bool isObject = false;
        std::string key;
        std::set<std::string, std::less<>> keys;
        std::size_t elements = 0;
    };

    bool openContainer(bool isObject);
    bool closeContainer();
    bool addScalar();
    void countElement();

    std::vector<level> m_levels;
    std::string m_key;
    std::vector<core::error> m_errors;
};

} // namespace comfreypass::sheet
