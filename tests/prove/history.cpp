// Purpose: reads histories and formats their lines.
#include "tests/prove/history.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <fstream>
#include <stdexcept>
#include <string_view>

namespace fescuevane::prove
{
namespace
{

run_event parse_run(std::string const& line)
{
    nlohmann::json const json = nlohmann::json::parse(line);
    return {.time_ = json.at("t_us"),
            .event_ = json.at("event"),
            .target_ = json.at("target"),
            .domain_ = json.at("failure_domain"),
            .team_ = json.value("team", ""),
            .job_ = json.value("job", ""),
            .index_ = json.value("index", std::int64_t(0)),
            .attempt_ = json.value("attempt", std::int64_t(0)),
            .idempotent_ = json.value("idempotent", true),
            .reserved_ = {json.value("cpu_millis", std::int64_t(0)),
                          json.value("memory_mib", std::int64_t(0)),
                          json.value("accelerators", std::int64_t(0))},
            .reason_ = json.value("reason", ""),
            .line_ = line};
}

constexpr std::array<std::string_view, 3> action_names = {"submit", "look_up",
                                                          "cancel"};
constexpr std::array<std::string_view, 5> end_names = {
    "replied", "refused", "broken", "timed_out", "open"};
constexpr std::size_t max_printed_body = 80;

} // namespace

// Lines of one target are in order; lines of two targets with the same time
// keep the order of the files.
std::vector<run_event> read_runs(std::vector<std::string> const& paths)
{
    std::vector<run_event> lines;
    for (std::string const& path : paths)
    {
        std::ifstream file(path);
        if (!file)
        {
            throw std::runtime_error("can't read " + path);
        }
        for (std::string line; std::getline(file, line);)
        {
            lines.push_back(parse_run(line));
        }
    }
    std::vector<run_event const*> order;
    order.reserve(lines.size());
    for (run_event const& line : lines)
    {
        order.push_back(&line);
    }
    std::stable_sort(order.begin(), order.end(),
                     [](run_event const* left, run_event const* right)
                     {
                         return left->time_ < right->time_;
                     });
    std::vector<run_event> sorted;
    sorted.reserve(order.size());
    for (run_event const* line : order)
    {
        sorted.push_back(*line);
    }
    return sorted;
}

std::string format_call(call_event const& call)
{
    nlohmann::ordered_json json;
    json["call"] = call.number_;
    json["began_us"] = call.began_;
    json["ended_us"] = call.ended_;
    json["action"] = action_names.at(static_cast<std::size_t>(call.action_));
    json["entry"] = call.entry_ + "#" + std::to_string(call.incarnation_);
    json["team"] = call.team_;
    json["key"] = call.key_;
    json["job"] = call.id_.empty() ? call.asked_id_ : call.id_;
    json["end"] = end_names.at(static_cast<std::size_t>(call.end_));
    json["status"] = call.status_;
    json["state"] = call.state_;
    json["outcome"] = call.outcome_;
    json["reason"] = call.reason_;
    json["expected"] = call.expected_.substr(0, max_printed_body);
    json["body"] = call.body_.substr(0, max_printed_body);
    return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace fescuevane::prove
