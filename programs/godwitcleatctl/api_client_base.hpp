/** @file api_client_base.hpp Client of the daemons' control API. */
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

/** Result of one API call. */
struct api_answer
{
    exit_status status = exit_status::done;
    std::string body;           ///< Of the last response, including an error.
    core::failure reason;       ///< Why the call failed; unset if it succeeded.
    transport::endpoint daemon; ///< Control port that sent the body.
};

/** Sends requests to daemons and waits for the responses. */
class api_client
{
public:
    /** @param daemons control ports, in the order in which they are tried. */
    api_client(
        transport::http_client& client,
        std::vector<transport::endpoint> daemons, core::duration timeout);

    /**
     * Sends GET @p target. Tries the next daemon if one does not respond or
     * responds that it is shutting down.
     */
    auto get(std::string_view target) -> api_answer;

    /**
     * Sends POST @p target with the JSON document @p body. Tries the next
     * daemon only if nothing was sent to the previous one or it responded that
     * it is shutting down, because a command that was sent may have taken
     * effect.
     */
    auto post(std::string_view target, std::string const& body) -> api_answer;

    /** Sends GET @p target to @p daemon only. */
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
