/** @file queue_func.cpp Maps a request to its queue. */
#include "state/queue_type.hpp"

#include <string_view>

namespace godwitcleat::state
{

auto find_queue(
    queue_table const& table, std::string_view host, std::string_view path)
    -> queue_config const*
{
    auto best = static_cast<queue_config const*>(nullptr);
    for (auto const& [id, it] : table.queues)
    {
        auto const matches =
            it.host == host && path.starts_with(it.path_prefix);
        if (matches && (best == nullptr ||
                        it.path_prefix.size() > best->path_prefix.size()))
        {
            best = &it;
        }
    }
    return best;
}

} // namespace godwitcleat::state
