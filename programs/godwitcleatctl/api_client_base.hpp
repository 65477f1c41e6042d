/** @file api_client_base.hpp Calls to the control ports of daemons. */
#ifndef GODWITCLEAT_PROGRAMS_CTL_API_CLIENT_BASE_HPP
#define GODWITCLEAT_PROGRAMS_CTL_API_CLIENT_BASE_HPP

#include "command_type.hpp"
#include "core/core.hpp"
#include "transport/transport.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace godwitcleat::ctl
{

/** Result of one call. */
struct api_answer
{
    exit_status status = exit_status::done;
    std::string body;     ///< Of the last response, also if it is an error.
    core::failure reason; ///< Set unless the status is done.
    transport::endpoint daemon; ///< That sent the body.
};

/** Calls daemons and waits for their answers. */
class api_client
{
public:
    /** @param daemons are tried in this order. */
    api_client(
        transport::http_client& client,
        std::vector<transport::endpoint> daemons, core::duration timeout);

    /** Reads @p target; any failure to get an answer tries the next daemon. */
    auto get(std::string_view target) -> api_answer;

    /**
     * Sends @p body. The next daemon is tried only if nothing was sent to this
     * one, or it answered that it is shutting down.
     */
    auto post(std::string_view target, std::string const& body) -> api_answer;

    /** Reads @p target from @p daemon only. */
    auto get_from(transport::endpoint const& daemon, std::string_view target)
        -> api_answer;

private:
    auto call(transport::http_request const& request) -> api_answer;
    auto
    send(transport::endpoint const& daemon, transport::http_request request)
        -> transport::http_result;

    transport::http_client& client_;
    std::vector<transport::endpoint> daemons_;
    core::duration timeout_;
};

} // namespace godwitcleat::ctl

#endif
