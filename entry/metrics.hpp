// Purpose: counters and latencies in the text format of Prometheus.
#ifndef FESCUEVANE_ENTRY_METRICS_HPP
#define FESCUEVANE_ENTRY_METRICS_HPP

#include "entry/call_kind.hpp"
#include "entry/counter.hpp"
#include "io/http_refusal.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

namespace fescuevane::entry
{

// Quantiles of the latencies.
constexpr std::array<double, 3> latency_quantiles = {0.5, 0.9, 0.99};

// Latencies of calls by kind since the start of the process. Quantiles are
// estimated in constant memory by the extended P-square algorithm (Raatikainen,
// 1987); tests/unit/entry_metrics_test.cpp bounds their error.
class call_metrics
{
public:
    call_metrics();
    ~call_metrics();
    call_metrics(call_metrics const&) = delete;
    call_metrics& operator=(call_metrics const&) = delete;

    void observe(call_kind kind, std::int64_t micros);

    // In seconds; NaN while there are too few calls for an estimate.
    double      quantile(call_kind kind, std::size_t index) const;
    std::string write() const;

private:
    struct latency_table;
    std::unique_ptr<latency_table> table_;
};

std::string write_counters(counter_values const& values);
// By reason, in the order of `io::http_refusal`.
using refused_clients = std::array<std::uint64_t, io::http_refusal_count>;
std::string write_refused_clients(refused_clients const& counts);
std::string write_open_calls(std::size_t open_calls); // a gauge

} // namespace fescuevane::entry

#endif
