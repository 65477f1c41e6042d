/** @file log_base.hpp Structured log lines on standard error. */
#ifndef GODWITCLEAT_CORE_LOG_BASE_HPP
#define GODWITCLEAT_CORE_LOG_BASE_HPP

#include <fmt/format.h>
#include <initializer_list>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace godwitcleat::core
{

/** Severity of a log line. */
enum class log_level
{
    debug, ///< Detail for developers.
    info,  ///< Normal changes of state.
    warn,  ///< Something failed and is retried or worked around.
    error  ///< An operator has to act.
};

/** Returns the fixed lower-case name of @p level. */
auto to_string(log_level level) -> std::string_view;

/** Returns the level named @p text, or std::nullopt with invalid_input. */
auto parse_log_level(std::string_view text) -> std::optional<log_level>;

/** One key=value pair of a log line or time-line event. */
struct field
{
    std::string_view key; ///< Lower-case name.
    std::string value;    ///< Printed as it is, quoted if it has blanks.

    template <class Value>
    field(std::string_view name, Value const& content)
        : key(name)
        , value(fmt::format("{}", content))
    {
    }
};

using fields = std::initializer_list<field>;

/** Receives finished log lines, without the line end. */
using log_sink = std::function<void(std::string_view line)>;

/** Returns a sink that writes lines to standard error. */
auto standard_error_sink() -> log_sink;

/**
 * Returns a sink that writes lines to @p descriptor and never waits for a
 * reader. Up to @p buffer_bytes are kept for a slow one; further lines are left
 * out and counted in a line of their own once there is room again.
 */
auto descriptor_sink(int descriptor, std::size_t buffer_bytes) -> log_sink;

/** Returns a descriptor_sink for standard output. */
auto standard_output_sink() -> log_sink;

/**
 * Writes lines of the form `TIME LEVEL PREFIX: message key=value ...`.
 * Copies share sink and level. Thread-safe.
 */
class logger
{
public:
    /** @param sink receives the lines; @param least drops lower levels. */
    logger(log_sink sink, log_level least);

    /** Returns a logger for another part, with its own prefix. */
    [[nodiscard]] auto with_prefix(std::string_view prefix) const -> logger;

    /** Drops lines below @p least from now on, in all copies. */
    auto set_level(log_level least) const -> void;

    auto debug(std::string_view message, fields values = {}) const -> void;
    auto info(std::string_view message, fields values = {}) const -> void;
    auto warn(std::string_view message, fields values = {}) const -> void;
    auto error(std::string_view message, fields values = {}) const -> void;

private:
    struct shared_state;

    auto write(log_level level, std::string_view message, fields values) const
        -> void;

    std::shared_ptr<shared_state> shared_;
    std::string prefix_ = "main";
};

/** Returns a logger that drops everything, for tests. */
auto null_logger() -> logger;

} // namespace godwitcleat::core

#endif
