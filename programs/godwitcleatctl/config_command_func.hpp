/** @file config_command_func.hpp Commands that read and publish documents. */
#ifndef GODWITCLEAT_PROGRAMS_CTL_CONFIG_COMMAND_FUNC_HPP
#define GODWITCLEAT_PROGRAMS_CTL_CONFIG_COMMAND_FUNC_HPP

#include "api_client_base.hpp"
#include "command_type.hpp"
#include "state/state.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace godwitcleat::ctl
{

/** Returns `check`, `publish` and `config`. */
auto config_commands() -> std::vector<command>;

/** Returns `drain` and `undrain`. */
auto drain_commands() -> std::vector<command>;

/** Result of reading the document from a daemon. */
struct document_answer
{
    std::optional<state::config_document> document;
    api_answer answer; ///< Holds the error if there is no document.
};

/** Reads the current document from the first daemon that responds. */
auto read_document(api_client& client) -> document_answer;

/** Publishes @p document as a change to generation `document.number`. */
auto publish_document(
    api_client& client, state::config_document const& document,
    std::string const& author, std::string const& summary) -> api_answer;

/**
 * Returns the generation that publish_document() created; 0 if the response
 * does not contain it.
 */
auto published_generation(api_answer const& answer) -> std::uint64_t;

/**
 * Returns the changes listed in a response with a conflict, as lines
 * `GENERATION AUTHOR: SUMMARY`.
 */
auto conflicting_changes(api_answer const& answer) -> std::vector<std::string>;

/** Adds the option --author to a command. */
auto add_author(cxxopts::OptionAdder add) -> void;

/**
 * Returns the option --author, or else the environment variable USER.
 * @return std::nullopt with invalid_input if neither is set.
 */
auto author_of(command_context const& context) -> std::optional<std::string>;

} // namespace godwitcleat::ctl

#endif
