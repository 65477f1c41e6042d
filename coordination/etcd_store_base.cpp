/** @file etcd_store_base.cpp The store over the etcd v3 JSON gateway. */
#include "coordination/etcd_store_base.hpp"

#include "coordination/etcd_func.hpp"

#include <algorithm>
#include <atomic>
#include <utility>

namespace godwitcleat::coordination
{

namespace
{

// gRPC status code NOT_FOUND, which etcd answers for a lapsed lease.
constexpr std::int64_t grpc_not_found = 5;

constexpr auto ok = 200;
constexpr auto bad_request = 400;
constexpr auto not_found = 404;
constexpr auto payload_too_large = 413;
constexpr auto too_many_requests = 429;

/** One call until it has an answer. */
struct etcd_call
{
    std::string path;
    std::string body;
    bool changes = true; ///< False for reads, which never have an effect.
    /** Called with the body of a good answer, or with std::nullopt. */
    std::function<void(std::optional<std::string>)> on_done;
    std::size_t first_address = 0;
    std::size_t tried = 0;
    core::time_point deadline;
};

using call_pointer = std::shared_ptr<etcd_call>;

auto seconds_of(core::duration value) -> std::int64_t
{
    return std::max<std::int64_t>(
        1, std::chrono::ceil<std::chrono::seconds>(value).count());
}

/** Records that the call may have had an effect, unless it was a read. */
auto fail_unknown(bool changes, std::string const& cause) -> std::nullopt_t
{
    if (changes)
    {
        return core::fail(
            core::error_kind::unknown_outcome,
            cause + "; read the key back to learn the outcome.");
    }
    return core::fail(
        core::error_kind::unavailable, cause + "; retry the read.");
}

} // namespace

struct etcd_store::implementation
    : public std::enable_shared_from_this<etcd_store::implementation>
{
    implementation(
        etcd_send send, core::clock clock, core::logger const& log,
        etcd_store_settings settings)
        : sender(std::move(send))
        , clock(std::move(clock))
        , log(log.with_prefix("store"))
        , settings(std::move(settings))
    {
    }

    /** Sends a call and passes a decoded answer to @p on_done. */
    template <class Result>
    auto start(
        std::string path, std::string body, bool changes,
        std::function<std::optional<Result>(std::string_view)> decode,
        handler<Result> on_done) -> void;
    auto send(call_pointer const& it) -> void;
    auto on_result(call_pointer const& it, transport::http_result result)
        -> void;
    auto on_response(
        call_pointer const& it, transport::http_response const& response)
        -> void;

    etcd_send sender;
    core::clock clock;
    core::logger log;
    etcd_store_settings settings;
    std::atomic<std::size_t> preferred = 0; ///< Address that is tried first.
};

template <class Result>
auto etcd_store::implementation::start(
    std::string path, std::string body, bool changes,
    std::function<std::optional<Result>(std::string_view)> decode,
    handler<Result> on_done) -> void
{
    auto const it = std::make_shared<etcd_call>();
    it->path = std::move(path);
    it->body = std::move(body);
    it->changes = changes;
    it->first_address = preferred;
    it->deadline = clock() + settings.timeout;
    it->on_done = [changes, decode = std::move(decode),
                   on_done = std::move(on_done)](auto answer)
    {
        if (!answer)
        {
            return on_done(std::nullopt);
        }
        auto result = decode(*answer);
        if (!result && core::last_reason().kind == core::error_kind::protocol)
        {
            fail_unknown(changes, "The store's answer cannot be decoded");
        }
        on_done(std::move(result));
    };
    send(it);
}

auto etcd_store::implementation::send(call_pointer const& it) -> void
{
    auto const count = settings.addresses.size();
    auto const left = it->deadline - clock();
    if (it->tried >= count || left <= core::duration{})
    {
        core::fail(
            core::error_kind::unavailable,
            "No store address accepts connections; retry later.");
        return it->on_done(std::nullopt);
    }
    auto const& where =
        settings.addresses.at((it->first_address + it->tried) % count);
    auto request = transport::http_request{};
    request.method = "POST";
    request.target = it->path;
    request.headers.values.emplace_back("Content-Type", "application/json");
    request.body = it->body;
    sender(
        where, std::move(request), left,
        [self = shared_from_this(), it](transport::http_result result)
        { self->on_result(it, std::move(result)); });
}

auto etcd_store::implementation::on_result(
    call_pointer const& it, transport::http_result result) -> void
{
    if (result.response)
    {
        return on_response(it, *result.response);
    }
    auto const count = settings.addresses.size();
    auto const next = (it->first_address + it->tried + 1) % count;
    log.warn(
        "Store call failed.", {{"path", it->path},
                               {"reason", result.reason.message},
                               {"next_address", next}});
    preferred = next;
    if (result.progress == transport::send_progress::nothing_written)
    {
        ++it->tried;
        return send(it);
    }
    fail_unknown(it->changes, "The store did not answer");
    it->on_done(std::nullopt);
}

auto etcd_store::implementation::on_response(
    call_pointer const& it, transport::http_response const& response) -> void
{
    auto const status = std::to_string(response.status);
    switch (response.status)
    {
    case ok: return it->on_done(response.body);
    case too_many_requests:
        core::fail(
            core::error_kind::unavailable,
            "The store's rate limit is reached; retry later.");
        break;
    case bad_request:
    case payload_too_large:
        core::fail(
            core::error_kind::invalid_input,
            "The store refused the request with status " + status +
                "; check the size of the values.");
        break;
    case not_found:
        if (etcd_error_code(response.body) == grpc_not_found)
        {
            core::fail(
                core::error_kind::not_found,
                "The lease has lapsed; grant a new one.");
            break;
        }
        core::fail(
            core::error_kind::unavailable,
            "The store address does not serve the etcd v3 gateway; check it.");
        break;
    default:
        // 503 is also the answer to a write that etcd gave up waiting for.
        fail_unknown(it->changes, "The store answered with status " + status);
    }
    it->on_done(std::nullopt);
}

etcd_store::etcd_store(
    etcd_send send, core::clock clock, core::logger const& log,
    etcd_store_settings settings)
    : implementation_(std::make_shared<implementation>(
          std::move(send), std::move(clock), log, std::move(settings)))
{
}

etcd_store::~etcd_store() = default;

auto etcd_store::range(store_query query, handler<store_range> on_done) -> void
{
    implementation_->start<store_range>(
        "/v3/kv/range", etcd_range_body(query), false, &etcd_range_answer,
        std::move(on_done));
}

auto etcd_store::commit(
    store_transaction transaction, handler<store_commit> on_done) -> void
{
    implementation_->start<store_commit>(
        "/v3/kv/txn", etcd_commit_body(transaction), true, &etcd_commit_answer,
        std::move(on_done));
}

auto etcd_store::grant(
    core::duration time_to_live, handler<store_lease> on_done) -> void
{
    implementation_->start<store_lease>(
        "/v3/lease/grant", etcd_grant_body(seconds_of(time_to_live)), true,
        &etcd_grant_answer, std::move(on_done));
}

auto etcd_store::keep_alive(store_lease lease, handler<store_lease> on_done)
    -> void
{
    implementation_->start<store_lease>(
        "/v3/lease/keepalive", etcd_lease_body(lease), true,
        [lease](std::string_view body) -> std::optional<store_lease>
        {
            auto const seconds = etcd_keep_alive_answer(body);
            if (!seconds)
            {
                return std::nullopt;
            }
            if (*seconds <= 0)
            {
                return core::fail(
                    core::error_kind::not_found,
                    "The lease has lapsed; grant a new one.");
            }
            return lease;
        },
        std::move(on_done));
}

auto etcd_store::revoke(store_lease lease, handler<store_lease> on_done) -> void
{
    implementation_->start<store_lease>(
        "/v3/lease/revoke", etcd_lease_body(lease), true,
        [lease](std::string_view body) -> std::optional<store_lease>
        {
            if (!etcd_revoke_answer(body))
            {
                return std::nullopt;
            }
            return lease;
        },
        std::move(on_done));
}

} // namespace godwitcleat::coordination
