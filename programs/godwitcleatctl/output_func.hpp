/** @file output_func.hpp Prints tables, JSON and errors. */
#ifndef GODWITCLEAT_PROGRAMS_CTL_OUTPUT_FUNC_HPP
#define GODWITCLEAT_PROGRAMS_CTL_OUTPUT_FUNC_HPP

#include "api_client_base.hpp"
#include "command_type.hpp"
#include "core/core.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace godwitcleat::ctl
{

using table_row = std::vector<std::string>;

/** Prints @p text and a newline on standard output. */
auto print_line(std::string_view text) -> void;

/** Prints the program's name, @p text and a newline on standard error. */
auto print_error(std::string_view text) -> void;

/** Prints rows with aligned columns below @p titles. */
auto print_table(table_row const& titles, std::vector<table_row> const& rows)
    -> void;

/** Prints the error of a failed call and returns its exit status. */
auto report_failure(api_answer const& answer) -> exit_status;

/** Prints core::last_reason() and returns exit_status::usage. */
auto report_input_error() -> exit_status;

/** Formats CPU, memory and accelerators, as in `2000m 4096MB 1acc`. */
auto format_resources(core::resources const& value) -> std::string;

/** Formats a Unix time in us as `YYYY-MM-DDTHH:MM:SS.uuuuuuZ`. */
auto format_time(std::int64_t wall_us) -> std::string;

} // namespace godwitcleat::ctl

#endif
