/** @file standin_store_base.cpp A store process for tests, with faults. */
#include "standins/support/standin_store_base.hpp"

#include <nlohmann/json.hpp>

#include <chrono>
#include <utility>
#include <vector>

namespace godwitcleat::standins
{

namespace
{

using nlohmann::json;

constexpr auto ok = 200;
constexpr auto bad_request = 400;
constexpr auto not_found = 404;
constexpr auto too_many_requests = 429;
constexpr auto grpc_resource_exhausted = 8;

auto history_line(store_history_entry const& entry) -> std::string
{
    auto line = json{
        {"at_us", core::wall_clock_us()},
        {"call", to_string(entry.call)},
        {"fate", to_string(entry.fate)},
        {"succeeded", entry.succeeded},
        {"revision", entry.revision}};
    if (entry.call == store_call::range)
    {
        line["key"] = entry.key;
        line["range_end"] = entry.range_end;
    }
    if (entry.lease.value != 0)
    {
        line["lease"] = entry.lease.value;
    }
    for (auto const& it : entry.transaction.compares)
    {
        line["compares"].push_back(
            {{"key", it.key}, {"modify_revision", it.modify_revision}});
    }
    for (auto const& it : entry.transaction.writes)
    {
        auto write = json{{"key", it.key}, {"lease", it.lease.value}};
        if (it.value)
        {
            write["value"] = coordination::base64_encode(*it.value);
        }
        else
        {
            write["delete_to"] = it.range_end;
        }
        line["writes"].push_back(std::move(write));
    }
    return line.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace

auto rate_limit::allow(core::time_point now) -> bool
{
    if (calls_per_s_ == 0)
    {
        return true;
    }
    if (now - window_ >= std::chrono::seconds{1})
    {
        window_ = now;
        used_ = 0;
    }
    if (used_ >= calls_per_s_)
    {
        return false;
    }
    ++used_;
    return true;
}

standin_store::standin_store(
    core::clock clock, standin_store_settings const& settings)
    : clock_(clock)
    , store_(
          std::move(clock),
          {[this](auto const& entry) { write_history(entry); },
           {},
           [this](auto const& it)
           {
               return !data_ || data_->append(it);
           }})
    , gateway_(store_)
    , writes_(settings.writes_per_s)
    , reads_(settings.reads_per_s)
{
    if (!settings.history_path.empty())
    {
        history_.open(settings.history_path, std::ios::app);
    }
}

auto standin_store::open_data(std::string const& path, core::logger const& log)
    -> bool
{
    data_ = store_data::open(
        path, [this](auto const& it) { store_.restore(it); }, log);
    return data_.has_value();
}

auto standin_store::history_good() const -> bool
{
    return history_.good();
}

// Called with the store's lock held, so lines are in the order of effects.
auto standin_store::write_history(store_history_entry const& entry) -> void
{
    if (history_.is_open())
    {
        history_ << history_line(entry) << '\n' << std::flush;
    }
}

auto standin_store::handle(
    std::string_view method, std::string_view path, std::string_view body,
    etcd_reply reply) -> void
{
    if (method != "POST")
    {
        return reply(not_found, "Not Found");
    }
    if (path == "/fault")
    {
        return set_fault(body, reply);
    }
    auto allowed = false;
    auto delay = core::duration{};
    {
        auto const lock = std::scoped_lock{mutex_};
        auto& limit = is_write_path(path) ? writes_ : reads_;
        allowed = limit.allow(clock_());
        delay = delay_;
    }
    if (!allowed)
    {
        return reply(
            too_many_requests,
            etcd_error_body(
                grpc_resource_exhausted, "etcdserver: too many requests"));
    }
    if (delay <= core::duration{})
    {
        return gateway_.handle(path, body, reply);
    }
    gateway_.handle(
        path, body,
        [this, delay, reply = std::move(reply)](int status, std::string answer)
        {
            auto const lock = std::scoped_lock{mutex_};
            delayed_.emplace(
                clock_() + delay, [reply, status, answer = std::move(answer)]
                { reply(status, answer); });
        });
}

auto standin_store::set_fault(std::string_view body, etcd_reply const& reply)
    -> void
{
    auto const value = json::parse(body, nullptr, false);
    auto faults = store_faults{};
    auto delay = std::int64_t{0};
    try
    {
        faults.down = value.value("down", false);
        faults.lose_replies = value.value("lose_replies", 0U);
        delay = value.value("delay_ms", std::int64_t{0});
    }
    catch (json::exception const& problem)
    {
        return reply(bad_request, etcd_error_body(3, problem.what()));
    }
    store_.set_faults(faults);
    {
        auto const lock = std::scoped_lock{mutex_};
        delay_ = std::chrono::milliseconds{delay};
    }
    reply(ok, "{}");
}

auto standin_store::tick() -> void
{
    store_.expire_due();
    auto due = std::vector<std::function<void()>>{};
    {
        auto const lock = std::scoped_lock{mutex_};
        auto const end = delayed_.upper_bound(clock_());
        for (auto it = delayed_.begin(); it != end; ++it)
        {
            due.push_back(std::move(it->second));
        }
        delayed_.erase(delayed_.begin(), end);
    }
    for (auto const& it : due)
    {
        it();
    }
}

} // namespace godwitcleat::standins
