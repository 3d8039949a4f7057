#include "node/instance_listing.h"

#include <boost/json.hpp>

#include <optional>
#include <string>

namespace comfreypass::node {

namespace {

namespace json = boost::json;

core::error invalid(std::string pointer, std::string detail)
{
    return {core::errc::ValidationFailed, std::move(pointer), std::move(detail), ""};
}

std::optional<std::string> readString(const json::object &object, std::string_view key)
{
    const json::value *value = object.if_contains(json::string_view(key.data(), key.size()));
    if (!value || !value->is_string())
        return std::nullopt;
    return std::string(value->get_string());
}

core::result<bool> isLeaving(const json::object &object, const std::string &pointer)
{
    const std::optional<std::string> state = readString(object, "state");
    if (state == "live")
        return false;
    if (state == "leaving")
        return true;
    return invalid(pointer + "/state", "must be 'live' or 'leaving'");
}

core::result<membership::listed_node> readNode(const json::value &value, const std::string &pointer)
{
    const json::object *object = value.if_object();
    if (!object)
        return invalid(pointer, "must be an object");
    const auto name = readString(*object, "name");
    const auto peerAddress = readString(*object, "peer_address");
    const auto callerAddress = readString(*object, "caller_address");
    const auto domain = readString(*object, "failure_domain");
    if (!name || !peerAddress || !callerAddress || !domain)
        return invalid(pointer, "needs name, peer_address, caller_address and failure_domain");
    const core::result<bool> leaving = isLeaving(*object, pointer);
    if (!leaving)
        return leaving.error();

    membership::listed_node node;
    node.name = core::node_name(*name);
    node.leaving = leaving.value();
    node.peerAddress = *peerAddress;
    node.callerAddress = *callerAddress;
    node.domain = core::domain_name(*domain);
    return node;
}

core::result<sheet::engine_info> readEngine(const json::value &value, const std::string &pointer)
{
    const json::object *object = value.if_object();
    if (!object)
        return invalid(pointer, "must be an object");
    const auto name = readString(*object, "name");
    const auto upstream = readString(*object, "upstream");
    const auto address = readString(*object, "address");
    const auto domain = readString(*object, "failure_domain");
    if (!name || !upstream || !address || !domain)
        return invalid(pointer, "needs name, upstream, address and failure_domain");
    const core::result<bool> leaving = isLeaving(*object, pointer);
    if (!leaving)
        return leaving.error();

    sheet::engine_info engine;
    engine.name = core::engine_name(*name);
    engine.upstream = core::upstream_name(*upstream);
    engine.address = *address;
    engine.domain = core::domain_name(*domain);
    engine.generation = readString(*object, "generation").value_or("");
    engine.leaving = leaving.value();
    return engine;
}

template<class Entry, class Reader>
core::result<std::vector<Entry>> readList(const json::object &document, std::string_view key,
                                          Reader read)
{
    const json::value *list = document.if_contains(json::string_view(key.data(), key.size()));
    const std::string pointer = "/" + std::string(key);
    if (!list || !list->is_array())
        return invalid(pointer, "must be an array");

    std::vector<Entry> entries;
    entries.reserve(list->get_array().size());
    for (const json::value &value : list->get_array()) {
        core::result<Entry> entry = read(value, pointer + "/" + std::to_string(entries.size()));
        if (!entry)
            return entry.error();
        entries.push_back(std::move(entry).value());
    }
    return entries;
}

} // namespace

core::result<instance_listing> parseInstanceListing(std::string_view document)
{
    json::error_code code;
    const json::value value
        = json::parse(json::string_view(document.data(), document.size()), code);
    if (code)
        return core::error{core::errc::ParseFailed, "", code.message(), ""};
    const json::object *object = value.if_object();
    if (!object)
        return invalid("", "must be an object");

    core::result<std::vector<membership::listed_node>> nodes
        = readList<membership::listed_node>(*object, "nodes", readNode);
    if (!nodes)
        return nodes.error();
    core::result<std::vector<sheet::engine_info>> engines
        = readList<sheet::engine_info>(*object, "engines", readEngine);
    if (!engines)
        return engines.error();
    return instance_listing{std::move(nodes).value(), std::move(engines).value()};
}

} // namespace comfreypass::node
