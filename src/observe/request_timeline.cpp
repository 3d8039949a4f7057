#include "observe/request_timeline.h"

#include <boost/json/parse.hpp>

#include <algorithm>
#include <array>
#include <map>
#include <optional>

namespace comfreypass::observe {

namespace {

namespace json = boost::json;

/** Length of a timestamp such as "2026-03-24T13:09:44.602Z" up to its seconds. */
constexpr std::size_t timestampSecondsLength = 19;

/** Events without a topic are omitted if older, as they rarely explain the request. */
constexpr int maxEventAgeSeconds = 10;

std::optional<log_entry> parseEntry(std::string_view line)
{
    const std::size_t brace = line.find('{');
    if (brace == std::string_view::npos)
        return std::nullopt;
    line.remove_prefix(brace);
    boost::system::error_code error;
    const json::value value = json::parse({line.data(), line.size()}, error);
    if (error || !value.is_object())
        return std::nullopt;
    log_entry entry;
    for (const auto &[name, field] : value.get_object()) {
        if (!field.is_string())
            continue;
        const std::string text(field.get_string());
        if (name == "time")
            entry.time = text;
        else if (name == "node")
            entry.node = text;
        else if (name == "event")
            entry.event = text;
        else if (name == "message")
            entry.message = text;
        else if (name != "level")
            entry.fields.emplace_back(name, text);
    }
    if (entry.event.empty() || entry.time.size() < timestampSecondsLength)
        return std::nullopt;
    return entry;
}

/** Returns the second of the day; sufficient because the compared lines are close in time. */
int secondOfDay(std::string_view time)
{
    constexpr int secondsPerMinute = 60;
    const auto parseTwoDigits = [time](std::size_t at) {
        return (time[at] - '0') * 10 + (time[at + 1] - '0');
    };
    return (parseTwoDigits(11) * secondsPerMinute + parseTwoDigits(14)) * secondsPerMinute
           + parseTwoDigits(17);
}

bool isRecent(const log_entry &stateEvent, const log_entry &own)
{
    return secondOfDay(own.time) - secondOfDay(stateEvent.time) <= maxEventAgeSeconds;
}

} // namespace

std::string_view log_entry::field(std::string_view name) const noexcept
{
    const auto found = std::ranges::find(fields, name, &std::pair<std::string, std::string>::first);
    return found == fields.end() ? std::string_view() : std::string_view(found->second);
}

/** Selects the log events that show a node's state. */
struct request_timeline::state_event_rule
{
    std::string_view event;
    /** Only the latest event of a topic is returned; without a topic, every recent event is. */
    std::string_view topic;
    /**
     * Events of an engine are returned if the request used it, or needed one of its upstream;
     * those of a quarantine if the request was refused for it.
     */
    enum class relation : std::uint8_t { Any, SameEngine, SameUpstream, SameQuarantine };
    relation scope;
};

void request_timeline::feed(std::string_view line)
{
    ++m_lines;
    std::optional<log_entry> entry = parseEntry(line);
    if (!entry) {
        ++m_skipped;
        return;
    }
    if (entry->field("request") == m_id)
        m_own.push_back(std::move(*entry));
    else if (entry->field("request").empty())
        m_stateEvents.push_back(std::move(*entry));
}

std::vector<log_entry> request_timeline::requestLines() const
{
    std::vector<log_entry> lines = m_own;
    std::ranges::stable_sort(lines, {}, &log_entry::time);
    return lines;
}

bool request_timeline::matches(const log_entry &stateEvent, const state_event_rule &rule) const
{
    if (rule.scope == state_event_rule::relation::Any)
        return true;
    if (rule.scope == state_event_rule::relation::SameQuarantine) {
        const std::string_view segment = stateEvent.field("segment");
        const std::string_view feature = segment.empty() ? stateEvent.field("digest") : segment;
        return std::ranges::any_of(
            m_own, [&](const log_entry &own) { return own.field("quarantined") == feature; });
    }
    const std::string_view name
        = rule.scope == state_event_rule::relation::SameEngine ? "engine" : "upstream";
    return std::ranges::any_of(m_own, [&](const log_entry &own) {
        return !own.field(name).empty() && own.field(name) == stateEvent.field(name);
    });
}

std::vector<log_entry> request_timeline::stateEvents() const
{
    using enum state_event_rule::relation;
    static constexpr std::array<state_event_rule, 19> rules = {{
        {"node_started", "process", Any},
        {"node_stopping", "process", Any},
        {"configuration_applied", "configuration", Any},
        {"records_lost", "records", Any},
        {"records_regained", "records", Any},
        {"records_from_peer", "peer records", Any},
        {"engine_added", "", SameEngine},
        {"engine_changed", "", SameEngine},
        {"engine_removed", "", SameEngine},
        {"engine_leaving", "", SameUpstream},
        {"engine_paused", "", SameUpstream},
        {"engine_pause_ignored", "", SameEngine},
        {"segment_quarantined", "quarantine", SameQuarantine},
        {"request_quarantined", "quarantine", SameQuarantine},
        {"domain_evacuated", "", Any},
        {"domain_restored", "", Any},
        {"peer_silent", "", Any},
        {"peer_returned", "", Any},
        {"log_lines_left_out", "log", Any},
    }};
    std::vector<log_entry> result;
    // Latest event by node and topic.
    std::map<std::pair<std::string, std::string_view>, log_entry> latest;
    const std::vector<log_entry> own = requestLines();
    for (const log_entry &stateEvent : m_stateEvents) {
        const auto rule = std::ranges::find(rules, std::string_view(stateEvent.event),
                                            &state_event_rule::event);
        const auto last
            = std::ranges::find_if(own.rbegin(), own.rend(), [&](const log_entry &each) {
                  return each.node == stateEvent.node;
              });
        if (rule == rules.end() || last == own.rend() || stateEvent.time > last->time
            || !matches(stateEvent, *rule))
            continue;
        if (rule->topic.empty()) {
            if (isRecent(stateEvent, *last))
                result.push_back(stateEvent);
            continue;
        }
        log_entry &kept = latest[{stateEvent.node, rule->topic}];
        if (kept.time <= stateEvent.time)
            kept = stateEvent;
    }
    for (auto &[key, entry] : latest)
        result.push_back(std::move(entry));
    std::ranges::stable_sort(result, {}, &log_entry::time);
    return result;
}

} // namespace comfreypass::observe
