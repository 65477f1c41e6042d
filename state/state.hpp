/** @file state.hpp Public header of the state library (no I/O). */
#ifndef GODWITCLEAT_STATE_STATE_HPP
#define GODWITCLEAT_STATE_STATE_HPP

#include "state/absence_func.hpp"
#include "state/config_type.hpp"
#include "state/customer_shares_base.hpp"
#include "state/customer_type.hpp"
#include "state/dispatch_base.hpp"
#include "state/dispatch_type.hpp"
#include "state/engine_base.hpp"
#include "state/interference_base.hpp"
#include "state/job_type.hpp"
#include "state/placement_func.hpp"
#include "state/plan_type.hpp"
#include "state/queue_type.hpp"
#include "state/record_type.hpp"
#include "state/report_base.hpp"
#include "state/report_type.hpp"
#include "state/shard_base.hpp"
#include "state/shard_message_type.hpp"
#include "state/worker_type.hpp"

#endif
