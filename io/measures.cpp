// Purpose: counters and latency histograms of a process, as text.
#include "io/measures.hpp"

#include <array>
#include <map>
#include <sstream>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics.hpp>

namespace fescuevane::io
{
namespace
{

namespace acc = boost::accumulators;

constexpr std::array<double, 3> quantiles = {0.5, 0.9, 0.99};

using histogram =
    acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::sum,
                                            acc::tag::extended_p_square>>;

} // namespace

struct measures::tables
{
    std::map<std::string, std::uint64_t> counters_;
    std::map<std::string, double>        gauges_;
    std::map<std::string, histogram>     histograms_; // seconds
};

measures::measures() : tables_(std::make_unique<tables>()) {}
measures::~measures() = default;

void measures::count(std::string const& name, std::uint64_t by)
{
    tables_->counters_[name] += by;
}

void measures::set(std::string const& name, double value)
{
    tables_->gauges_[name] = value;
}

void measures::observe(std::string const& name, std::int64_t micros)
{
    auto found = tables_->histograms_.find(name);
    if (found == tables_->histograms_.end())
    {
        found =
            tables_->histograms_
                .emplace(name, histogram(acc::extended_p_square_probabilities =
                                             quantiles))
                .first;
    }
    constexpr double micros_per_second = 1e6;
    found->second(static_cast<double>(micros) / micros_per_second);
}

std::string measures::write() const
{
    std::ostringstream text;
    for (auto const& [name, value] : tables_->counters_)
    {
        text << name << ' ' << value << '\n';
    }
    for (auto const& [name, value] : tables_->gauges_)
    {
        text << name << ' ' << value << '\n';
    }
    for (auto const& [name, values] : tables_->histograms_)
    {
        for (std::size_t index = 0; index < quantiles.size(); ++index)
        {
            text << name << "{quantile=\"" << quantiles.at(index) << "\"} "
                 << acc::extended_p_square(values)[index] << '\n';
        }
        text << name << "_sum " << acc::sum(values) << '\n'
             << name << "_count " << acc::count(values) << '\n';
    }
    return text.str();
}

} // namespace fescuevane::io
