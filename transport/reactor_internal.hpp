/** @file reactor_internal.hpp Event loop behind the reactor. */
#ifndef GODWITCLEAT_TRANSPORT_REACTOR_INTERNAL_HPP
#define GODWITCLEAT_TRANSPORT_REACTOR_INTERNAL_HPP

#include "transport/reactor_base.hpp"

// Boost 1.74 uses std::exchange without including <utility>.
#include <boost/asio.hpp>

#include <memory>
#include <mutex>
#include <thread>
#include <utility>
#include <vector>

namespace godwitcleat::transport
{

/** Event loop, threads and signal sets. */
struct reactor::implementation
{
    using work_guard = boost::asio::executor_work_guard<
        boost::asio::io_context::executor_type>;

    explicit implementation(std::size_t count);

    /** Timer handles share it, so that they may outlive the reactor. */
    std::shared_ptr<boost::asio::io_context> context;
    work_guard work;
    std::mutex mutex; ///< Guards the following members.
    std::vector<std::thread> threads;
    std::vector<std::unique_ptr<boost::asio::signal_set>> signals;
};

} // namespace godwitcleat::transport

#endif
