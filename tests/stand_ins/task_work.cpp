// Purpose: payloads and answers of the target stand-in's tasks.
#include "tests/stand_ins/task_work.hpp"

#include "core/hashing.hpp"
#include "core/instant.hpp"

#include <nlohmann/json.hpp>

namespace fescuevane::stand_ins
{
namespace
{

constexpr std::int64_t max_answer_bytes = 32 * 1024 * 1024;

task_work read_work(nlohmann::json const& json)
{
    task_work work{
        .run_micros_ = json.value("run_ms", std::int64_t{0}) * micros_per_milli,
        .answer_bytes_ = json.value("answer_bytes", std::int64_t{0}),
        .fail_reason_ =
            json.value("fail", false) ? "the payload asks to fail" : "",
        .echo_ = json.value("echo", std::string()),
        .use_cpu_millis_ = json.value("use_cpu_millis", std::int64_t{-1})};
    if (work.answer_bytes_ < 0 || work.answer_bytes_ > max_answer_bytes)
    {
        return {.fail_reason_ = "payload: answer_bytes is out of range"};
    }
    return work;
}

std::string make_header(std::string_view content)
{
    return std::to_string(compute_stable_hash(content)) + " " +
           std::to_string(content.size()) + "\n";
}

} // namespace

task_work parse_work(shared_bytes const& payload)
{
    if (!payload || payload->empty())
    {
        return {};
    }
    try
    {
        return read_work(nlohmann::json::parse(*payload));
    }
    catch (nlohmann::json::exception const& error)
    {
        return {.fail_reason_ = std::string("payload: ") + error.what()};
    }
}

shared_bytes make_answer(task_work const& work)
{
    if (work.answer_bytes_ == 0)
    {
        return std::make_shared<std::string const>(work.echo_);
    }
    std::string content = work.echo_;
    content.resize(static_cast<std::size_t>(work.answer_bytes_), '.');
    return std::make_shared<std::string const>(make_header(content) + content);
}

bool is_whole_answer(std::string_view answer)
{
    std::size_t const end = answer.find('\n');
    if (end == std::string_view::npos)
    {
        return false;
    }
    return answer.substr(0, end + 1) == make_header(answer.substr(end + 1));
}

} // namespace fescuevane::stand_ins
