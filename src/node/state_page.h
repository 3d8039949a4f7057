#pragma once

#include "core/time_point.h"
#include "node/entry_node.h"
#include "node/request_record.h"

#include <span>
#include <string>

namespace comfreypass::node {

/** Returns the stable lower-case keyword for an outcome. Thread-safe. */
std::string_view toString(request_record::outcome result) noexcept;

/** Returns the state of a node as a JSON document for operators. */
std::string statePage(const entry_node &node, core::time_point now);

/** Returns the recorded decisions for the requests of one key as a JSON document. */
std::string explainPage(std::span<const request_record *const> records);

} // namespace comfreypass::node
