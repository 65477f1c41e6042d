/** @file measure_func.hpp The measurements of this program. */
#ifndef GODWITCLEAT_BENCH_SLOPES_MEASURE_FUNC_HPP
#define GODWITCLEAT_BENCH_SLOPES_MEASURE_FUNC_HPP

#include "bench/slopes/table_base.hpp"

#include <vector>

namespace godwitcleat::bench
{

/** Bytes held in memory per job, hosted task, worker and endpoint. */
auto measure_memory() -> std::vector<series>;

/** Encoded bytes of snapshots, log records, heartbeats and peer updates. */
auto measure_bytes() -> std::vector<series>;

/** Processor time of ticks, commits and replays; the lowest of several. */
auto measure_time() -> std::vector<series>;

/** Store calls per second by kind: idle, start peak, restart of all; and the
 *  time without an owner after an instance was killed. */
auto measure_store() -> std::vector<series>;

} // namespace godwitcleat::bench

#endif
