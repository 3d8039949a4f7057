#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace comfreypass::observe {

/** Parsed line of a node's log. */
struct log_entry
{
    /** UTC timestamp with milliseconds as logged; sorts chronologically as text. */
    std::string time;
    std::string node;
    std::string event;
    std::string message;
    /** Remaining fields except the level, in the order of the line. */
    std::vector<std::pair<std::string, std::string>> fields;

    /** Returns the value of a field; empty if the field is missing. */
    std::string_view field(std::string_view name) const noexcept;
};

/**
 * Collects the log lines of several nodes that relate to one request: lines that carry its id, and
 * preceding state changes on the nodes that handled it. Lines may arrive in any order. Timestamps
 * are only compared within one node, whose clock they come from. Not thread-safe.
 */
class request_timeline
{
public:
    explicit request_timeline(std::string id) : m_id(std::move(id)) { }

    /**
     * Parses one line. Text before the first brace is ignored because log collectors often add a
     * prefix. Lines that cannot be parsed are skipped and counted.
     */
    void feed(std::string_view line);

    /** Returns the lines that carry the request's id, sorted by time. */
    std::vector<log_entry> requestLines() const;

    /**
     * Returns state changes on the request's nodes up to the node's last line of the request,
     * sorted by time: the latest change of the configuration, of the record source and of the
     * process, and recent changes of the request's engines, of failure domains and of peers, and
     * recent statements of engines of its upstream.
     */
    std::vector<log_entry> stateEvents() const;

    std::size_t linesRead() const noexcept { return m_lines; }
    std::size_t linesSkipped() const noexcept { return m_skipped; }

private:
    struct state_event_rule;

    bool matches(const log_entry &stateEvent, const state_event_rule &rule) const;

    std::string m_id;
    std::vector<log_entry> m_own;
    std::vector<log_entry> m_stateEvents;
    std::size_t m_lines = 0;
    std::size_t m_skipped = 0;
};

} // namespace comfreypass::observe
