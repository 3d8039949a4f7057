#pragma once

#include "dispatch/configuration.h"

#include <cstddef>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace comfreypass::dispatch {

/** Lookup tables of one configuration. Immutable and thread-safe to read. */
class routing_index
{
public:
    explicit routing_index(configuration settings);

    const configuration &settings() const noexcept { return m_settings; }

    /**
     * Returns the route of a host with the longest matching path prefix; nullptr if there is none.
     * Port and case of `host` are ignored.
     */
    const route *find(std::string_view host, std::string_view path) const;

    /** Returns the team that owns a key; nullptr if there is none. */
    const team *teamOfKey(std::string_view key) const;

    const upstream_settings *upstream(std::string_view name) const;

    /**
     * Returns the upstreams of streaming routes with at least this objective; none if it is zero.
     */
    std::set<std::string, std::less<>> streamingUpstreams(core::duration minObjective) const;

    /** Returns true if requests of routes that are not public need a key. */
    bool needsKeys() const noexcept { return !m_settings.teams.empty(); }

private:
    struct text_hash
    {
        using is_transparent = void;
        std::size_t operator()(std::string_view text) const noexcept
        {
            return std::hash<std::string_view>{}(text);
        }
    };
    template<class Value>
    using text_map = std::unordered_map<std::string, Value, text_hash, std::equal_to<>>;

    configuration m_settings;
    /** Indexes into settings().routes, longest prefix first. */
    text_map<std::vector<std::size_t>> m_routesByHost;
    text_map<std::size_t> m_teamByKey;
    text_map<std::size_t> m_upstreamByName;
};

} // namespace comfreypass::dispatch
