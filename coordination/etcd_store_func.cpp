/** @file etcd_store_func.cpp Connects the etcd store to the HTTP client. */
#include "coordination/etcd_store_base.hpp"

#include <utility>

namespace godwitcleat::coordination
{

auto send_through(transport::http_client& client) -> etcd_send
{
    return [&client](
               transport::endpoint const& where,
               transport::http_request request, core::duration timeout,
               std::function<void(transport::http_result)> on_done)
    {
        client.send(where, std::move(request), timeout, std::move(on_done));
    };
}

} // namespace godwitcleat::coordination
