/** @file world.h A small hosting platform for the cases of the second review.
 *
 * A store, runners, clients and the entry instances of one deployment, all on
 * loopback addresses and the real clock. The stand-ins follow PROTOCOL.md; they
 * are written for this review and share no code with the project. The instances
 * are the project's own program, started by the command of deploy/system.toml
 * with the settings of deploy/settings.ini.
 */
#ifndef REVIEW_SUPPORT_2_WORLD_HPP
#define REVIEW_SUPPORT_2_WORLD_HPP

#include <nlohmann/json.hpp>

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <set>
#include <signal.h>
#include <sstream>
#include <string>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace review
{

using json = nlohmann::json;
using steady = std::chrono::steady_clock;

inline auto now_ms() -> std::int64_t
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               steady::now().time_since_epoch())
        .count();
}

inline auto unix_ms() -> std::int64_t
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

inline auto sleep_ms(std::int64_t ms) -> void
{
    std::this_thread::sleep_for(std::chrono::milliseconds{ms});
}

/** Writes what was sent, answered and run, with ms since the start. */
class record
{
public:
    explicit record(std::string const& path)
        : begun_(now_ms())
        , out_(path)
    {
    }

    std::atomic<bool> quiet = false; ///< Runs of tasks are left out.

    auto line(std::string const& who, std::string const& what) -> void
    {
        if (quiet && who.rfind("i-", 0) == 0)
        {
            return;
        }
        auto const lock = std::scoped_lock{mutex_};
        out_ << now_ms() - begun_ << " ms  " << who << "  " << what
             << std::endl;
    }

    [[nodiscard]] auto at() const -> std::int64_t
    {
        return now_ms() - begun_;
    }

private:
    std::int64_t begun_;
    std::mutex mutex_;
    std::ofstream out_;
};

inline auto to_base64(std::string const& in) -> std::string
{
    static char const* const table =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    auto out = std::string{};
    for (auto i = std::size_t{0}; i < in.size(); i += 3)
    {
        auto const n = std::min<std::size_t>(3, in.size() - i);
        auto v = 0U;
        for (auto k = std::size_t{0}; k < 3; ++k)
        {
            v = v << 8U | (k < n ? static_cast<unsigned char>(in[i + k]) : 0U);
        }
        for (auto k = std::size_t{0}; k < 4; ++k)
        {
            out += k <= n ? table[v >> (18 - 6 * k) & 63U] : '=';
        }
    }
    return out;
}

struct request
{
    std::string method;
    std::string path; ///< Without the query.
    std::map<std::string, std::string> query;
    std::map<std::string, std::string> headers; ///< Names in lower case.
    std::string body;
};

struct response
{
    int status = 200;
    std::string body = "{}";
    bool silent = false; ///< No answer comes on this connection any more.
    bool reset = false;  ///< The connection is reset instead.
};

inline auto percent_decode(std::string const& in) -> std::string
{
    auto out = std::string{};
    for (auto i = std::size_t{0}; i < in.size(); ++i)
    {
        if (in[i] == '%' && i + 2 < in.size())
        {
            out +=
                static_cast<char>(std::stoi(in.substr(i + 1, 2), nullptr, 16));
            i += 2;
        }
        else
        {
            out += in[i];
        }
    }
    return out;
}

inline auto to_address(std::string const& text) -> sockaddr_in
{
    auto const colon = text.rfind(':');
    auto result = sockaddr_in{};
    result.sin_family = AF_INET;
    result.sin_port =
        htons(static_cast<std::uint16_t>(std::stoi(text.substr(colon + 1))));
    inet_pton(AF_INET, text.substr(0, colon).c_str(), &result.sin_addr);
    return result;
}

/** Reads one HTTP/1.1 message head and its body from a socket. */
class http_reader
{
public:
    explicit http_reader(int fd)
        : fd_(fd)
    {
    }

    /** Returns the start line; fills @p headers and @p body. */
    auto read(
        std::map<std::string, std::string>& headers, std::string& body,
        std::int64_t until_ms) -> std::optional<std::string>
    {
        auto end = std::string::npos;
        while ((end = buffer_.find("\r\n\r\n")) == std::string::npos)
        {
            if (!more(until_ms))
            {
                return std::nullopt;
            }
        }
        auto stream = std::istringstream{buffer_.substr(0, end)};
        buffer_.erase(0, end + 4);
        auto first = std::string{};
        std::getline(stream, first);
        auto line = std::string{};
        while (std::getline(stream, line))
        {
            auto const colon = line.find(':');
            if (colon == std::string::npos)
            {
                continue;
            }
            auto name = line.substr(0, colon);
            std::transform(
                name.begin(), name.end(), name.begin(),
                [](unsigned char c) { return std::tolower(c); });
            auto value = line.substr(colon + 1);
            value.erase(0, value.find_first_not_of(" \t"));
            value.erase(value.find_last_not_of(" \t\r") + 1);
            headers[name] = value;
        }
        auto const it = headers.find("content-length");
        auto const length =
            it == headers.end() ? std::size_t{0} : std::stoul(it->second);
        while (buffer_.size() < length)
        {
            if (!more(until_ms))
            {
                return std::nullopt;
            }
        }
        body = buffer_.substr(0, length);
        buffer_.erase(0, length);
        if (!first.empty() && first.back() == '\r')
        {
            first.pop_back();
        }
        return first;
    }

private:
    auto more(std::int64_t until_ms) -> bool
    {
        auto const left = until_ms < 0 ? -1 : until_ms - now_ms();
        if (until_ms >= 0 && left <= 0)
        {
            return false;
        }
        auto entry = pollfd{fd_, POLLIN, 0};
        if (::poll(&entry, 1, static_cast<int>(left)) <= 0)
        {
            return false;
        }
        char chunk[16384];
        auto const n = ::recv(fd_, chunk, sizeof chunk, 0);
        if (n <= 0)
        {
            return false;
        }
        buffer_.append(chunk, static_cast<std::size_t>(n));
        return true;
    }

    int fd_;
    std::string buffer_;
};

inline auto send_all(int fd, std::string const& text) -> bool
{
    auto sent = std::size_t{0};
    while (sent < text.size())
    {
        auto const n =
            ::send(fd, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (n <= 0)
        {
            return false;
        }
        sent += static_cast<std::size_t>(n);
    }
    return true;
}

/** HTTP/1.1 server with one thread for each connection. */
class http_server
{
public:
    using handler = std::function<response(request const&)>;

    http_server(std::string const& ip, int port, handler call)
        : call_(std::move(call))
    {
        fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        auto const on = 1;
        ::setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        auto where = to_address(ip + ":" + std::to_string(port));
        if (::bind(fd_, reinterpret_cast<sockaddr*>(&where), sizeof where) !=
                0 ||
            ::listen(fd_, 512) != 0)
        {
            std::perror("bind");
            std::exit(2);
        }
        auto size = socklen_t{sizeof where};
        ::getsockname(fd_, reinterpret_cast<sockaddr*>(&where), &size);
        address_ = ip + ":" + std::to_string(ntohs(where.sin_port));
        acceptor_ = std::thread{[this]
                                {
                                    accept_all();
                                }};
    }

    ~http_server()
    {
        stop();
    }

    /** Resets all connections, as a crash does. */
    auto stop() -> void
    {
        if (stopped_.exchange(true))
        {
            return;
        }
        ::shutdown(fd_, SHUT_RDWR);
        acceptor_.join();
        ::close(fd_);
        {
            auto const lock = std::scoped_lock{mutex_};
            for (auto const fd : open_)
            {
                auto const drop = linger{1, 0};
                ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &drop, sizeof drop);
                ::shutdown(fd, SHUT_RDWR);
            }
        }
        for (auto& it : threads_)
        {
            it.join();
        }
    }

    [[nodiscard]] auto address() const -> std::string const&
    {
        return address_;
    }

private:
    auto accept_all() -> void
    {
        while (!stopped_)
        {
            auto const fd = ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0)
            {
                if (stopped_)
                {
                    return;
                }
                continue;
            }
            auto const on = 1;
            ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            auto const lock = std::scoped_lock{mutex_};
            open_.insert(fd);
            threads_.emplace_back([this, fd] { serve(fd); });
        }
    }

    auto serve(int fd) -> void
    {
        auto reader = http_reader{fd};
        auto silent = false;
        while (!stopped_)
        {
            auto in = request{};
            auto const first = reader.read(in.headers, in.body, -1);
            if (!first)
            {
                break;
            }
            auto words = std::istringstream{*first};
            auto target = std::string{};
            words >> in.method >> target;
            auto const mark = target.find('?');
            in.path = target.substr(0, mark);
            if (mark != std::string::npos)
            {
                auto pairs = std::istringstream{target.substr(mark + 1)};
                auto pair = std::string{};
                while (std::getline(pairs, pair, '&'))
                {
                    auto const equal = pair.find('=');
                    in.query[pair.substr(0, equal)] =
                        equal == std::string::npos
                            ? ""
                            : percent_decode(pair.substr(equal + 1));
                }
            }
            auto const out = call_(in);
            if (out.reset)
            {
                break;
            }
            silent = silent || out.silent;
            if (silent)
            {
                continue;
            }
            auto const text = "HTTP/1.1 " + std::to_string(out.status) +
                              " X\r\nContent-Type: application/json\r\n"
                              "Content-Length: " +
                              std::to_string(out.body.size()) + "\r\n\r\n" +
                              out.body;
            if (!send_all(fd, text))
            {
                break;
            }
        }
        auto const lock = std::scoped_lock{mutex_};
        open_.erase(fd);
        ::close(fd);
    }

    handler call_;
    int fd_ = -1;
    std::string address_;
    std::atomic<bool> stopped_ = false;
    std::thread acceptor_;
    std::mutex mutex_;
    std::set<int> open_;
    std::list<std::thread> threads_;
};

/** Answer to a client; status 0: none came in time, or the connection broke. */
struct answer
{
    int status = 0;
    std::string body;
};

inline auto http_call(
    std::string const& where, std::string const& method,
    std::string const& path, std::string const& host, std::string const& body,
    std::int64_t timeout_ms) -> answer
{
    auto result = answer{};
    auto const until = now_ms() + timeout_ms;
    auto const fd =
        ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    auto const address = to_address(where);
    ::connect(fd, reinterpret_cast<sockaddr const*>(&address), sizeof address);
    auto entry = pollfd{fd, POLLOUT, 0};
    auto failed = 0;
    auto size = socklen_t{sizeof failed};
    if (::poll(&entry, 1, static_cast<int>(timeout_ms)) <= 0 ||
        ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &failed, &size) != 0 ||
        failed != 0)
    {
        ::close(fd);
        return result;
    }
    auto const flags = ::fcntl(fd, F_GETFL);
    ::fcntl(fd, F_SETFL, flags & ~O_NONBLOCK);
    auto const text = method + " " + path + " HTTP/1.1\r\nHost: " + host +
                      "\r\nContent-Type: application/json\r\n"
                      "Godwitcleat-Deadline-Ms: " +
                      std::to_string(timeout_ms) +
                      "\r\nContent-Length: " + std::to_string(body.size()) +
                      "\r\nConnection: close\r\n\r\n" + body;
    if (send_all(fd, text))
    {
        auto headers = std::map<std::string, std::string>{};
        auto reader = http_reader{fd};
        auto const first = reader.read(headers, result.body, until);
        if (first && first->size() > 12)
        {
            result.status = std::stoi(first->substr(9, 3));
        }
    }
    ::close(fd);
    return result;
}

/** The platform's store. */
class store
{
public:
    explicit store(std::string const& ip)
        : server_(ip, 0, [this](auto const& in) { return handle(in); })
    {
    }

    ~store()
    {
        close();
    }

    auto close() -> void
    {
        {
            auto const lock = std::scoped_lock{mutex_};
            closed_ = true;
        }
        changed_.notify_all();
        server_.stop();
    }

    [[nodiscard]] auto address() const -> std::string const&
    {
        return server_.address();
    }

    /** Writes as the operator or a runner does. */
    auto put(std::string const& key, std::string const& value) -> void
    {
        auto const lock = std::scoped_lock{mutex_};
        ++revision_;
        set(key, to_base64(value), 0);
        changed_.notify_all();
    }

    auto remove(std::string const& key) -> void
    {
        auto const lock = std::scoped_lock{mutex_};
        ++revision_;
        erase(key);
        changed_.notify_all();
    }

    /** Called with each call of an instance; may change the answer. */
    std::function<std::optional<response>(request const&)> disturb;

    /** Returns the instance that the owner key names, empty if none. */
    auto value_of(std::string const& key) -> std::optional<std::string>
    {
        auto const lock = std::scoped_lock{mutex_};
        expire();
        auto const it = items_.find(key);
        return it == items_.end() ? std::nullopt
                                  : std::optional{it->second.value};
    }

    /** Returns how many writes had a value above `value-bytes`. */
    auto oversized() -> int
    {
        auto const lock = std::scoped_lock{mutex_};
        return oversized_;
    }

    auto keys(std::string const& prefix) -> std::vector<std::string>
    {
        auto const lock = std::scoped_lock{mutex_};
        auto result = std::vector<std::string>{};
        for (auto it = items_.lower_bound(prefix);
             it != items_.end() && it->first.rfind(prefix, 0) == 0; ++it)
        {
            result.push_back(it->first);
        }
        return result;
    }

    /** Carries a call out. */
    auto carry_out(request const& in) -> response
    {
        return handle_now(in);
    }

private:
    struct item
    {
        std::string value; ///< Base64.
        std::int64_t revision = 0;
        std::int64_t created = 0;
        std::uint64_t lease = 0;
    };
    struct event
    {
        std::string key;
        std::int64_t revision = 0;
        bool removed = false;
        json shown;
    };

    static auto show(std::string const& key, item const& it) -> json
    {
        return {
            {"key", key},
            {"value", it.value},
            {"revision", it.revision},
            {"created", it.created},
            {"lease", it.lease}};
    }

    auto set(std::string const& key, std::string value, std::uint64_t lease)
        -> void
    {
        auto& it = items_[key];
        it.created = it.created == 0 ? revision_ : it.created;
        it.value = std::move(value);
        it.revision = revision_;
        it.lease = lease;
        events_.push_back({key, revision_, false, show(key, it)});
    }

    auto erase(std::string const& key) -> void
    {
        if (items_.erase(key) > 0)
        {
            events_.push_back(
                {key,
                 revision_,
                 true,
                 {{"key", key}, {"revision", revision_}, {"tombstone", true}}});
        }
    }

    auto expire() -> void
    {
        for (auto it = leases_.begin(); it != leases_.end();)
        {
            it = now_ms() >= it->second.second ? end_lease(it) : std::next(it);
        }
    }

    using lease_map =
        std::map<std::uint64_t, std::pair<std::int64_t, std::int64_t>>;

    auto end_lease(lease_map::iterator at) -> lease_map::iterator
    {
        auto gone = std::vector<std::string>{};
        for (auto const& [key, it] : items_)
        {
            if (it.lease == at->first)
            {
                gone.push_back(key);
            }
        }
        if (!gone.empty())
        {
            ++revision_;
            for (auto const& key : gone)
            {
                erase(key);
            }
            changed_.notify_all();
        }
        return leases_.erase(at);
    }

    auto handle(request const& in) -> response
    {
        if (disturb)
        {
            if (auto const other = disturb(in))
            {
                return *other;
            }
        }
        return handle_now(in);
    }

    auto handle_now(request const& in) -> response
    {
        auto lock = std::unique_lock{mutex_};
        expire();
        if (in.path == "/api/kv-key")
        {
            auto const it = items_.find(in.query.at("key"));
            if (it == items_.end())
            {
                return {
                    404,
                    R"({"store-revision":)" + std::to_string(revision_) + "}"};
            }
            auto body = show(it->first, it->second);
            body["store-revision"] = revision_;
            return {200, body.dump()};
        }
        if (in.path == "/api/kv-range")
        {
            return range(in);
        }
        if (in.path == "/api/kv-watch")
        {
            return watch(in, lock);
        }
        if (in.path == "/api/kv-txn")
        {
            return commit(json::parse(in.body));
        }
        if (in.path == "/api/kv-lease")
        {
            auto const ttl =
                json::parse(in.body).at("ttl-ms").get<std::int64_t>();
            auto const id = next_lease_++;
            leases_[id] = {ttl, now_ms() + ttl};
            return {200, json{{"lease", id}, {"ttl-ms", ttl}}.dump()};
        }
        auto const slash = in.path.rfind('/');
        auto const call = in.path.substr(0, slash);
        auto const it = leases_.find(std::stoull(in.path.substr(slash + 1)));
        if (it == leases_.end())
        {
            return {404, "{}"};
        }
        if (call == "/api/kv-keep")
        {
            it->second.second = now_ms() + it->second.first;
        }
        else
        {
            end_lease(it);
        }
        return {200, "{}"};
    }

    auto range(request const& in) -> response
    {
        constexpr auto page = std::size_t{500};
        auto const prefix = in.query.at("prefix");
        auto const after =
            in.query.count("after") > 0 ? in.query.at("after") : std::string{};
        auto body = json{
            {"items", json::array()},
            {"has-more", false},
            {"store-revision", revision_}};
        for (auto it = items_.lower_bound(prefix);
             it != items_.end() && it->first.rfind(prefix, 0) == 0; ++it)
        {
            if (!after.empty() && it->first <= after)
            {
                continue;
            }
            if (body["items"].size() == page)
            {
                body["has-more"] = true;
                break;
            }
            body["items"].push_back(show(it->first, it->second));
        }
        return {200, body.dump()};
    }

    auto watch(request const& in, std::unique_lock<std::mutex>& lock)
        -> response
    {
        auto const prefix = in.query.at("prefix");
        auto const after = std::stoll(in.query.at("after"));
        auto const until =
            steady::now() +
            std::chrono::milliseconds{std::stoll(in.query.at("wait-ms"))};
        auto body = json{{"events", json::array()}};
        while (true)
        {
            for (auto const& it : events_)
            {
                if (it.revision > after && it.key.rfind(prefix, 0) == 0)
                {
                    body["events"].push_back(it.shown);
                }
            }
            if (!body["events"].empty() || closed_ ||
                changed_.wait_until(lock, until) == std::cv_status::timeout)
            {
                break;
            }
        }
        body["store-revision"] = revision_;
        return {200, body.dump()};
    }

    auto commit(json const& call) -> response
    {
        for (auto const& it : call.value("expect", json::array()))
        {
            auto const found = items_.find(it.at("key").get<std::string>());
            auto const revision =
                found == items_.end() ? 0 : found->second.revision;
            if (revision != it.at("revision").get<std::int64_t>())
            {
                return {412, R"({"items":[]})"};
            }
        }
        for (auto const& it : call.value("writes", json::array()))
        {
            auto const lease = it.value("lease", std::uint64_t{0});
            if (lease != 0 && leases_.count(lease) == 0)
            {
                return {404, "{}"};
            }
            if (it.at("value").get_ref<std::string const&>().size() / 4 * 3 >
                max_value_bytes)
            {
                ++oversized_;
                return {400, "{}"};
            }
        }
        ++revision_;
        for (auto const& it : call.value("writes", json::array()))
        {
            set(it.at("key").get<std::string>(),
                it.at("value").get<std::string>(),
                it.value("lease", std::uint64_t{0}));
        }
        for (auto const& it : call.value("remove", json::array()))
        {
            erase(it.get<std::string>());
        }
        changed_.notify_all();
        return {200, json{{"revision", revision_}}.dump()};
    }

    static constexpr auto max_value_bytes = std::size_t{1048576};

    std::mutex mutex_;
    std::condition_variable changed_;
    bool closed_ = false;
    int oversized_ = 0;
    std::int64_t revision_ = 1;
    std::map<std::string, item> items_;
    std::vector<event> events_;
    lease_map leases_;
    std::uint64_t next_lease_ = 1000;
    http_server server_;
};

/** Runs of gangs, by step and run number: their members work together. */
class gang_board
{
public:
    struct entry
    {
        std::size_t present = 0;
        std::int64_t all_at = 0; ///< When the last member came; 0: not yet.
        bool broken = false;
        bool done = false;
    };

    auto join(std::string const& key, std::size_t members) -> void
    {
        auto const lock = std::scoped_lock{mutex_};
        auto& it = entries_[key];
        if (++it.present == members)
        {
            it.all_at = now_ms();
        }
    }

    auto end(std::string const& key, bool done) -> void
    {
        auto const lock = std::scoped_lock{mutex_};
        (done ? entries_[key].done : entries_[key].broken) = true;
    }

    auto get(std::string const& key) -> entry
    {
        auto const lock = std::scoped_lock{mutex_};
        return entries_[key];
    }

private:
    std::mutex mutex_;
    std::map<std::string, entry> entries_;
};

/** What happened to one run of a task, as its runner saw it. */
struct run_history
{
    std::string task;
    std::uint64_t run = 0;
    std::string runner;
    std::int64_t begun = 0; ///< ms of the record.
    std::int64_t ended = -1;
    std::string how;        ///< As in `ended`, or "crashed".
    std::string checkpoint; ///< Of its start.
    std::string spec;
    std::int64_t acked = -1;  ///< When its end was acknowledged.
    std::int64_t listed = -1; ///< When its end was first listed.
};

/** All runs of a case. */
class history
{
public:
    auto begin(run_history it) -> std::size_t
    {
        auto const lock = std::scoped_lock{mutex_};
        runs_.push_back(std::move(it));
        return runs_.size() - 1;
    }

    auto end(std::size_t index, std::int64_t at, std::string const& how) -> void
    {
        auto const lock = std::scoped_lock{mutex_};
        runs_[index].ended = at;
        runs_[index].how = how;
    }

    auto all() -> std::vector<run_history>
    {
        auto const lock = std::scoped_lock{mutex_};
        return runs_;
    }

    /** Returns how many runs of the task, or of the gang, have failed. */
    auto failures(std::string const& work) -> std::size_t
    {
        auto const lock = std::scoped_lock{mutex_};
        auto found = std::set<std::uint64_t>{};
        for (auto const& it : runs_)
        {
            auto const is_of =
                it.task == work || it.task.rfind(work + ".", 0) == 0;
            if (is_of && it.how == "failed")
            {
                found.insert(it.run);
            }
        }
        return found.size();
    }

    auto acked(std::size_t index, std::int64_t at) -> void
    {
        auto const lock = std::scoped_lock{mutex_};
        runs_[index].acked = at;
    }

    gang_board gangs;

private:
    std::mutex mutex_;
    std::vector<run_history> runs_;
};

struct runner_settings
{
    std::string id;
    std::string ip = "127.0.0.1";
    int port = 0; ///< 0: a free one.
    std::string service = "svc";
    std::string zone;
    std::string rack = "r1";
    std::string kind = "a";
    std::int64_t cpu = 16000;
    std::int64_t mem_mb = 62500;
    std::int64_t stop_ms = 200;
    std::int64_t hold_max_ms = 6000;
    std::int64_t gang_wait_ms = 3000;
    std::int64_t save_ms = 500;
};

/**
 * One life of a runner. A task whose spec is "work N" is at work for N ms at
 * full pace, and "serve" runs until it is stopped. Other specs are JSON: a list
 * with an entry for each step, with `work` (ms), `save` (true: checkpoints),
 * `fail` (the runs of each task that fail first) and `gang` (members).
 */
class runner
{
public:
    runner(store& target, record& lines, history& runs, runner_settings figures)
        : store_(target)
        , lines_(lines)
        , runs_(runs)
        , settings_(std::move(figures))
        , server_(
              settings_.ip, settings_.port,
              [this](auto const& in) { return handle(in); })
        , ticker_([this] { tick_all(); })
    {
    }

    ~runner()
    {
        crash();
    }

    [[nodiscard]] auto address() const -> std::string const&
    {
        return server_.address();
    }

    [[nodiscard]] auto settings() const -> runner_settings const&
    {
        return settings_;
    }

    /** Called with each order; may change the answer. Without the lock. */
    std::function<std::optional<response>(request const&)> disturb;

    /** Ends the process: no answer, no entry, nothing runs any more. */
    auto crash() -> void
    {
        {
            auto const lock = std::scoped_lock{mutex_};
            if (std::exchange(dead_, true))
            {
                return;
            }
            end_all();
        }
        changed_.notify_all();
        server_.stop();
        ticker_.join();
    }

    /** Its process ends without a sign: nothing runs, no call gets an answer
     *  and connections stay open, until crash() is called. */
    auto go_dark() -> void
    {
        auto const lock = std::scoped_lock{mutex_};
        dark_ = true;
        end_all();
    }

    auto drain(bool on) -> void
    {
        {
            auto const lock = std::scoped_lock{mutex_};
            draining_ = on;
        }
        beat();
    }

    [[nodiscard]] auto is_dead() -> bool
    {
        auto const lock = std::scoped_lock{mutex_};
        return dead_;
    }

    [[nodiscard]] auto runs_of(std::string const& job) -> std::size_t
    {
        auto const lock = std::scoped_lock{mutex_};
        return static_cast<std::size_t>(std::count_if(
            running_.begin(), running_.end(),
            [&](auto const& it)
            { return job.empty() || it.task.rfind(job + ".", 0) == 0; }));
    }

    /** Forgets its entry as the platform does three heartbeats later. */
    auto unregister() -> void
    {
        store_.remove("servers/" + settings_.id);
    }

private:
    auto end_all() -> void
    {
        for (auto const& it : running_)
        {
            if (it.gang > 0)
            {
                runs_.gangs.end(it.gang_key, false);
            }
            runs_.end(it.history, lines_.at(), "crashed");
            lines_.line(
                settings_.id, it.task + " run " + std::to_string(it.run) +
                                  " is lost with its runner");
        }
        running_.clear();
    }

    struct run_state
    {
        std::string task;
        std::uint64_t run = 0;
        double work_ms = 0; ///< Less than 0: lasts.
        double done_ms = 0;
        double pace = 1.0;
        std::int64_t stop_at = 0; ///< 0: no stop was ordered.
        std::size_t history = 0;
        bool saves = false;
        bool fails = false;
        std::size_t gang = 0;     ///< Members; 0: none.
        std::string gang_key;     ///< Step and run.
        std::string name_of_work; ///< Task, or step of a gang.
        double resumed_ms = 0;
        std::int64_t begun = 0;
        bool joined_work = false;
    };

    auto saved(run_state const& it) const -> std::string
    {
        auto const step = static_cast<double>(settings_.save_ms);
        auto const ms =
            static_cast<std::int64_t>(it.done_ms / step) * settings_.save_ms;
        return it.saves && ms > 0 ? it.name_of_work + "#" + std::to_string(ms)
                                  : std::string{};
    }

    static auto ends_of(std::string const& task) -> std::array<std::string, 4>
    {
        auto result = std::array<std::string, 4>{};
        auto words = std::istringstream{task};
        for (auto& it : result)
        {
            std::getline(words, it, '.');
        }
        return result;
    }

    auto describe(run_state& it, json const& body) -> void
    {
        auto const spec = body.at("spec").get<std::string>();
        auto const parts = ends_of(it.task);
        it.name_of_work = it.task;
        auto const list = json::parse(spec, nullptr, false);
        if (list.is_array())
        {
            auto const& own = list.at(std::stoul(parts[2]));
            it.work_ms = own.value("work", -1.0);
            it.saves = own.value("save", false);
            it.gang = own.value("gang", std::size_t{0});
            auto const key = parts[0] + "." + parts[1] + "." + parts[2];
            auto const failures = own.value("fail", 0);
            it.fails =
                static_cast<int>(runs_.failures(it.gang > 0 ? key : it.task)) <
                failures;
            if (it.gang > 0)
            {
                it.name_of_work = key;
                it.gang_key = key + "/" + std::to_string(it.run);
            }
        }
        auto const checkpoint = body.value("checkpoint", std::string{});
        auto const mark = checkpoint.find('#');
        if (mark != std::string::npos)
        {
            it.done_ms = std::stod(checkpoint.substr(mark + 1));
            it.resumed_ms = it.done_ms;
        }
    }

    auto clock_ms() const -> std::int64_t
    {
        return now_ms() - started_ + 1;
    }

    auto conflict(char const* reason) const -> response
    {
        return {409, json{{"clock-ms", clock_ms()}, {"reason", reason}}.dump()};
    }

    auto ok() const -> response
    {
        return {200, json{{"clock-ms", clock_ms()}}.dump()};
    }

    auto handle(request const& in) -> response
    {
        if (dark_)
        {
            return {200, "", true};
        }
        if (disturb)
        {
            if (auto const other = disturb(in))
            {
                return *other;
            }
        }
        return carry_out(in);
    }

public:
    auto carry_out(request const& in) -> response
    {
        auto const expected = in.headers.find("godwitcleat-expected-instance");
        if (expected != in.headers.end() && expected->second != settings_.id)
        {
            return {421, "{}"};
        }
        if (in.path == "/health")
        {
            return {draining_ ? 503 : 200, "{}"};
        }
        auto const body = json::parse(in.body, nullptr, false);
        if (!body.is_object())
        {
            return {400, "{}"};
        }
        auto lock = std::unique_lock{mutex_};
        if (dead_ || dark_)
        {
            return {200, "", !dead_, dead_};
        }
        auto const token = body.value("fencing-token", std::uint64_t{0});
        if (token < token_)
        {
            return conflict("fence");
        }
        token_ = token;
        if (in.path == "/api/run-start")
        {
            return start(body);
        }
        if (in.path == "/api/run-stop")
        {
            return stop(body);
        }
        if (in.path == "/api/pace")
        {
            return pace(body);
        }
        if (in.path == "/api/hold")
        {
            return hold(body, lock);
        }
        return {404, "{}"};
    }

private:
    auto extend(json const& body) -> void
    {
        if (body.contains("deadline-ms"))
        {
            auto const wanted = body.at("deadline-ms").get<std::int64_t>();
            auto const bounded =
                std::min(wanted, clock_ms() + settings_.hold_max_ms);
            deadline_ = std::max(deadline_, bounded);
        }
    }

    auto start(json const& body) -> response
    {
        auto const task = body.at("task").get<std::string>();
        auto const run = body.at("run").get<std::uint64_t>();
        for (auto const& it : running_)
        {
            if (it.task == task && it.run == run)
            {
                extend(body);
                return ok();
            }
        }
        if (body.at("deadline-ms").get<std::int64_t>() <= clock_ms())
        {
            return conflict("late");
        }
        auto const old = over_.find(task);
        extend(body);
        if (old != over_.end() && run <= old->second)
        {
            return conflict("old");
        }
        auto words = std::istringstream{body.at("spec").get<std::string>()};
        auto word = std::string{};
        auto it = run_state{};
        words >> word >> it.work_ms;
        it.work_ms = word == "work" ? it.work_ms : -1.0;
        it.task = task;
        it.run = run;
        it.begun = now_ms();
        describe(it, body);
        auto made = run_history{};
        made.task = task;
        made.run = run;
        made.runner = settings_.id;
        made.begun = lines_.at();
        made.checkpoint = body.value("checkpoint", std::string{});
        made.spec = body.at("spec").get<std::string>();
        it.history = runs_.begin(std::move(made));
        if (it.gang > 0)
        {
            runs_.gangs.join(it.gang_key, it.gang);
        }
        running_.push_back(it);
        lines_.line(
            settings_.id, "starts " + task + " run " + std::to_string(run) +
                              " token " + std::to_string(token_));
        return ok();
    }

    auto stop(json const& body) -> response
    {
        auto const task = body.at("task").get<std::string>();
        auto const run = body.at("run").get<std::uint64_t>();
        over_[task] = std::max(over_[task], run);
        for (auto& it : running_)
        {
            if (it.task == task && it.run == run && it.stop_at == 0)
            {
                it.stop_at = now_ms() + settings_.stop_ms / 2;
            }
        }
        return ok();
    }

    auto pace(json const& body) -> response
    {
        for (auto& it : running_)
        {
            if (it.task == body.at("task").get<std::string>() &&
                it.run == body.at("run").get<std::uint64_t>())
            {
                it.pace = body.at("percent").get<double>() / 100.0;
            }
        }
        return ok();
    }

    auto hold(json const& body, std::unique_lock<std::mutex>& lock) -> response
    {
        extend(body);
        auto const acked = body.value("ack-cursor", std::uint64_t{0});
        while (!ended_.empty() &&
               ended_.front().at(0).get<std::uint64_t>() <= acked)
        {
            runs_.acked(ended_history_.front(), lines_.at());
            ended_.erase(ended_.begin());
            ended_history_.erase(ended_history_.begin());
        }
        auto const wait = body.value("wait-ms", std::int64_t{0});
        auto const seen = next_end_;
        changed_.wait_for(
            lock, std::chrono::milliseconds{wait},
            [&] { return dead_ || next_end_ != seen || !ended_.empty(); });
        if (dead_ || dark_)
        {
            return {200, "", !dead_, dead_};
        }
        auto out = json{
            {"clock-ms", clock_ms()},
            {"born", born_},
            {"running", json::array()},
            {"ended", ended_}};
        for (auto const& it : running_)
        {
            auto const percent =
                it.work_ms > 0 ? 100.0 * it.done_ms / it.work_ms : 100.0;
            out["running"].push_back(
                {it.task, it.run, saved(it), static_cast<int>(percent), 1});
        }
        return {200, out.dump()};
    }

    auto end(std::size_t index, std::string const& how) -> void
    {
        auto const it = running_[index];
        running_.erase(running_.begin() + static_cast<std::ptrdiff_t>(index));
        over_[it.task] = std::max(over_[it.task], it.run);
        auto const kept = how == "done" || how == "failed" ? "" : saved(it);
        ended_.push_back(
            json::array({next_end_++, it.task, it.run, how, kept}));
        ended_history_.push_back(it.history);
        if (it.gang > 0)
        {
            runs_.gangs.end(it.gang_key, how == "done");
        }
        runs_.end(it.history, lines_.at(), how);
        lines_.line(
            settings_.id,
            it.task + " run " + std::to_string(it.run) + " ends " + how);
        changed_.notify_all();
    }

    auto tick_all() -> void
    {
        auto last = now_ms();
        auto next_beat = now_ms();
        while (true)
        {
            sleep_ms(10);
            auto const now = now_ms();
            {
                auto const lock = std::scoped_lock{mutex_};
                if (dead_)
                {
                    return;
                }
                auto const lapsed = clock_ms() > deadline_;
                for (auto i = running_.size(); i-- > 0;)
                {
                    auto& it = running_[i];
                    auto const gang = it.gang > 0 ? runs_.gangs.get(it.gang_key)
                                                  : gang_board::entry{};
                    if (it.gang == 0)
                    {
                        it.done_ms += it.pace * static_cast<double>(now - last);
                    }
                    else if (gang.all_at > 0)
                    {
                        it.done_ms = it.resumed_ms +
                                     static_cast<double>(now - gang.all_at);
                    }
                    if (lapsed)
                    {
                        end(i, "lapsed");
                    }
                    else if (gang.done)
                    {
                        end(i, "done");
                    }
                    else if (gang.broken)
                    {
                        end(i, "broken");
                    }
                    else if (
                        it.gang > 0 && gang.all_at == 0 &&
                        now - it.begun > settings_.gang_wait_ms)
                    {
                        end(i, "alone");
                    }
                    else if (it.fails && it.done_ms >= it.resumed_ms + 300)
                    {
                        end(i, "failed");
                    }
                    else if (it.stop_at != 0 && now >= it.stop_at)
                    {
                        end(i, "stopped");
                    }
                    else if (it.work_ms >= 0 && it.done_ms >= it.work_ms)
                    {
                        end(i, "done");
                    }
                }
                last = now;
            }
            if (now >= next_beat)
            {
                beat();
                next_beat = now + 1500;
            }
        }
    }

    auto beat() -> void
    {
        auto entry = json{};
        {
            auto const lock = std::scoped_lock{mutex_};
            if (dead_ || dark_)
            {
                return;
            }
            entry = {
                {"service", settings_.service},
                {"address", server_.address()},
                {"zone", settings_.zone},
                {"version", "1"},
                {"slots", 8},
                {"state", draining_ ? "draining" : "ready"},
                {"cold-ms", 0},
                {"seq", ++seq_},
                {"born", born_},
                {"labels", json::array({settings_.kind, settings_.rack})},
                {"capacity",
                 {{"cpu", settings_.cpu},
                  {"mem-mb", settings_.mem_mb},
                  {"gpu", 0}}}};
            if (draining_)
            {
                entry["remaining-ms"] = 2000;
            }
        }
        store_.put("servers/" + settings_.id, entry.dump());
    }

    store& store_;
    record& lines_;
    history& runs_;
    runner_settings settings_;
    std::int64_t born_ = unix_ms();
    std::int64_t started_ = now_ms();
    std::mutex mutex_;
    std::condition_variable changed_;
    bool dead_ = false;
    std::atomic<bool> dark_ = false;
    std::atomic<bool> draining_ = false;
    std::uint64_t seq_ = 0;
    std::uint64_t token_ = 0;
    std::int64_t deadline_ = 0;
    std::uint64_t next_end_ = 1;
    std::vector<run_state> running_;
    json ended_ = json::array();
    std::vector<std::size_t> ended_history_;
    std::map<std::string, std::uint64_t> over_;
    http_server server_;
    std::thread ticker_;
};

/** One entry instance: the project's daemon as a process. */
class instance
{
public:
    instance(
        std::string name, std::string zone, std::string ip, int first_port,
        std::string store_address, std::string folder, double processors = 0.25)
        : name_(std::move(name))
        , folder_(std::move(folder))
    {
        auto const at = [&](int n)
        {
            return ip + ":" + std::to_string(first_port + n);
        };
        front_ = at(0);
        readiness_ = at(1);
        fields_ = {
            {"node-name", name_},
            {"zone", zone},
            {"ip", ip},
            {"port-range", {first_port + 3, first_port + 12}},
            {"listen",
             {{"front", at(0)}, {"readiness", at(1)}, {"control", at(2)}}},
            {"limits",
             {{"cpu-share", processors}, {"cores", 1}, {"memory-mb", 260}}},
            {"platform", {{"address", store_address}}},
            {"bounds",
             {{"hold-max-ms", 6000},
              {"stop-ms", 200},
              {"drain-ms", 2000},
              {"evacuate-ms", 5000}}}};
    }

    ~instance()
    {
        kill(SIGKILL);
    }

    auto start() -> void
    {
        auto const settings = folder_ + "/" + name_ + ".ini";
        std::ofstream{settings} << fill(read("deploy/settings.ini"));
        auto const command = deploy_command();
        auto const log = folder_ + "/" + name_ + ".log";
        pid_ = ::fork();
        if (pid_ == 0)
        {
            auto* const out = std::freopen(log.c_str(), "a", stdout);
            auto* const err = std::freopen(log.c_str(), "a", stderr);
            if (out == nullptr || err == nullptr)
            {
                ::_exit(2);
            }
            auto const variable = "GODWITCLEAT_SETTINGS=" + settings;
            char* variables[] = {const_cast<char*>(variable.c_str()), nullptr};
            auto words = std::vector<char*>{};
            for (auto const& it : command)
            {
                words.push_back(const_cast<char*>(it.c_str()));
            }
            words.push_back(nullptr);
            ::execve(words[0], words.data(), variables);
            ::_exit(2);
        }
    }

    /** Sends a signal; SIGKILL also waits for the end. */
    auto kill(int signal) -> void
    {
        if (pid_ <= 0)
        {
            return;
        }
        ::kill(pid_, signal);
        if (signal == SIGKILL)
        {
            auto status = 0;
            ::waitpid(pid_, &status, 0);
            pid_ = -1;
        }
    }

    /** Returns true if the process has ended by itself, and takes note. */
    auto has_ended() -> bool
    {
        auto status = 0;
        if (pid_ > 0 && ::waitpid(pid_, &status, WNOHANG) == pid_)
        {
            pid_ = -1;
            return true;
        }
        return false;
    }

    [[nodiscard]] auto is_ready() const -> bool
    {
        return http_call(readiness_, "GET", "/api/ready", "x", "", 500)
                   .status == 200;
    }

    /** Returns the resident memory in MB, 0 if the process is gone. */
    [[nodiscard]] auto memory_mb() const -> std::int64_t
    {
        auto file = std::ifstream{"/proc/" + std::to_string(pid_) + "/status"};
        auto line = std::string{};
        while (std::getline(file, line))
        {
            if (line.rfind("VmRSS:", 0) == 0)
            {
                return std::stoll(line.substr(6)) / 1024;
            }
        }
        return 0;
    }

    [[nodiscard]] auto front() const -> std::string const&
    {
        return front_;
    }
    [[nodiscard]] auto name() const -> std::string const&
    {
        return name_;
    }
    [[nodiscard]] auto log_path() const -> std::string
    {
        return folder_ + "/" + name_ + ".log";
    }

    static auto read(std::string const& path) -> std::string
    {
        auto file = std::ifstream{path};
        return {std::istreambuf_iterator<char>{file}, {}};
    }

private:
    // {{a}}, {{a.b}} and {{a.0}} of DEPLOY.md; the template uses no more.
    auto fill(std::string text) const -> std::string
    {
        auto begin = std::string::npos;
        while ((begin = text.find("{{")) != std::string::npos)
        {
            auto const end = text.find("}}", begin);
            auto path =
                std::istringstream{text.substr(begin + 2, end - begin - 2)};
            auto const* node = &fields_;
            auto word = std::string{};
            while (std::getline(path, word, '.'))
            {
                node = node->is_array() ? &node->at(std::stoul(word))
                                        : &node->at(word);
            }
            text.replace(
                begin, end + 2 - begin,
                node->is_string() ? node->get<std::string>() : node->dump());
        }
        return text;
    }

    static auto deploy_command() -> std::vector<std::string>
    {
        auto file = std::ifstream{"deploy/system.toml"};
        auto line = std::string{};
        auto result = std::vector<std::string>{};
        while (std::getline(file, line))
        {
            if (line.rfind("run = ", 0) == 0)
            {
                auto const first = line.find('"') + 1;
                auto words = std::istringstream{
                    line.substr(first, line.rfind('"') - first)};
                auto word = std::string{};
                while (words >> word)
                {
                    result.push_back(word);
                }
            }
        }
        return result;
    }

    std::string name_;
    std::string folder_;
    std::string front_;
    std::string readiness_;
    json fields_;
    pid_t pid_ = -1;
};

/** A deployment: store, instances and runners in zones. */
struct world
{
    explicit world(std::string const& record_path)
        : lines(record_path)
    {
        ::signal(SIGPIPE, SIG_IGN);
        auto name =
            (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
        folder = ::mkdtemp(name.data());
        // A block of loopback addresses of its own, so that ports are free.
        auto const pid = static_cast<int>(::getpid());
        block = "127." + std::to_string(20 + pid % 200) + "." +
                std::to_string(pid / 200 % 250) + ".";
        target = std::make_unique<store>(block + "1");
        trouble = std::getenv("TROUBLE") == nullptr ||
                  std::string{std::getenv("TROUBLE")} != "0";
        lines.line(
            "case", trouble ? "with the disruption" : "without the disruption");
    }

    ~world()
    {
        instances.clear();
        runners.clear();
        target->close();
        if (std::getenv("KEEP_LOGS") == nullptr)
        {
            std::filesystem::remove_all(folder);
        }
    }

    auto add_instances(int count, int zones) -> void
    {
        for (auto i = 0; i < count; ++i)
        {
            instances.push_back(std::make_unique<instance>(
                "front-" + std::to_string(i + 1), zone(i % zones),
                block + std::to_string(10 + i), 7700, target->address(),
                folder));
            instances.back()->start();
        }
    }

    static auto zone(int n) -> std::string
    {
        return std::string{"zone-"} + static_cast<char>('a' + n);
    }

    auto make_runner(runner_settings settings) -> std::unique_ptr<runner>
    {
        settings.ip = block + "100";
        return std::make_unique<runner>(
            *target, lines, runs, std::move(settings));
    }

    /** Publishes the first configuration: one queue of the service "svc". */
    auto publish(int attempts = 4) -> void
    {
        auto const config = json{
            {"version", 7},
            {"routes", json::array(
                           {{{"name", "q"},
                             {"host", host},
                             {"prefix", "/q/"},
                             {"service", "svc"},
                             {"priority", 2},
                             {"attempts", attempts},
                             {"stretch", 2.0},
                             {"target-duration-ms", 4500},
                             {"timeout-ms", 3000}}})},
            {"services", json::array({{{"name", "svc"}}})},
            {"limits", {{"body-bytes", 262144}}}};
        target->put("op/config", config.dump());
    }

    /** Waits until all instances are ready; ends the case with 2 if not. */
    auto await_ready() -> void
    {
        auto const until = now_ms() + 15'000;
        for (auto const& it : instances)
        {
            while (!it->is_ready())
            {
                if (now_ms() > until)
                {
                    lines.line("case", it->name() + " is not ready");
                    fail_setup();
                }
                sleep_ms(50);
            }
        }
        while (!target->value_of("godwitcleat/00/live/owner"))
        {
            if (now_ms() > until)
            {
                lines.line("case", "no instance owns the jobs");
                fail_setup();
            }
            sleep_ms(50);
        }
        sleep_ms(1500);
    }

    [[noreturn]] auto fail_setup() -> void
    {
        instances.clear();
        std::_Exit(2);
    }

    /** A client's call with retries at other instances, as on the pages. */
    auto call(
        std::string const& method, std::string const& id,
        std::string const& body, int tries = 5) -> answer
    {
        auto result = answer{};
        for (auto i = 0; i < tries; ++i)
        {
            auto const& at = *instances[next_++ % instances.size()];
            result =
                http_call(at.front(), method, "/q/" + id, host, body, 3000);
            lines.line(
                "client", method + " " + id + " at " + at.name() + " -> " +
                              std::to_string(result.status) + " " +
                              result.body.substr(0, 120));
            auto const final = result.status == 200 || result.status == 410 ||
                               result.status == 404 || result.status == 400;
            if (final)
            {
                break;
            }
            sleep_ms(result.status == 0 ? 50 : 500);
        }
        return result;
    }

    auto state_of(std::string const& id) -> std::string
    {
        auto const it = call("GET", id, "");
        if (it.status == 200)
        {
            return json::parse(it.body).value("state", "");
        }
        return std::to_string(it.status);
    }

    /** Returns the position of the instance that owns the jobs, or -1. */
    auto owner() -> int
    {
        auto const value = target->value_of("godwitcleat/00/live/owner");
        for (auto i = std::size_t{0}; value && i < instances.size(); ++i)
        {
            // The value is base64 of a record that holds the name.
            auto const name = instances[i]->name();
            for (auto shift = std::size_t{0}; shift < 3; ++shift)
            {
                auto const coded = to_base64(std::string(shift, 'x') + name);
                auto const first = (shift * 8 + 5) / 6;
                auto const last = (shift + name.size()) * 8 / 6;
                if (value->find(coded.substr(first, last - first)) !=
                    std::string::npos)
                {
                    return static_cast<int>(i);
                }
            }
        }
        return -1;
    }

    record lines;
    history runs;
    std::string folder;
    std::string block;
    std::string host = "shop.example";
    bool trouble = true;
    std::unique_ptr<store> target;
    std::vector<std::unique_ptr<instance>> instances;
    std::vector<std::unique_ptr<runner>> runners;

private:
    std::size_t next_ = 0;
};

} // namespace review

#endif
