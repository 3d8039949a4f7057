#include "sheet/parse_json.h"

#include "sheet/duplicate_key_finder.h"

#include <boost/json/basic_parser_impl.hpp>
#include <boost/json/parse.hpp>

#include <algorithm>
#include <string>

namespace comfreypass::sheet {

namespace {

boost::json::parse_options parseOptions()
{
    boost::json::parse_options options;
    options.allow_comments = true;
    options.allow_trailing_commas = true;
    options.max_depth = maxJsonDepth;
    return options;
}

/** Formats a byte offset as "line 3, column 7", both counted from 1. */
std::string lineAndColumn(std::string_view text, std::size_t offset)
{
    const std::string_view before = text.substr(0, std::min(offset, text.size()));
    const auto line = std::count(before.begin(), before.end(), '\n') + 1;
    const std::size_t lineStart = before.rfind('\n') + 1; // npos + 1 is 0.
    return "line " + std::to_string(line) + ", column "
           + std::to_string(before.size() - lineStart + 1);
}

core::error syntaxError(std::string_view text, std::size_t offset, const std::string &pointer,
                        const boost::json::error_code &code)
{
    const std::string position = lineAndColumn(text, offset);
    if (code == boost::json::error::incomplete) {
        return {core::errc::ParseFailed, pointer, position + ": unexpected end of the document",
                "check that the whole file was written"};
    }
    if (code == boost::json::error::too_deep) {
        return {core::errc::ParseFailed, pointer,
                position + ": more than " + std::to_string(maxJsonDepth) + " nested levels",
                "check the braces; no sheet or settings file needs that many levels"};
    }
    return {core::errc::ParseFailed, pointer, position + ": " + code.message(),
            "correct the JSON at this position; comments and trailing commas are allowed"};
}

} // namespace

validated<boost::json::value> parseJson(std::string_view text, std::size_t maxBytes)
{
    using errors = std::vector<core::error>;
    if (text.size() > maxBytes) {
        return errors{{core::errc::TooLarge,
                       {},
                       "the document has " + std::to_string(text.size()) + " bytes; at most "
                           + std::to_string(maxBytes) + " are allowed",
                       "remove unused entries"}};
    }

    boost::json::basic_parser<duplicate_key_finder> finder(parseOptions());
    boost::json::error_code code;
    const std::size_t parsed = finder.write_some(false, text.data(), text.size(), code);
    if (!code && parsed < text.size())
        code = boost::json::error::extra_data;
    if (code)
        return errors{syntaxError(text, parsed, finder.handler().pointer(), code)};
    if (!finder.handler().errors().empty())
        return finder.handler().errors();

    boost::json::value document = boost::json::parse(
        boost::json::string_view(text.data(), text.size()), code, {}, parseOptions());
    if (code)
        return errors{syntaxError(text, parsed, {}, code)};
    return document;
}

} // namespace comfreypass::sheet
