/** @file peer_changes_func.hpp Differences between states of one daemon. */
#ifndef GODWITCLEAT_COORDINATION_PEER_CHANGES_FUNC_HPP
#define GODWITCLEAT_COORDINATION_PEER_CHANGES_FUNC_HPP

#include "protocol/protocol.hpp"

namespace godwitcleat::coordination
{

/**
 * Returns what turns @p base into @p present, apart from endpoint tables,
 * which have versions of their own. Both are of the same process; addresses
 * and data centre never change within it.
 */
auto changes_between(
    protocol::peer_update const& base, protocol::peer_update const& present)
    -> protocol::peer_changes;

/**
 * Returns the state after @p changes, with their endpoint tables.
 * @param base the state with the number that the changes build on.
 */
auto with_changes(protocol::peer_update base, protocol::peer_changes changes)
    -> protocol::peer_update;

} // namespace godwitcleat::coordination

#endif
