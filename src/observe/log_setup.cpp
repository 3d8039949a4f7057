#include "observe/log_setup.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <boost/log/attributes/clock.hpp>
#include <boost/log/attributes/value_extraction.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/async_frontend.hpp>
#include <boost/log/sinks/bounded_fifo_queue.hpp>
#include <boost/log/sinks/drop_on_overflow.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/global_logger_storage.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/utility/manipulators/add_value.hpp>

#include <array>
#include <atomic>
#include <chrono>
#include <cstddef>
#include <ctime>
#include <utility>
#include <vector>

namespace comfreypass::observe {

namespace {

namespace blog = boost::log;

using field_list = std::vector<std::pair<std::string, std::string>>;

BOOST_LOG_ATTRIBUTE_KEYWORD(levelAttribute, "Severity", log_level)
BOOST_LOG_ATTRIBUTE_KEYWORD(eventAttribute, "Event", std::string)
BOOST_LOG_ATTRIBUTE_KEYWORD(timeAttribute, "Time", std::string)
BOOST_LOG_ATTRIBUTE_KEYWORD(fieldsAttribute, "Fields", field_list)

BOOST_LOG_INLINE_GLOBAL_LOGGER_DEFAULT(eventLogger, blog::sources::severity_logger_mt<log_level>)

constexpr int loggingDisabled = 100;

/**
 * Lowest level that is written. Lines are discarded while no sink is registered, because Boost.Log
 * would otherwise write them to its default sink, the standard output.
 */
std::atomic<int> minWrittenLevel = loggingDisabled;

/** Returns the current UTC time in the form 2026-01-31T08:05:09.123Z. */
std::string utcTime()
{
    using namespace std::chrono;
    const auto now = system_clock::now();
    const std::time_t seconds = system_clock::to_time_t(now);
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    const auto fraction = duration_cast<milliseconds>(now.time_since_epoch()).count() % 1'000;
    std::array<char, 32> buffer{};
    const std::size_t size
        = std::strftime(buffer.data(), buffer.size(), "%Y-%m-%dT%H:%M:%S", &parts);
    const std::string digits = std::to_string(1'000 + fraction).substr(1);
    return std::string(buffer.data(), size) + "." + digits + "Z";
}

template<class Keyword>
typename Keyword::value_type valueOf(const blog::record_view &record, const Keyword &keyword)
{
    const auto value = record[keyword];
    return value ? *value : typename Keyword::value_type{};
}

std::string messageOf(const blog::record_view &record)
{
    const auto value = record[blog::expressions::smessage];
    return value ? *value : std::string{};
}

boost::json::string_view toJsonView(std::string_view text)
{
    return {text.data(), text.size()};
}

void formatJson(const std::string &node, const blog::record_view &record,
                blog::formatting_ostream &out)
{
    boost::json::object line;
    line["time"] = valueOf(record, timeAttribute);
    line["level"] = toJsonView(toString(valueOf(record, levelAttribute)));
    line["node"] = node;
    line["event"] = valueOf(record, eventAttribute);
    line["message"] = messageOf(record);
    for (const auto &[name, value] : valueOf(record, fieldsAttribute))
        line[name] = value;
    out << boost::json::serialize(line);
}

/** Quotes a value that would otherwise end the line or the field. */
std::string quoteIfNeeded(const std::string &text)
{
    const bool isPlain = !text.empty() && text.find_first_of(" \"=\n\r\t\\") == std::string::npos;
    return isPlain ? text : boost::json::serialize(boost::json::string(text));
}

void formatText(const std::string &node, const blog::record_view &record,
                blog::formatting_ostream &out)
{
    out << valueOf(record, timeAttribute) << ' ' << toString(valueOf(record, levelAttribute)) << ' '
        << node << ' ' << valueOf(record, eventAttribute) << ": ";
    for (const char character : messageOf(record))
        out << (character == '\n' || character == '\r' ? ' ' : character);
    for (const auto &[name, value] : valueOf(record, fieldsAttribute))
        out << ' ' << name << '=' << quoteIfNeeded(value);
}

} // namespace

/** Asynchronous sink that is registered with the log core during its lifetime. */
class log_setup::sink
{
public:
    sink(log_format format, std::string node, const boost::shared_ptr<std::ostream> &output)
        : m_frontend(boost::make_shared<frontend>())
    {
        m_frontend->locked_backend()->add_stream(output);
        m_frontend->locked_backend()->auto_flush(true);
        const auto write = format == log_format::Json ? formatJson : formatText;
        m_frontend->set_formatter([write, node = std::move(node)](const blog::record_view &record,
                                                                  blog::formatting_ostream &out) {
            write(node, record, out);
        });
        blog::core::get()->add_sink(m_frontend);
    }

    ~sink()
    {
        blog::core::get()->remove_sink(m_frontend);
        m_frontend->stop();
        m_frontend->flush();
    }

    sink(const sink &) = delete;
    sink &operator=(const sink &) = delete;

private:
    static constexpr std::size_t maxQueuedLines = 4'096;
    using frontend = blog::sinks::asynchronous_sink<
        blog::sinks::text_ostream_backend,
        blog::sinks::bounded_fifo_queue<maxQueuedLines, blog::sinks::drop_on_overflow>>;

    boost::shared_ptr<frontend> m_frontend;
};

std::string_view toString(log_level level) noexcept
{
    static constexpr std::array<std::string_view, 4> names = {"debug", "info", "warning", "error"};
    return names.at(static_cast<std::size_t>(level));
}

log_setup::log_setup(log_format format, log_level minLevel, std::string node,
                     const boost::shared_ptr<std::ostream> &output)
    : m_sink(std::make_unique<sink>(format, std::move(node), output))
{
    minWrittenLevel = static_cast<int>(minLevel);
}

log_setup::~log_setup()
{
    minWrittenLevel = loggingDisabled;
}

void logEvent(log_level level, std::string_view event, std::string_view message,
              std::initializer_list<log_field> fields)
{
    if (static_cast<int>(level) < minWrittenLevel)
        return;
    field_list list;
    for (const log_field &field : fields)
        list.emplace_back(field.name, field.value);
    BOOST_LOG_SEV(eventLogger::get(), level)
        << blog::add_value(eventAttribute, std::string(event))
        << blog::add_value(timeAttribute, utcTime()) << blog::add_value(fieldsAttribute, list)
        << std::string(message);
}

} // namespace comfreypass::observe
