#pragma once

#include "core/error.h"

#include <boost/json/value.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace comfreypass::sheet {

enum class presence : std::uint8_t { Required, Optional };

/** Smallest and largest value that is accepted. */
template<class T>
struct value_range
{
    T least;
    T greatest;
};

/**
 * Reads the members of one JSON object and appends an error for each that is missing, unknown, of
 * the wrong type or out of range. A member with an error leaves its target unchanged.
 *
 * A reader of an absent optional object reads nothing and reports nothing. The document and the
 * list of errors must outlive the reader.
 */
class object_reader
{
public:
    /** Accepts a text or returns what it must be instead, for example "a name". */
    using text_validator = std::function<const char *(std::string_view)>;

    /** Reads the value at `pointer`; a null `node` means that it is absent. */
    object_reader(const boost::json::value *node, std::string pointer,
                  std::vector<core::error> &errors);

    bool isPresent() const noexcept { return m_object != nullptr; }
    const std::string &pointer() const noexcept { return m_pointer; }

    /** Pointer to a member. */
    std::string pointerTo(std::string_view key) const;

    /** True if the object has the member; counts as knowing the key. */
    bool has(std::string_view key);

    object_reader object(std::string_view key, presence needed);

    /** Reads an object whose keys are names; calls `each` for every well-formed name. */
    void entries(std::string_view key, presence needed, const text_validator &nameValidator,
                 const std::function<void(const std::string &, object_reader &)> &each);

    /** Reads an array of objects. */
    void elements(std::string_view key, const std::function<void(object_reader &)> &each);

    /** Reads an array of distinct texts. */
    void texts(std::string_view key, presence needed, const text_validator &validator,
               std::vector<std::string> &target);

    void text(std::string_view key, presence needed, const text_validator &validator,
              std::string &target);

    void boolean(std::string_view key, presence needed, bool &target);

    void real(std::string_view key, presence needed, value_range<double> range, double &target);

    template<class T>
    void integer(std::string_view key, presence needed, value_range<std::int64_t> range, T &target)
    {
        if (const auto number = readInteger(key, needed, range))
            target = static_cast<T>(*number);
    }

    /** Reads one word of a table into an enumeration. */
    template<class E>
    void keyword(std::string_view key, presence needed,
                 std::span<const std::pair<std::string_view, E>> table, E &target)
    {
        std::vector<std::string_view> keywords;
        for (const auto &[name, value] : table)
            keywords.push_back(name);
        if (const auto index = readKeyword(key, needed, keywords))
            target = table[*index].second;
    }

    /** Reports every member that no call asked for. To be called once, after all reads. */
    void reportUnknownKeys();

    void addError(std::string pointer, std::string detail, std::string remedy);

    /** Errors of the whole document so far. */
    std::size_t errorCount() const noexcept { return m_errors->size(); }

private:
    const boost::json::value *find(std::string_view key, presence needed);
    std::optional<std::int64_t> readInteger(std::string_view key, presence needed,
                                            value_range<std::int64_t> range);
    std::optional<std::size_t> readKeyword(std::string_view key, presence needed,
                                           std::span<const std::string_view> keywords);
    bool acceptText(const boost::json::value &node, const std::string &pointer,
                    const text_validator &validator);
    void addTypeError(const std::string &pointer, std::string_view expected,
                      const boost::json::value &found);

    const boost::json::object *m_object = nullptr;
    std::string m_pointer;
    std::vector<core::error> *m_errors;
    std::vector<std::string> m_known;
};

} // namespace comfreypass::sheet
