#pragma once

#include <boost/smart_ptr/shared_ptr.hpp>

#include <cstdint>
#include <initializer_list>
#include <iosfwd>
#include <memory>
#include <string>
#include <string_view>

namespace comfreypass::observe {

enum class log_format : std::uint8_t { Text, Json };
enum class log_level : std::uint8_t { Debug, Info, Warning, Error };

/** Stable lower-case word for a level. Thread-safe. */
std::string_view toString(log_level level) noexcept;

/** A named value of a log line. */
struct log_field
{
    std::string_view name;
    std::string_view value;
};

/**
 * Connects the log to a stream for as long as the object lives; there is at most one at a time.
 *
 * Lines are written by a thread of the log back end. When 4,096 lines wait, further ones are
 * dropped, so that a blocked output never stops the node.
 */
class log_setup
{
public:
    /** `node` becomes a field of every line. */
    log_setup(log_format format, log_level minLevel, std::string node,
              const boost::shared_ptr<std::ostream> &output);
    ~log_setup();
    log_setup(const log_setup &) = delete;
    log_setup &operator=(const log_setup &) = delete;

private:
    class sink;
    std::unique_ptr<sink> m_sink;
};

/**
 * Writes one line: the time, the level, the name of the event in snake_case, a message for people
 * and fields. Without a log_setup the line goes nowhere. Thread-safe.
 */
void logEvent(log_level level, std::string_view event, std::string_view message,
              std::initializer_list<log_field> fields = {});

} // namespace comfreypass::observe
