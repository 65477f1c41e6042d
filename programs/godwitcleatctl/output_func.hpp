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

/** Prints one line on standard output. */
auto print_line(std::string_view text) -> void;

/** Prints one line on standard error, after the program's name. */
auto print_error(std::string_view text) -> void;

/** Prints rows with aligned columns below @p titles. */
auto print_table(table_row const& titles, std::vector<table_row> const& rows)
    -> void;

/** Prints why @p answer failed; returns its status. */
auto report(api_answer const& answer) -> exit_status;

/** Prints core::last_reason(), an error in the input. */
auto report_input_error() -> exit_status;

/** Returns `2000m 4096MB 1acc`. */
auto show(core::resources const& value) -> std::string;

/** Returns `YYYY-MM-DDTHH:MM:SS.uuuuuuZ`. */
auto show_time(std::int64_t wall_us) -> std::string;

} // namespace godwitcleat::ctl

#endif
