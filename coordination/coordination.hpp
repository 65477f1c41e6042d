/** @file coordination.hpp Public header of the coordination library. */
#ifndef GODWITCLEAT_COORDINATION_COORDINATION_HPP
#define GODWITCLEAT_COORDINATION_COORDINATION_HPP

#include "coordination/admission_base.hpp"
#include "coordination/config_follower_base.hpp"
#include "coordination/control_base.hpp"
#include "coordination/daemon_settings_base.hpp"
#include "coordination/dispatch_host_base.hpp"
#include "coordination/etcd_func.hpp"
#include "coordination/etcd_store_base.hpp"
#include "coordination/forwarding_base.hpp"
#include "coordination/gateway_base.hpp"
#include "coordination/held_replies_base.hpp"
#include "coordination/instance_list_base.hpp"
#include "coordination/job_router_base.hpp"
#include "coordination/key_func.hpp"
#include "coordination/ownership_base.hpp"
#include "coordination/peer_changes_func.hpp"
#include "coordination/peer_server_base.hpp"
#include "coordination/peers_base.hpp"
#include "coordination/range_cache_base.hpp"
#include "coordination/request_policy_func.hpp"
#include "coordination/retry_budget_base.hpp"
#include "coordination/router_base.hpp"
#include "coordination/shard_host_base.hpp"
#include "coordination/shard_log_base.hpp"
#include "coordination/shard_logs_base.hpp"
#include "coordination/store_type.hpp"
#include "coordination/term_base.hpp"
#include "coordination/watched_range_base.hpp"
#include "coordination/worker_link_type.hpp"

#endif
