// Purpose: runs measures, prints them as a table and writes them as JSON.
#include "bench/measure.hpp"

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>
#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <exception>
#include <fstream>
#include <string>
#include <vector>

namespace fescuevane::bench
{
namespace
{

std::string format_number(double value)
{
    char text[32];
    std::snprintf(text, sizeof text, "%.5g", value);
    return text;
}

bool is_met(figure const& value)
{
    return value.aim_.kind_ == aim_kind::at_most
               ? value.value_ <= value.aim_.limit_
               : value.value_ >= value.aim_.limit_;
}

std::string format_aim(figure const& value)
{
    static constexpr char const* signs[] = {"", "<= ", ">= "};
    auto const kind = static_cast<std::size_t>(value.aim_.kind_);
    return kind == 0 ? "-" : signs[kind] + format_number(value.aim_.limit_);
}

std::string format_verdict(figure const& value)
{
    if (value.aim_.kind_ == aim_kind::none)
    {
        return "-";
    }
    return is_met(value)
               ? "met"
               : "missed by " +
                     format_number(std::abs(value.value_ - value.aim_.limit_));
}

std::string format_ratio(figure const& value)
{
    return value.baseline_ && *value.baseline_ != 0
               ? format_number(value.value_ / *value.baseline_)
               : "-";
}

void print_figure(figure const& value)
{
    std::printf("| %s | %s | %s | %s | %s | %s | %s | %s |\n",
                value.measure_.c_str(), value.setting_.c_str(),
                value.name_.c_str(), format_number(value.value_).c_str(),
                value.baseline_ ? format_number(*value.baseline_).c_str() : "-",
                format_ratio(value).c_str(), format_aim(value).c_str(),
                format_verdict(value).c_str());
}

nlohmann::json write_figure(figure const& value)
{
    nlohmann::json json = {
        {"measure", value.measure_}, {"setting", value.setting_},
        {"name", value.name_},       {"value", value.value_},
        {"aim", format_aim(value)},  {"verdict", format_verdict(value)}};
    if (value.baseline_)
    {
        json["baseline"] = *value.baseline_;
    }
    return json;
}

bool is_chosen(std::vector<std::string> const& names, measure const& value)
{
    return names.empty() ||
           std::find(names.begin(), names.end(), value.name_) != names.end();
}

std::vector<figure> run_measures(std::vector<std::string> const& names,
                                 std::uint64_t                   seed)
{
    std::vector<figure> figures;
    for (measure const& each : list_measures())
    {
        if (!is_chosen(names, each))
        {
            continue;
        }
        std::size_t const printed = figures.size();
        each.run_(seed, figures);
        for (std::size_t row = printed; row < figures.size(); ++row)
        {
            print_figure(figures[row]);
        }
        std::fflush(stdout);
    }
    return figures;
}

int run(int argc, char** argv)
{
    CLI::App                 app("Measures of the scheduler");
    std::vector<std::string> names;
    std::uint64_t            seed = 1;
    std::string              json_file;
    std::vector<std::string> known;
    for (measure const& each : list_measures())
    {
        known.emplace_back(each.name_);
    }
    app.add_option("name", names, "Measures to run, all when none is given")
        ->check(CLI::IsMember(known));
    app.add_option("--seed", seed, "Seed of the workload");
    app.add_option("--json", json_file, "File for the figures");
    CLI11_PARSE(app, argc, argv);
    std::printf("| measure | setting | figure | value | baseline | ratio | aim "
                "| result |\n|---|---|---|---|---|---|---|---|\n");
    auto const     figures = run_measures(names, seed);
    nlohmann::json json = nlohmann::json::array();
    for (figure const& each : figures)
    {
        json.push_back(write_figure(each));
    }
    if (!json_file.empty())
    {
        std::ofstream(json_file) << json.dump(2) << '\n';
    }
    return 0;
}

} // namespace
} // namespace fescuevane::bench

int main(int argc, char** argv)
{
    try
    {
        return fescuevane::bench::run(argc, argv);
    }
    catch (std::exception const& error)
    {
        std::fprintf(stderr, "fescuevane_bench: %s\n", error.what());
        return 1;
    }
}
