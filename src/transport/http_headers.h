#pragma once

#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace comfreypass::transport {

/** Header fields of an HTTP message in order; names are compared case-insensitively. */
class http_headers
{
public:
    using field = std::pair<std::string, std::string>;

    http_headers() = default;
    http_headers(std::initializer_list<field> fields) : m_fields(fields) { }

    /** Appends a field; earlier fields of the same name are kept. */
    void add(std::string name, std::string value);

    /** Returns the value of the first field of this name; valid until the next change. */
    std::optional<std::string_view> find(std::string_view name) const noexcept;

    bool empty() const noexcept { return m_fields.empty(); }
    auto begin() const noexcept { return m_fields.begin(); }
    auto end() const noexcept { return m_fields.end(); }

private:
    std::vector<field> m_fields;
};

} // namespace comfreypass::transport
