/** @file table_base.cpp Measured points and the slopes between them. */
#include "bench/slopes/table_base.hpp"

#include <fmt/format.h>

namespace godwitcleat::bench
{

auto fit(std::vector<point> const& points) -> line
{
    auto const n = static_cast<double>(points.size());
    auto x = 0.0;
    auto y = 0.0;
    auto xx = 0.0;
    auto xy = 0.0;
    for (auto const& it : points)
    {
        x += it.size;
        y += it.value;
        xx += it.size * it.size;
        xy += it.size * it.value;
    }
    auto const spread = n * xx - x * x;
    if (spread <= 0)
    {
        return {points.empty() ? 0 : y / n, 0};
    }
    auto const slope = (n * xy - x * y) / spread;
    return {(y - slope * x) / n, slope};
}

auto print(std::ostream& out, std::vector<series> const& all) -> void
{
    for (auto const& it : all)
    {
        auto const found = fit(it.points);
        out << fmt::format(
            "{:<36} {:<8} {:>12.4g} per {:<18} {:>12.4g} at 0 |", it.what,
            it.unit, found.slope, it.per, found.base);
        for (auto const& at : it.points)
        {
            out << fmt::format(" {:g}: {:.5g}", at.size, at.value);
        }
        out << '\n';
    }
}

auto write_csv(std::ostream& out, std::vector<series> const& all) -> void
{
    out << "what,per,unit,size,value\n";
    for (auto const& it : all)
    {
        for (auto const& at : it.points)
        {
            out << fmt::format(
                "{},{},{},{:g},{:.10g}\n", it.what, it.per, it.unit, at.size,
                at.value);
        }
    }
}

} // namespace godwitcleat::bench
