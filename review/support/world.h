// Stand-ins of the hosting platform for the scripts of this review: the store, the runners, the
// clients, a TCP relay, and the start of the daemons. Plain sockets, one thread a connection.
#pragma once

#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <csignal>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace review
{

using nlohmann::json;
using steady = std::chrono::steady_clock;

inline auto const began = steady::now();

inline auto now_ms() -> std::int64_t
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(steady::now() - began).count();
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

inline auto sleep_until_ms(std::int64_t at) -> void
{
    sleep_ms(std::max<std::int64_t>(0, at - now_ms()));
}

// ---- the record -------------------------------------------------------------------------------

inline std::mutex record_mutex;
inline FILE* record_file = nullptr;

__attribute__((format(printf, 1, 2))) inline auto record(char const* format, ...) -> void
{
    auto const lock = std::scoped_lock{record_mutex};
    auto const ms = now_ms();
    char text[2048];
    va_list args;
    va_start(args, format);
    std::vsnprintf(text, sizeof text, format, args);
    va_end(args);
    for (auto* out : {record_file, stdout})
    {
        if (out != nullptr)
        {
            std::fprintf(out, "%8.3f s  %s\n", static_cast<double>(ms) / 1000, text);
            std::fflush(out);
        }
    }
}

// ---- HTTP -------------------------------------------------------------------------------------

struct request
{
    std::string method, target, body;
    std::map<std::string, std::string> headers; // Names in lower case.
};

struct response
{
    int status = 200;
    std::string body;
};

// Returns no response to close the connection instead.
using handler = std::function<std::optional<response>(request const&)>;

inline auto read_message(int fd, std::string& buffer, std::string& head, std::string& body) -> bool
{
    auto const more = [&]
    {
        char chunk[16384];
        auto const n = ::recv(fd, chunk, sizeof chunk, 0);
        if (n > 0)
        {
            buffer.append(chunk, static_cast<std::size_t>(n));
        }
        return n > 0;
    };
    auto end = buffer.find("\r\n\r\n");
    while (end == std::string::npos)
    {
        if (!more())
        {
            return false;
        }
        end = buffer.find("\r\n\r\n");
    }
    head = buffer.substr(0, end + 2);
    buffer.erase(0, end + 4);
    auto length = std::size_t{0};
    auto lower = head;
    for (auto& it : lower)
    {
        it = static_cast<char>(std::tolower(static_cast<unsigned char>(it)));
    }
    if (auto const at = lower.find("\r\ncontent-length:"); at != std::string::npos)
    {
        length = std::strtoul(lower.c_str() + at + 17, nullptr, 10);
    }
    while (buffer.size() < length)
    {
        if (!more())
        {
            return false;
        }
    }
    body = buffer.substr(0, length);
    buffer.erase(0, length);
    return true;
}

inline auto send_all(int fd, std::string const& text) -> bool
{
    auto done = std::size_t{0};
    while (done < text.size())
    {
        auto const n = ::send(fd, text.data() + done, text.size() - done, MSG_NOSIGNAL);
        if (n <= 0)
        {
            return false;
        }
        done += static_cast<std::size_t>(n);
    }
    return true;
}

inline auto address_of(std::string const& ip, int port) -> sockaddr_in
{
    auto result = sockaddr_in{};
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &result.sin_addr);
    return result;
}

inline auto listen_on(std::string const& ip, int port, int& bound) -> int
{
    auto const fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto const one = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    auto address = address_of(ip, port);
    if (::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
        ::listen(fd, 256) != 0)
    {
        ::close(fd);
        return -1;
    }
    auto size = socklen_t{sizeof address};
    ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
    bound = ntohs(address.sin_port);
    return fd;
}

inline auto free_port(std::string const& ip) -> int
{
    auto port = 0;
    auto const fd = listen_on(ip, 0, port);
    ::close(fd);
    return port;
}

inline auto no_delay(int fd) -> void
{
    auto const one = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
}

inline auto reset_on_close(int fd) -> void
{
    auto const option = linger{1, 0};
    ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &option, sizeof option);
}

// Accepts connections on a port that it keeps. cut() closes the listener and resets all
// connections, so that the port refuses; open() listens there again.
class tcp_server
{
public:
    using on_accept = std::function<void(int fd)>;

    tcp_server(std::string ip, on_accept call)
        : ip_(std::move(ip))
        , call_(std::move(call))
    {
        open();
    }

    ~tcp_server()
    {
        cut();
    }

    auto open() -> bool
    {
        auto const lock = std::scoped_lock{mutex_};
        if (listener_ >= 0)
        {
            return true;
        }
        listener_ = listen_on(ip_, port_, port_);
        if (listener_ < 0)
        {
            return false;
        }
        ++round_;
        std::thread{[this, fd = listener_, round = round_] { accept_all(fd, round); }}.detach();
        return true;
    }

    auto cut() -> void
    {
        auto const lock = std::scoped_lock{mutex_};
        if (listener_ >= 0)
        {
            ::shutdown(listener_, SHUT_RDWR);
            ::close(listener_);
            listener_ = -1;
        }
        ++round_;
        for (auto const fd : open_)
        {
            reset_on_close(fd);
            ::shutdown(fd, SHUT_RD); // Wakes its thread, which closes it.
        }
    }

    [[nodiscard]] auto address() const -> std::string
    {
        return ip_ + ":" + std::to_string(port_);
    }

private:
    auto accept_all(int listener, int round) -> void
    {
        while (true)
        {
            auto const fd = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0)
            {
                return;
            }
            no_delay(fd);
            {
                auto const lock = std::scoped_lock{mutex_};
                if (round != round_)
                {
                    reset_on_close(fd);
                    ::close(fd);
                    return;
                }
                open_.insert(fd);
            }
            std::thread{[this, fd]
                        {
                            call_(fd);
                            auto const lock = std::scoped_lock{mutex_};
                            open_.erase(fd);
                            ::close(fd);
                        }}
                .detach();
        }
    }

    std::string ip_;
    on_accept call_;
    std::mutex mutex_;
    std::set<int> open_;
    int listener_ = -1;
    int port_ = 0;
    int round_ = 0;
};

inline auto serve_http(int fd, handler const& handle) -> void
{
    auto buffer = std::string{};
    auto head = std::string{};
    auto it = request{};
    while (read_message(fd, buffer, head, it.body))
    {
        auto in = std::istringstream{head};
        auto line = std::string{};
        std::getline(in, line);
        auto first = std::istringstream{line};
        first >> it.method >> it.target;
        it.headers.clear();
        while (std::getline(in, line) && line.size() > 1)
        {
            auto const colon = line.find(':');
            auto name = line.substr(0, colon);
            for (auto& letter : name)
            {
                letter = static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
            }
            auto value = line.substr(std::min(line.size(), colon + 1));
            value.erase(0, value.find_first_not_of(' '));
            value.erase(value.find_last_not_of("\r ") + 1);
            it.headers[name] = value;
        }
        auto const answer = handle(it);
        if (!answer)
        {
            reset_on_close(fd);
            return;
        }
        auto const text = "HTTP/1.1 " + std::to_string(answer->status) +
                          " X\r\nContent-Type: application/json\r\nContent-Length: " +
                          std::to_string(answer->body.size()) + "\r\n\r\n" + answer->body;
        if (!send_all(fd, text))
        {
            return;
        }
    }
}

// One request on a connection of its own. Status 0: no answer; -1: no connection.
inline auto call(
    std::string const& where, std::string const& method, std::string const& target,
    std::string const& host, std::string const& body, std::int64_t wait_ms) -> response
{
    auto const colon = where.find(':');
    auto const fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto address = address_of(where.substr(0, colon), std::stoi(where.substr(colon + 1)));
    auto limit = timeval{wait_ms / 1000, (wait_ms % 1000) * 1000};
    ::setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    ::setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
    if (::connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0)
    {
        ::close(fd);
        return {-1, ""};
    }
    no_delay(fd);
    send_all(
        fd, method + " " + target + " HTTP/1.1\r\nHost: " + host +
                "\r\nContent-Type: application/json\r\nGodwitcleat-Deadline-Ms: " +
                std::to_string(wait_ms) + "\r\nContent-Length: " + std::to_string(body.size()) +
                "\r\n\r\n" + body);
    auto buffer = std::string{};
    auto head = std::string{};
    auto result = response{0, ""};
    if (read_message(fd, buffer, head, result.body))
    {
        result.status = std::atoi(head.c_str() + 9);
    }
    ::close(fd);
    return result;
}

// ---- a relay ----------------------------------------------------------------------------------

// Passes connections on to another address. go_silent() keeps all open connections open and
// passes nothing on any more, in either direction; new connections work.
class relay
{
public:
    relay(std::string ip, std::string target)
        : target_(std::move(target))
        , server_(std::move(ip), [this](int fd) { pass(fd); })
    {
    }

    auto go_silent() -> int
    {
        ++silent_before_;
        return open_.load();
    }

    [[nodiscard]] auto address() const -> std::string
    {
        return server_.address();
    }

private:
    auto pass(int client) -> void
    {
        auto const round = silent_before_.load();
        auto const colon = target_.find(':');
        auto const peer = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        auto address =
            address_of(target_.substr(0, colon), std::stoi(target_.substr(colon + 1)));
        if (::connect(peer, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0)
        {
            ::close(peer);
            reset_on_close(client);
            return;
        }
        no_delay(peer);
        ++open_;
        auto fds = std::array<pollfd, 2>{{{client, POLLIN, 0}, {peer, POLLIN, 0}}};
        auto alive = true;
        while (alive)
        {
            ::poll(fds.data(), fds.size(), 100);
            for (auto i = std::size_t{0}; i < 2 && alive; ++i)
            {
                if ((fds[i].revents & (POLLIN | POLLHUP | POLLERR)) == 0)
                {
                    continue;
                }
                char chunk[16384];
                auto const n = ::recv(fds[i].fd, chunk, sizeof chunk, MSG_DONTWAIT);
                auto const silent = round != silent_before_.load();
                if (n <= 0)
                {
                    // The other side of a silent connection learns nothing.
                    alive = silent;
                    fds[i].fd = silent ? -1 : fds[i].fd;
                    if (silent && fds[0].fd < 0 && fds[1].fd < 0)
                    {
                        alive = false;
                    }
                    continue;
                }
                if (!silent)
                {
                    alive = send_all(
                        fds[1 - i].fd, std::string(chunk, static_cast<std::size_t>(n)));
                }
            }
        }
        --open_;
        ::close(peer);
    }

    std::string target_;
    std::atomic<int> silent_before_{0};
    std::atomic<int> open_{0};
    tcp_server server_;
};

// ---- the store --------------------------------------------------------------------------------

inline auto base64(std::string const& text) -> std::string
{
    static constexpr char digits[] =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    auto result = std::string{};
    for (auto i = std::size_t{0}; i < text.size(); i += 3)
    {
        auto bits = std::uint32_t{0};
        auto const n = std::min<std::size_t>(3, text.size() - i);
        for (auto k = std::size_t{0}; k < 3; ++k)
        {
            bits = bits << 8U | (k < n ? static_cast<unsigned char>(text[i + k]) : 0U);
        }
        for (auto k = std::size_t{0}; k < 4; ++k)
        {
            result += k <= n ? digits[bits >> (18 - 6 * k) & 63U] : '=';
        }
    }
    return result;
}

class kv_store
{
public:
    explicit kv_store(std::string ip)
        : server_(
              std::move(ip),
              [this](int fd)
              { serve_http(fd, [this](request const& it) { return handle(it); }); })
    {
        std::thread{[this]
                    {
                        while (true)
                        {
                            sleep_ms(10);
                            auto const lock = std::scoped_lock{mutex_};
                            expire();
                        }
                    }}
            .detach();
    }

    [[nodiscard]] auto address() const -> std::string
    {
        return server_.address();
    }

    // For the operator and the runners.
    auto put(std::string const& key, std::string const& text) -> void
    {
        auto const lock = std::scoped_lock{mutex_};
        ++revision_;
        write(key, base64(text), 0);
        changed_.notify_all();
    }

    auto erase(std::string const& key) -> void
    {
        auto const lock = std::scoped_lock{mutex_};
        ++revision_;
        remove(key);
        changed_.notify_all();
    }

private:
    struct item
    {
        std::string value;
        std::int64_t revision = 0, created = 0;
        std::uint64_t lease = 0;
    };
    struct lease
    {
        std::int64_t ttl = 0, until = 0;
    };

    static auto decoded(std::string const& text) -> std::string
    {
        auto result = std::string{};
        for (auto i = std::size_t{0}; i < text.size(); ++i)
        {
            if (text[i] == '%' && i + 2 < text.size())
            {
                result += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
                i += 2;
                continue;
            }
            result += text[i];
        }
        return result;
    }

    static auto parameters(std::string const& target) -> std::map<std::string, std::string>
    {
        auto result = std::map<std::string, std::string>{};
        auto const mark = target.find('?');
        auto in = std::istringstream{mark == std::string::npos ? "" : target.substr(mark + 1)};
        auto part = std::string{};
        while (std::getline(in, part, '&'))
        {
            auto const equals = part.find('=');
            result[part.substr(0, equals)] = decoded(part.substr(equals + 1));
        }
        return result;
    }

    static auto row(std::string const& key, item const& it) -> json
    {
        return {
            {"key", key},
            {"value", it.value},
            {"revision", it.revision},
            {"created", it.created},
            {"lease", it.lease}};
    }

    auto write(std::string const& key, std::string value, std::uint64_t lease_id) -> void
    {
        auto& it = items_[key];
        it.value = std::move(value);
        it.revision = revision_;
        it.created = it.created == 0 ? revision_ : it.created;
        it.lease = lease_id;
        events_.push_back(row(key, it));
    }

    auto remove(std::string const& key) -> void
    {
        if (items_.erase(key) > 0)
        {
            events_.push_back({{"key", key}, {"revision", revision_}, {"tombstone", true}});
        }
    }

    auto end_lease(std::uint64_t id) -> bool
    {
        if (leases_.erase(id) == 0)
        {
            return false;
        }
        auto keys = std::vector<std::string>{};
        for (auto const& [key, it] : items_)
        {
            if (it.lease == id)
            {
                keys.push_back(key);
            }
        }
        revision_ += keys.empty() ? 0 : 1;
        for (auto const& key : keys)
        {
            remove(key);
        }
        changed_.notify_all();
        return true;
    }

    auto expire() -> void
    {
        auto over = std::vector<std::uint64_t>{};
        for (auto const& [id, it] : leases_)
        {
            if (it.until <= now_ms())
            {
                over.push_back(id);
            }
        }
        for (auto const id : over)
        {
            end_lease(id);
        }
    }

    auto handle(request const& it) -> std::optional<response>
    {
        auto const path = it.target.substr(0, it.target.find('?'));
        auto query = parameters(it.target);
        auto lock = std::unique_lock{mutex_};
        expire();
        if (path == "/api/kv-key")
        {
            auto const found = items_.find(query["key"]);
            if (found == items_.end())
            {
                return response{404, "{}"};
            }
            auto body = row(found->first, found->second);
            body["store-revision"] = revision_;
            return response{200, body.dump()};
        }
        if (path == "/api/kv-range")
        {
            auto rows = json::array();
            auto more = false;
            for (auto const& [key, value] : items_)
            {
                if (!key.starts_with(query["prefix"]) || key <= query["after"])
                {
                    continue;
                }
                if (rows.size() == 500)
                {
                    more = true;
                    break;
                }
                rows.push_back(row(key, value));
            }
            return response{
                200,
                json{{"items", rows}, {"has-more", more}, {"store-revision", revision_}}.dump()};
        }
        if (path == "/api/kv-watch")
        {
            auto const after = std::stoll(query["after"]);
            auto const until =
                steady::now() + std::chrono::milliseconds{std::stoll(query["wait-ms"])};
            while (true)
            {
                auto found = json::array();
                for (auto i = events_.rbegin(); i != events_.rend(); ++i)
                {
                    if ((*i)["revision"].get<std::int64_t>() <= after)
                    {
                        break;
                    }
                    if ((*i)["key"].get_ref<std::string const&>().starts_with(query["prefix"]))
                    {
                        found.insert(found.begin(), *i);
                    }
                }
                if (!found.empty() || steady::now() >= until)
                {
                    return response{
                        200, json{{"events", found}, {"store-revision", revision_}}.dump()};
                }
                changed_.wait_until(lock, until);
            }
        }
        if (path == "/api/kv-txn")
        {
            auto const body = json::parse(it.body);
            auto items = json::array();
            auto holds = true;
            for (auto const& row_of : body.at("expect"))
            {
                auto const key = row_of.at("key").get<std::string>();
                auto const found = items_.find(key);
                auto const revision = found == items_.end() ? 0 : found->second.revision;
                holds = holds && revision == row_of.at("revision").get<std::int64_t>();
                if (found != items_.end())
                {
                    items.push_back(row(key, found->second));
                }
            }
            if (!holds)
            {
                return response{412, json{{"items", items}}.dump()};
            }
            for (auto const& row_of : body.at("writes"))
            {
                auto const id = row_of.value("lease", std::uint64_t{0});
                if (id != 0 && leases_.count(id) == 0)
                {
                    return response{404, "{}"};
                }
            }
            ++revision_;
            for (auto const& row_of : body.at("writes"))
            {
                write(
                    row_of.at("key").get<std::string>(),
                    row_of.at("value").get<std::string>(),
                    row_of.value("lease", std::uint64_t{0}));
            }
            for (auto const& key : body.value("remove", json::array()))
            {
                remove(key.get<std::string>());
            }
            changed_.notify_all();
            return response{200, json{{"revision", revision_}}.dump()};
        }
        if (path == "/api/kv-lease")
        {
            auto const ttl = json::parse(it.body).at("ttl-ms").get<std::int64_t>();
            auto const id = ++last_lease_;
            leases_[id] = {ttl, now_ms() + ttl};
            return response{200, json{{"lease", id}, {"ttl-ms", ttl}}.dump()};
        }
        auto const slash = path.rfind('/');
        auto const id = std::strtoull(path.c_str() + slash + 1, nullptr, 10);
        if (path.starts_with("/api/kv-keep/"))
        {
            auto const found = leases_.find(id);
            if (found == leases_.end())
            {
                return response{404, "{}"};
            }
            found->second.until = now_ms() + found->second.ttl;
            return response{200, json{{"ttl-ms", found->second.ttl}}.dump()};
        }
        if (path.starts_with("/api/kv-lease-end/"))
        {
            return response{end_lease(id) ? 200 : 404, "{}"};
        }
        return response{404, "{}"};
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, item> items_;
    std::map<std::uint64_t, lease> leases_;
    std::vector<json> events_;
    std::int64_t revision_ = 1;
    std::uint64_t last_lease_ = 1000;
    tcp_server server_;
};

// ---- the runners ------------------------------------------------------------------------------

// What all runners have seen; the checks of the rules read it.
struct run_log
{
    struct entry
    {
        std::string task, runner, how; // `how` is empty while it runs.
        std::uint64_t run = 0;
        std::int64_t from = 0, to = -1;
        bool acknowledged = false;
    };

    std::mutex mutex;
    std::vector<entry> entries;
    std::vector<std::string> twice; // Breaches of TWICE.

    auto begin(std::string const& task, std::uint64_t run, std::string const& runner)
        -> std::size_t
    {
        auto const lock = std::scoped_lock{mutex};
        record("%s starts %s run %llu", runner.c_str(), task.c_str(),
               static_cast<unsigned long long>(run));
        for (auto const& it : entries)
        {
            if (it.task != task)
            {
                continue;
            }
            if (it.to < 0)
            {
                twice.push_back(task);
                record("TWICE: %s run %llu still runs on %s", task.c_str(),
                       static_cast<unsigned long long>(it.run), it.runner.c_str());
            }
            else if (it.how == "done" && it.acknowledged)
            {
                twice.push_back(task);
                record("TWICE: %s run %llu had ended done on %s, which was acknowledged",
                       task.c_str(), static_cast<unsigned long long>(it.run), it.runner.c_str());
            }
        }
        entries.push_back({task, runner, "", run, now_ms(), -1, false});
        return entries.size() - 1;
    }

    auto end(std::size_t index, std::string const& how) -> void
    {
        auto const lock = std::scoped_lock{mutex};
        auto& it = entries.at(index);
        it.to = now_ms();
        it.how = how;
        record("%s ends %s run %llu: %s", it.runner.c_str(), it.task.c_str(),
               static_cast<unsigned long long>(it.run), how.c_str());
    }

    auto acknowledge(std::size_t index) -> void
    {
        auto const lock = std::scoped_lock{mutex};
        entries.at(index).acknowledged = true;
    }

    // The runner on which a task is at work; empty: none.
    auto runner_of(std::string const& task) -> std::string
    {
        auto const lock = std::scoped_lock{mutex};
        for (auto const& it : entries)
        {
            if (it.task == task && it.to < 0)
            {
                return it.runner;
            }
        }
        return {};
    }

    // Runs at work on a runner.
    auto count_on(std::string const& runner) -> int
    {
        auto const lock = std::scoped_lock{mutex};
        auto n = 0;
        for (auto const& it : entries)
        {
            n += it.runner == runner && it.to < 0 ? 1 : 0;
        }
        return n;
    }

    auto count(std::string const& prefix, std::string const& how) -> int
    {
        auto const lock = std::scoped_lock{mutex};
        auto n = 0;
        for (auto const& it : entries)
        {
            n += it.task.starts_with(prefix) && it.how == how ? 1 : 0;
        }
        return n;
    }
};

struct runner_settings
{
    std::string id, zone, service, rack;
    std::int64_t cpu = 16000, mem_mb = 64000;
    std::int64_t hold_max_ms = 6000, heartbeat_ms = 1100;
};

// A runner. A task's work is given by the spec: "work MS", else it lasts.
class runner
{
public:
    runner(kv_store& store, run_log& log, runner_settings settings)
        : store_(store)
        , log_(log)
        , settings_(std::move(settings))
        , server_(
              "127.0.0.1",
              [this](int fd)
              { serve_http(fd, [this](request const& it) { return handle(it); }); })
    {
        born();
        std::thread{[this] { tick(); }}.detach();
    }

    [[nodiscard]] auto id() const -> std::string const&
    {
        return settings_.id;
    }

    [[nodiscard]] auto zone() const -> std::string const&
    {
        return settings_.zone;
    }

    // The process is killed: it loses all, its port refuses, its entry expires.
    auto crash() -> void
    {
        record("%s crashes", settings_.id.c_str());
        up_ = false;
        server_.cut();
        auto const lock = std::scoped_lock{mutex_};
        for (auto const& it : running_)
        {
            log_.end(it.log, "lost with its runner");
        }
        running_.clear();
        ended_.clear();
        last_beat_ = now_ms();
        changed_.notify_all();
    }

    // It starts again under its id and knows nothing of before.
    auto start_again() -> void
    {
        born();
        server_.open();
        up_ = true;
        record("%s is back", settings_.id.c_str());
    }

    // It fails all that it starts; what runs already works on, and its health is good.
    auto fail_starts(bool fails) -> void
    {
        record("%s %s", settings_.id.c_str(),
               fails ? "fails all that it starts" : "is sound again");
        fails_ = fails;
    }

    // The links to all machines of the system and to the store reset; it works on.
    auto cut_off(bool is_cut) -> void
    {
        record("%s is %s", settings_.id.c_str(), is_cut ? "cut off" : "reachable again");
        cut_ = is_cut;
        if (is_cut)
        {
            server_.cut();
        }
        else
        {
            server_.open();
        }
    }

private:
    struct run
    {
        std::string task;
        std::uint64_t number = 0;
        std::int64_t since = 0, until = 0; // 0: it lasts.
        std::size_t log = 0;
        bool fails = false;
    };
    struct ended
    {
        std::uint64_t number = 0;
        run of;
        std::string how;
    };

    auto clock() const -> std::int64_t
    {
        return now_ms() - clock_zero_;
    }

    auto born() -> void
    {
        auto const lock = std::scoped_lock{mutex_};
        born_ms_ = unix_ms();
        clock_zero_ = now_ms() - 1000;
        token_ = 0;
        deadline_ = 0;
        next_end_ = 1;
        seq_ = 0;
        last_beat_ = now_ms() - settings_.heartbeat_ms;
    }

    auto beat() -> void
    {
        last_beat_ = now_ms();
        listed_ = true;
        store_.put(
            "servers/" + settings_.id,
            json{
                {"service", settings_.service},
                {"address", server_.address()},
                {"zone", settings_.zone},
                {"version", "v1"},
                {"slots", 8},
                {"state", "ready"},
                {"cold-ms", 0},
                {"capacity",
                 {{"cpu", settings_.cpu}, {"mem-mb", settings_.mem_mb}, {"gpu", 0}}},
                {"labels", {"a", settings_.rack}},
                {"clock-ms", clock()},
                {"born", born_ms_},
                {"seq", ++seq_}}
                .dump());
    }

    auto tick() -> void
    {
        while (true)
        {
            sleep_ms(5);
            auto const lock = std::scoped_lock{mutex_};
            if (up_ && !cut_ && now_ms() - last_beat_ >= settings_.heartbeat_ms)
            {
                beat();
            }
            if (listed_ && now_ms() - last_beat_ >= 3 * settings_.heartbeat_ms)
            {
                listed_ = false;
                record("the entry of %s expires", settings_.id.c_str());
                store_.erase("servers/" + settings_.id);
            }
            auto const lapsed = clock() > deadline_;
            for (auto i = running_.size(); i-- > 0;)
            {
                if (lapsed)
                {
                    end(i, "lapsed");
                }
                else if (running_[i].until != 0 && now_ms() >= running_[i].until)
                {
                    end(i, running_[i].fails ? "failed" : "done");
                }
            }
        }
    }

    auto end(std::size_t index, std::string const& how) -> void
    {
        auto const it = running_[index];
        running_.erase(running_.begin() + static_cast<std::ptrdiff_t>(index));
        log_.end(it.log, how);
        ended_.push_back({next_end_++, it, how});
        changed_.notify_all();
    }

    auto refuse(char const* reason) -> response
    {
        return {409, json{{"clock-ms", clock()}, {"born", born_ms_}, {"reason", reason}}.dump()};
    }

    auto accepted() -> response
    {
        return {200, json{{"clock-ms", clock()}, {"born", born_ms_}}.dump()};
    }

    auto handle(request const& it) -> std::optional<response>
    {
        if (it.target == "/health")
        {
            return response{200, ""};
        }
        auto const expected = it.headers.find("godwitcleat-expected-instance");
        if (expected != it.headers.end() && expected->second != settings_.id)
        {
            return response{421, "{}"};
        }
        auto const body = json::parse(it.body, nullptr, false);
        if (!body.is_object())
        {
            return response{400, "{}"};
        }
        auto lock = std::unique_lock{mutex_};
        if (!up_)
        {
            return std::nullopt;
        }
        auto const token = body.value("fencing-token", std::uint64_t{0});
        if (token < token_)
        {
            return refuse("fence");
        }
        token_ = token;
        if (it.target == "/api/hold")
        {
            return hold(body, lock);
        }
        auto const task = body.value("task", std::string{});
        auto const number = body.value("run", std::uint64_t{0});
        if (it.target == "/api/run-start")
        {
            return start(task, number, body);
        }
        if (it.target == "/api/run-stop")
        {
            for (auto i = std::size_t{0}; i < running_.size(); ++i)
            {
                if (running_[i].task == task && running_[i].number == number)
                {
                    end(i, "stopped");
                    break;
                }
            }
            auto& highest = stopped_[task];
            highest = std::max(highest, number);
        }
        return accepted();
    }

    auto extend(std::int64_t asked) -> void
    {
        deadline_ = std::max(deadline_, std::min(asked, clock() + settings_.hold_max_ms));
    }

    auto start(std::string const& task, std::uint64_t number, json const& body) -> response
    {
        auto const asked = body.at("deadline-ms").get<std::int64_t>();
        for (auto const& it : running_)
        {
            if (it.task == task && it.number == number)
            {
                return accepted();
            }
        }
        if (asked < clock())
        {
            return refuse("late");
        }
        auto old = stopped_.contains(task) && stopped_[task] >= number;
        for (auto const& it : ended_)
        {
            old = old || (it.of.task == task && it.of.number >= number);
        }
        extend(asked);
        if (old)
        {
            return refuse("old");
        }
        auto const spec = body.at("spec").get<std::string>();
        auto it = run{task, number, now_ms(), 0, 0, fails_};
        if (spec.starts_with("work "))
        {
            it.until = now_ms() + std::stoll(spec.substr(5));
        }
        if (fails_)
        {
            it.until = now_ms() + 100;
        }
        it.log = log_.begin(task, number, settings_.id);
        running_.push_back(it);
        return accepted();
    }

    auto hold(json const& body, std::unique_lock<std::mutex>& lock) -> std::optional<response>
    {
        auto const cursor = body.value("ack-cursor", std::uint64_t{0});
        std::erase_if(
            ended_,
            [&](ended const& it)
            {
                if (it.number > cursor)
                {
                    return false;
                }
                log_.acknowledge(it.of.log);
                return true;
            });
        if (body.contains("deadline-ms"))
        {
            extend(body.at("deadline-ms").get<std::int64_t>());
        }
        auto const seen = next_end_;
        auto const until = steady::now() +
                           std::chrono::milliseconds{body.value("wait-ms", std::int64_t{0})};
        auto const life = born_ms_;
        changed_.wait_until(
            lock, until, [&] { return next_end_ != seen || !up_ || born_ms_ != life; });
        if (!up_ || born_ms_ != life)
        {
            return std::nullopt;
        }
        auto answer = json{
            {"clock-ms", clock()},
            {"born", born_ms_},
            {"running", json::array()},
            {"ended", json::array()}};
        for (auto const& it : running_)
        {
            auto const whole = it.until - it.since;
            auto const percent = it.until == 0 ? 100 : (now_ms() - it.since) * 100 / whole;
            answer["running"].push_back({it.task, it.number, "", percent, 500});
        }
        for (auto const& it : ended_)
        {
            answer["ended"].push_back({it.number, it.of.task, it.of.number, it.how, ""});
        }
        return response{200, answer.dump()};
    }

    kv_store& store_;
    run_log& log_;
    runner_settings settings_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::atomic<bool> up_{true};
    std::atomic<bool> cut_{false};
    std::atomic<bool> fails_{false};
    bool listed_ = false;
    std::int64_t born_ms_ = 0, clock_zero_ = 0, deadline_ = 0, last_beat_ = 0;
    std::uint64_t token_ = 0, next_end_ = 1, seq_ = 0;
    std::vector<run> running_;
    std::vector<ended> ended_;
    std::map<std::string, std::uint64_t> stopped_;
    tcp_server server_;
};

// ---- the daemons ------------------------------------------------------------------------------

struct daemon_process
{
    std::string name, zone, ip, front, readiness, peer, settings_path, log_path;
    pid_t pid = -1;
};

// Starts the program of the deploy file with the settings that its template makes.
class fleet
{
public:
    fleet(std::string folder, std::string store, std::int64_t hold_max_ms)
        : folder_(std::move(folder))
        , store_(std::move(store))
        , hold_max_ms_(hold_max_ms)
    {
    }

    ~fleet()
    {
        for (auto const& it : daemons)
        {
            if (it.pid > 0)
            {
                ::kill(it.pid, SIGKILL);
                ::waitpid(it.pid, nullptr, 0);
            }
        }
    }

    // Each daemon has a loopback address of its own, as machines have; connections do not begin
    // there, so that its ports stay free.
    auto add(std::string const& zone) -> daemon_process&
    {
        auto const process = static_cast<unsigned>(::getpid());
        auto const ip = "127." + std::to_string(1 + process / 200 % 200) + "." +
                        std::to_string(1 + process % 200) + "." +
                        std::to_string(daemons.size() + 1);
        auto it = daemon_process{};
        it.name = "front-" + zone + "-" + std::to_string(daemons.size() + 1);
        it.zone = zone;
        it.ip = ip;
        it.front = ip + ":" + std::to_string(free_port(ip));
        it.readiness = ip + ":" + std::to_string(free_port(ip));
        it.peer = ip + ":" + std::to_string(free_port(ip));
        it.settings_path = folder_ + "/" + it.name + ".ini";
        it.log_path = folder_ + "/" + it.name + ".log";
        daemons.push_back(it);
        return daemons.back();
    }

    // `extra` goes into the section [instance].
    auto start(daemon_process& it, std::string const& extra = "") -> void
    {
        auto in = std::ifstream{"deploy/settings.ini"};
        auto text = std::string{std::istreambuf_iterator<char>{in}, {}};
        auto const colon = it.peer.find(':');
        auto const control = std::to_string(free_port(it.ip));
        auto const values = std::map<std::string, std::string>{
            {"node-name", it.name},
            {"zone", it.zone},
            {"limits.cpu-share", "0.25"},
            {"listen.front", it.front},
            {"listen.readiness", it.readiness},
            {"ip", it.ip},
            {"port-range.0", it.peer.substr(colon + 1)},
            {"port-range.1", control},
            {"platform.address", store_},
            {"bounds.hold-max-ms", std::to_string(hold_max_ms_)},
            {"bounds.stop-ms", "900"},
            {"bounds.drain-ms", "2000"},
            {"bounds.evacuate-ms", "5000"}};
        for (auto const& [name, value] : values)
        {
            auto const mark = "{{" + name + "}}";
            for (auto at = text.find(mark); at != std::string::npos; at = text.find(mark))
            {
                text.replace(at, mark.size(), value);
            }
        }
        if (!extra.empty())
        {
            auto const at = text.find("[instance]\n") + 11;
            text.insert(at, extra + "\n");
        }
        std::ofstream{it.settings_path} << text;
        auto const variable = "GODWITCLEAT_SETTINGS=" + it.settings_path;
        auto const path = std::string{"PATH="} + (std::getenv("PATH") ? std::getenv("PATH") : "");
        it.pid = ::fork();
        if (it.pid == 0)
        {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            auto const log =
                ::open(it.log_path.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(log, 1);
            ::dup2(log, 2);
            char const* arguments[] = {"target/godwitcleatd", nullptr};
            char const* environment[] = {variable.c_str(), path.c_str(), nullptr};
            ::execve(
                arguments[0], const_cast<char**>(arguments), const_cast<char**>(environment));
            ::_exit(127);
        }
    }

    auto wait_until_ready(std::int64_t limit_ms) -> bool
    {
        auto const until = now_ms() + limit_ms;
        for (auto const& it : daemons)
        {
            while (call(it.readiness, "GET", "/api/ready", "x", "", 1000).status != 200)
            {
                if (now_ms() > until)
                {
                    return false;
                }
                sleep_ms(50);
            }
        }
        return true;
    }

    // The daemon that has said last that it owns the jobs.
    auto owner() -> daemon_process*
    {
        auto best = std::string{};
        auto* result = static_cast<daemon_process*>(nullptr);
        for (auto& it : daemons)
        {
            auto in = std::ifstream{it.log_path};
            auto line = std::string{};
            while (std::getline(in, line))
            {
                if (line.find("This instance owns the jobs.") != std::string::npos &&
                    line > best)
                {
                    best = line;
                    result = &it;
                }
            }
        }
        return result;
    }

    auto all_run() -> bool
    {
        for (auto const& it : daemons)
        {
            if (::waitpid(it.pid, nullptr, WNOHANG) != 0)
            {
                return false;
            }
        }
        return true;
    }

    std::list<daemon_process> daemons;

private:
    std::string folder_;
    std::string store_;
    std::int64_t hold_max_ms_;
};

// ---- the clients ------------------------------------------------------------------------------

// Sends a request as a client does: after no answer, a 429, 502, 503 or 504 it asks again, at
// another machine, `retries` times at most.
inline auto ask(
    std::vector<std::string> const& fronts, std::size_t first, std::string const& method,
    std::string const& target, std::string const& host, std::string const& body, int retries,
    std::int64_t wait_ms = 3000) -> response
{
    auto answer = response{0, ""};
    for (auto i = 0; i <= retries; ++i)
    {
        auto const& where = fronts[(first + static_cast<std::size_t>(i)) % fronts.size()];
        auto const sent = now_ms();
        answer = call(where, method, target, host, body, wait_ms);
        record("client: %s %s at %s -> %d after %lld ms %s", method.c_str(), target.c_str(),
               where.c_str(), answer.status, static_cast<long long>(now_ms() - sent),
               answer.body.substr(0, 120).c_str());
        auto const again = answer.status <= 0 || answer.status == 429 || answer.status >= 502;
        if (!again)
        {
            break;
        }
        sleep_ms(50);
    }
    return answer;
}

inline auto job_id(int number) -> std::string
{
    char text[17];
    std::snprintf(text, sizeof text, "5c0e7a21d94b%04x", number);
    return text;
}

inline auto small_config(std::string const& service) -> std::string
{
    auto const route = [&](char const* name, char const* host, char const* prefix, int priority,
                           int attempts)
    {
        return json{
            {"name", name},
            {"host", host},
            {"prefix", prefix},
            {"kind", "non_idempotent"},
            {"timeout-ms", 3000},
            {"target-duration-ms", 1000},
            {"priority", priority},
            {"service", service},
            {"attempts", attempts},
            {"stretch", 2.0}};
    };
    return json{
        {"version", 7},
        {"routes",
         {route("r-batch", "nony24.example", "/batch/", 2, 4),
          route("r-lasting", "nony24.example", "/lasting/", 0, 2)}},
        {"services", {{{"name", service}, {"rejects-overload", false}}}},
        {"limits", {{"body-bytes", 262144}}}}
        .dump();
}

// Arguments: the folder of the case and a temporary folder.
inline auto open_record(int argc, char** argv) -> std::string
{
    std::signal(SIGPIPE, SIG_IGN);
    if (argc < 3)
    {
        std::fprintf(stderr, "usage: CASE FOLDER TEMPORARY_FOLDER\n");
        std::exit(2);
    }
    record_file = std::fopen((std::string{argv[1]} + "/record.txt").c_str(), "w");
    return argv[2];
}

inline auto with_trouble() -> bool
{
    auto const* const value = std::getenv("TROUBLE");
    return value == nullptr || std::string{value} != "0";
}

// Copies the lines of the daemons' logs that contain one of the texts into the record.
inline auto record_logs(fleet const& all, std::vector<std::string> const& texts) -> void
{
    for (auto const& it : all.daemons)
    {
        auto in = std::ifstream{it.log_path};
        auto line = std::string{};
        while (std::getline(in, line))
        {
            for (auto const& text : texts)
            {
                if (line.find(text) != std::string::npos)
                {
                    record("log of %s: %s", it.name.c_str(), line.substr(0, 400).c_str());
                }
            }
        }
    }
}

// Ends the program without waiting for the threads of the stand-ins.
[[noreturn]] inline auto finish(fleet& all, int code) -> void
{
    record(
        "result: %s", code == 0   ? "the rule held"
                      : code == 1 ? "the rule was broken"
                                  : "the case could not run");
    for (auto const& it : all.daemons)
    {
        if (it.pid > 0)
        {
            ::kill(it.pid, SIGKILL);
            ::waitpid(it.pid, nullptr, 0);
        }
    }
    std::_Exit(code);
}

} // namespace review
