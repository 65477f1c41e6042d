/** @file log_base.cpp Structured log lines on standard error. */
#include "core/log_base.hpp"

#include "core/clock_type.hpp"
#include "core/error_type.hpp"

#include <fmt/chrono.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cstdint>
#include <ctime>
#include <iterator>
#include <mutex>
#include <poll.h>
#include <unistd.h>

namespace godwitcleat::core
{

namespace
{

constexpr std::array all_levels{
    log_level::debug, log_level::info, log_level::warn, log_level::error};

auto needs_quotes(std::string_view text) -> bool
{
    return text.empty() ||
           text.find_first_of(" \"=\n\r\t") != std::string_view::npos;
}

// Quotes values with blanks and escapes line ends, so that foreign input
// cannot forge a log line.
auto quoted(std::string_view text) -> std::string
{
    if (!needs_quotes(text))
    {
        return std::string{text};
    }
    auto result = std::string{"\""};
    for (auto const letter : text)
    {
        switch (letter)
        {
        case '"': result += "\\\""; break;
        case '\\': result += "\\\\"; break;
        case '\n': result += "\\n"; break;
        case '\r': result += "\\r"; break;
        case '\t': result += "\\t"; break;
        default: result += letter;
        }
    }
    return result + '"';
}

auto utc_text(std::int64_t wall_us) -> std::string
{
    constexpr std::int64_t us_per_second = 1'000'000;
    auto const seconds = static_cast<std::time_t>(wall_us / us_per_second);
    return fmt::format(
        "{:%Y-%m-%dT%H:%M:%S}.{:06d}Z", fmt::gmtime(seconds),
        wall_us % us_per_second);
}

} // namespace

auto to_string(log_level level) -> std::string_view
{
    switch (level)
    {
    case log_level::debug: return "debug";
    case log_level::info: return "info";
    case log_level::warn: return "warn";
    case log_level::error: return "error";
    }
    return "error";
}

auto parse_log_level(std::string_view text) -> std::optional<log_level>
{
    for (auto const level : all_levels)
    {
        if (to_string(level) == text)
        {
            return level;
        }
    }
    return fail(
        error_kind::invalid_input,
        fmt::format(
            "log level \"{}\" is unknown; use debug, info, warn or error",
            text));
}

auto standard_error_sink() -> log_sink
{
    return [](std::string_view line)
    {
        fmt::print(stderr, "{}\n", line);
    };
}

namespace
{

// A pipe that can be written takes this much without blocking (PIPE_BUF).
constexpr auto safe_write_bytes = std::size_t{4096};
// About a second of lines of an owner under load.
constexpr auto output_buffer_bytes = std::size_t{64} * 1024;

/** Writes whole lines as far as the descriptor takes them at once. */
class line_writer
{
public:
    line_writer(int descriptor, std::size_t buffer_bytes)
        : descriptor_(descriptor)
        , buffer_bytes_(buffer_bytes)
    {
    }

    auto add(std::string_view line) -> void
    {
        flush();
        if (left_out_ > 0 && pending_.size() + notice_bytes <= buffer_bytes_)
        {
            pending_ += fmt::format("{} lines were left out\n", left_out_);
            left_out_ = 0;
        }
        if (left_out_ > 0 || pending_.size() + line.size() + 1 > buffer_bytes_)
        {
            ++left_out_;
            return;
        }
        pending_ += line;
        pending_ += '\n';
        flush();
    }

private:
    static constexpr auto notice_bytes = std::size_t{64};

    auto flush() -> void
    {
        while (!pending_.empty() && is_writable())
        {
            auto const n = std::min(pending_.size(), safe_write_bytes);
            auto const written = ::write(descriptor_, pending_.data(), n);
            if (written <= 0)
            {
                return; // There is no other place to report it.
            }
            pending_.erase(0, static_cast<std::size_t>(written));
        }
    }

    [[nodiscard]] auto is_writable() const -> bool
    {
        auto query = pollfd{descriptor_, POLLOUT, 0};
        return ::poll(&query, 1, 0) == 1 && (query.revents & POLLOUT) != 0;
    }

    int descriptor_;
    std::size_t buffer_bytes_;
    std::string pending_;
    std::uint64_t left_out_ = 0;
};

} // namespace

auto descriptor_sink(int descriptor, std::size_t buffer_bytes) -> log_sink
{
    // The logger calls its sink under a lock.
    auto const writer = std::make_shared<line_writer>(descriptor, buffer_bytes);
    return [writer](std::string_view line)
    {
        writer->add(line);
    };
}

auto standard_output_sink() -> log_sink
{
    return descriptor_sink(STDOUT_FILENO, output_buffer_bytes);
}

struct logger::shared_state
{
    log_sink sink;
    std::atomic<log_level> least;
    std::mutex mutex;
};

logger::logger(log_sink sink, log_level least)
    : shared_(std::make_shared<shared_state>())
{
    shared_->sink = std::move(sink);
    shared_->least = least;
}

auto logger::with_prefix(std::string_view prefix) const -> logger
{
    auto copy = *this;
    copy.prefix_ = std::string{prefix};
    return copy;
}

auto logger::set_level(log_level least) const -> void
{
    shared_->least = least;
}

auto logger::debug(std::string_view message, fields values) const -> void
{
    write(log_level::debug, message, values);
}

auto logger::info(std::string_view message, fields values) const -> void
{
    write(log_level::info, message, values);
}

auto logger::warn(std::string_view message, fields values) const -> void
{
    write(log_level::warn, message, values);
}

auto logger::error(std::string_view message, fields values) const -> void
{
    write(log_level::error, message, values);
}

auto logger::write(
    log_level level, std::string_view message, fields values) const -> void
{
    if (level < shared_->least)
    {
        return;
    }
    auto line = fmt::format(
        "{} {} {}: {}", utc_text(wall_clock_us()), to_string(level), prefix_,
        message);
    for (auto const& it : values)
    {
        fmt::format_to(
            std::back_inserter(line), " {}={}", it.key, quoted(it.value));
    }
    auto const lock = std::scoped_lock{shared_->mutex};
    shared_->sink(line);
}

auto null_logger() -> logger
{
    return logger{[](std::string_view) {}, log_level::error};
}

} // namespace godwitcleat::core
