#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace comfreypass::observe {

/** One line of a node's log. */
struct log_entry
{
    /** As the node wrote it: UTC with milliseconds, so that the text's order is that of time. */
    std::string time;
    std::string node;
    std::string event;
    std::string message;
    /** The other fields, in their order. */
    std::vector<std::pair<std::string, std::string>> fields;

    /** The value of a field; empty if there is none. */
    std::string_view field(std::string_view name) const noexcept;
};

/**
 * Collects from the logs of several nodes what concerns one request: its own lines, and what the
 * nodes that held it had learned before. Lines may come in any order; each node is read by its own
 * clock. Not thread-safe.
 */
class request_timeline
{
public:
    explicit request_timeline(std::string id) : m_id(std::move(id)) { }

    /**
     * Takes one line. Text before the first brace is ignored, since collectors often add a prefix;
     * lines that are no log lines are counted.
     */
    void feed(std::string_view line);

    /** The request's own lines by time; empty if no line names it. */
    std::vector<log_entry> ownLines() const;

    /**
     * What a node of the request had learned by then: the latest configuration, the state of its
     * source of records and of its process, and what happened to the request's engines and to
     * peers shortly before.
     */
    std::vector<log_entry> stateEvents() const;

    std::size_t linesRead() const noexcept { return m_lines; }
    std::size_t linesSkipped() const noexcept { return m_skipped; }

private:
    struct state_event_rule;

    bool matchesEngine(const log_entry &stateEvent, const state_event_rule &rule) const;

    std::string m_id;
    std::vector<log_entry> m_own;
    std::vector<log_entry> m_stateEvents;
    std::size_t m_lines = 0;
    std::size_t m_skipped = 0;
};

} // namespace comfreypass::observe
