// Purpose: the table of measures. Each runs from a seed, with its baseline in
// the same run.
#ifndef FESCUEVANE_BENCH_MEASURE_HPP
#define FESCUEVANE_BENCH_MEASURE_HPP

#include "bench/figure.hpp"

#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace fescuevane::bench
{

struct measure
{
    std::string_view const name_;
    std::string_view const help_;
    void (*const run_)(std::uint64_t seed, std::vector<figure>& output);
};

std::span<measure const> list_measures(); // in the order of the runs

// Measures
void measure_decision(std::uint64_t seed, std::vector<figure>& output);
void measure_packing(std::uint64_t seed, std::vector<figure>& output);
void measure_share(std::uint64_t seed, std::vector<figure>& output);
void measure_move(std::uint64_t seed, std::vector<figure>& output);
void measure_overload(std::uint64_t seed, std::vector<figure>& output);
void measure_planner(std::uint64_t seed, std::vector<figure>& output);
void measure_advice(std::uint64_t seed, std::vector<figure>& output);
void measure_memory(std::uint64_t seed, std::vector<figure>& output);
void measure_peers(std::uint64_t seed, std::vector<figure>& output);
void measure_http(std::uint64_t seed, std::vector<figure>& output);
void measure_cell(std::uint64_t seed, std::vector<figure>& output);
void measure_feed(std::uint64_t seed, std::vector<figure>& output);

} // namespace fescuevane::bench

#endif
