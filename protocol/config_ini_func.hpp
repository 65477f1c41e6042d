/** @file config_ini_func.hpp The operators' INI files as a document. */
#ifndef GODWITCLEAT_PROTOCOL_CONFIG_INI_FUNC_HPP
#define GODWITCLEAT_PROTOCOL_CONFIG_INI_FUNC_HPP

#include "core/core.hpp"
#include "state/state.hpp"

#include <optional>
#include <span>
#include <string>
#include <vector>

namespace godwitcleat::protocol
{

/** One INI file of an operator. */
struct config_source
{
    std::string path; ///< Named in error messages.
    std::string text; ///< The whole file.
};

/**
 * Reads the sections `[team NAME]`, `[service NAME]` and `[job NAME]` of all
 * files; docs/configuration.md lists the keys. The result has the number and
 * the drained entries of @p base; everything else comes from the files.
 * @return std::nullopt with invalid_input; the message has one line for each
 *         problem, with file, line, key and remedy.
 */
auto read_config(
    std::span<config_source const> sources, state::config_document const& base)
    -> std::optional<state::config_document>;

/**
 * Returns one short line for each difference, for example
 * `service climb-desk: runners 50 -> 55` or `data centre north drained`.
 */
auto describe_changes(
    state::config_document const& from, state::config_document const& to)
    -> std::vector<std::string>;

} // namespace godwitcleat::protocol

#endif
