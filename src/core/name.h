#pragma once

#include <compare>
#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

namespace comfreypass::core {

/** A strongly typed name; names of different kinds are not convertible. Thread-safe to read. */
template<class Tag>
class name
{
public:
    name() = default;
    explicit name(std::string text) : m_text(std::move(text)) { }
    explicit name(std::string_view text) : m_text(text) { }
    explicit name(const char *text) : m_text(text) { }

    const std::string &text() const noexcept { return m_text; }
    bool empty() const noexcept { return m_text.empty(); }

    auto operator<=>(const name &) const = default;

private:
    std::string m_text;
};

using node_name = name<struct node_tag>;
using engine_name = name<struct engine_tag>;
using upstream_name = name<struct upstream_tag>;
using model_name = name<struct model_tag>;
using team_name = name<struct team_tag>;
using domain_name = name<struct domain_tag>;
using half_name = name<struct half_tag>;

} // namespace comfreypass::core

template<class Tag>
struct std::hash<comfreypass::core::name<Tag>>
{
    std::size_t operator()(const comfreypass::core::name<Tag> &value) const noexcept
    {
        return std::hash<std::string_view>{}(value.text());
    }
};
