#include "sheet/merge_patch.h"

#include <boost/json/object.hpp>

#include <utility>

namespace comfreypass::sheet {

boost::json::value createMergePatch(const boost::json::value &from, const boost::json::value &to)
{
    if (!from.is_object() || !to.is_object())
        return to;

    const boost::json::object &before = from.get_object();
    const boost::json::object &after = to.get_object();
    boost::json::object patch;
    for (const auto &member : before) {
        if (!after.contains(member.key()))
            patch[member.key()] = nullptr;
    }
    for (const auto &member : after) {
        const boost::json::value *old = before.if_contains(member.key());
        if (old != nullptr && *old == member.value())
            continue;
        // An object that replaces another type is written in full, because applyMergePatch() then
        // starts from an empty object.
        patch[member.key()]
            = old == nullptr ? member.value() : createMergePatch(*old, member.value());
    }
    return patch;
}

boost::json::value applyMergePatch(boost::json::value target, const boost::json::value &patch)
{
    if (!patch.is_object())
        return patch;

    if (!target.is_object())
        target = boost::json::object{};
    boost::json::object &members = target.get_object();
    for (const auto &change : patch.get_object()) {
        if (change.value().is_null()) {
            members.erase(change.key());
            continue;
        }
        boost::json::value &member = members[change.key()];
        member = applyMergePatch(std::move(member), change.value());
    }
    return target;
}

} // namespace comfreypass::sheet
