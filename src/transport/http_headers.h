#pragma once

#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace comfreypass::transport {

/** Header fields of an HTTP message in their order; names compare without case. */
class http_headers
{
public:
    using field = std::pair<std::string, std::string>;

    http_headers() = default;
    http_headers(std::initializer_list<field> fields) : m_fields(fields) { }

    /** Appends a field; an earlier one of the same name stays. */
    void add(std::string name, std::string value);

    /** Value of the first field of this name; the view is valid until the next change. */
    std::optional<std::string_view> find(std::string_view name) const noexcept;

    bool empty() const noexcept { return m_fields.empty(); }
    auto begin() const noexcept { return m_fields.begin(); }
    auto end() const noexcept { return m_fields.end(); }

private:
    std::vector<field> m_fields;
};

} // namespace comfreypass::transport
