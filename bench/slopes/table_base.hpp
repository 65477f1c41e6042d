/** @file table_base.hpp Measured points and the slopes between them. */
#ifndef GODWITCLEAT_BENCH_SLOPES_TABLE_BASE_HPP
#define GODWITCLEAT_BENCH_SLOPES_TABLE_BASE_HPP

#include <ostream>
#include <string>
#include <vector>

namespace godwitcleat::bench
{

/** One measured value. */
struct point
{
    double size = 0;  ///< Of what is varied.
    double value = 0; ///< In the series' unit.
};

/** Values of one figure at several sizes. */
struct series
{
    std::string what; ///< Figure, such as `heartbeat`.
    std::string per;  ///< What is varied, such as `task`.
    std::string unit; ///< `bytes`, `us`, `s` or `calls/s`.
    std::vector<point> points;
};

/** A line through the points. */
struct line
{
    double base = 0;  ///< Value at size 0.
    double slope = 0; ///< Growth with each unit of size.
};

/** Returns the line of least squares; slope 0 for fewer than two sizes. */
auto fit(std::vector<point> const& points) -> line;

/** Prints each series with its line. */
auto print(std::ostream& out, std::vector<series> const& all) -> void;

/** Writes one row for each point: what,per,unit,size,value. */
auto write_csv(std::ostream& out, std::vector<series> const& all) -> void;

} // namespace godwitcleat::bench

#endif
