/** @file raw_client_base.hpp A blocking socket that sends arbitrary bytes. */
#ifndef GODWITCLEAT_TESTS_SUPPORT_RAW_CLIENT_BASE_HPP
#define GODWITCLEAT_TESTS_SUPPORT_RAW_CLIENT_BASE_HPP

#include "transport/transport.hpp"

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace godwitcleat::tests
{

/** One connection to a server under test. */
class raw_client
{
public:
    explicit raw_client(transport::endpoint const& where);
    ~raw_client();
    raw_client(raw_client&& other) noexcept;
    auto operator=(raw_client&&) -> raw_client& = delete;

    /** Sends all bytes; false if the peer has closed. */
    auto write(std::string_view bytes) const -> bool;

    /** Tells the peer that no more bytes come. */
    auto end_writing() const -> void;

    /** Reads until the peer closes; std::nullopt if it does not in time. */
    auto read_to_end(std::chrono::milliseconds limit) const
        -> std::optional<std::string>;

private:
    int descriptor_;
};

} // namespace godwitcleat::tests

#endif
