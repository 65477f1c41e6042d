/** @file coordination.hpp Public header of the coordination library. */
#ifndef GODWITCLEAT_COORDINATION_COORDINATION_HPP
#define GODWITCLEAT_COORDINATION_COORDINATION_HPP

#include "coordination/config_follower_base.hpp"
#include "coordination/etcd_func.hpp"
#include "coordination/etcd_store_base.hpp"
#include "coordination/key_func.hpp"
#include "coordination/ownership_base.hpp"
#include "coordination/shard_log_base.hpp"
#include "coordination/store_type.hpp"

#endif
