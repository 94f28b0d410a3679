// Purpose: encoding of the rows that a cell keeps in the store.
//
// Index of sections
//   1. Hosts, layouts, shards, limits and leases
//   2. Specifications
//   3. Jobs
#include "cell/records.hpp"

#include "cell/record_error.hpp"

#include <nlohmann/json.hpp>
#include <algorithm>
#include <charconv>
#include <system_error>
#include <utility>

namespace fescuevane::cell
{
namespace
{

using nlohmann::json;

// Runs `read` on the parsed text and converts exceptions of the JSON library to
// record_error.
template <typename Read>
auto parse(std::string const& text, Read read)
{
    try
    {
        return read(json::parse(text));
    }
    catch (json::exception const& error)
    {
        throw record_error(std::string("stored row: ") + error.what());
    }
}

// Upper bounds, far above what is written here. Other writers may store any
// number, and tables are sized by these counts.
constexpr std::uint32_t max_shards = 10'000;
constexpr std::uint32_t max_tasks = 100'000; // of one step
constexpr std::uint32_t max_repeats = 1'000'000;
constexpr double        max_cpu_share = 1024; // as in the settings

// The conversions of the JSON library wrap numbers that don't fit.
template <typename Number>
Number read_number(json const& value)
{
    bool const whole = value.is_number_integer();
    bool const fits =
        whole && (value.is_number_unsigned()
                      ? std::in_range<Number>(value.get<std::uint64_t>())
                      : std::in_range<Number>(value.get<std::int64_t>()));
    if (!fits)
    {
        throw record_error("stored row: expected a whole number in range");
    }
    return value.get<Number>();
}

template <typename Number>
Number read_number(json const& row, char const* name)
{
    return read_number<Number>(row.at(name));
}

// Reads a quantity, time or duration, which is never negative.
std::int64_t read_amount(json const& row, char const* name)
{
    auto const value = read_number<std::int64_t>(row.at(name));
    if (value < 0)
    {
        throw record_error(std::string("stored row: ") + name + " below 0");
    }
    return value;
}

// Reads a number that only increases. A row with the highest value would stay
// in force for good, so values that don't fit in a signed number are refused.
std::uint64_t read_monotonic(json const& row, char const* name)
{
    return static_cast<std::uint64_t>(read_amount(row, name));
}

std::uint32_t read_count(json const& row, char const* name, std::uint32_t max)
{
    auto const value = read_number<std::uint32_t>(row.at(name));
    if (value > max)
    {
        throw record_error(std::string("stored row: ") + name + " above " +
                           std::to_string(max));
    }
    return value;
}

std::vector<std::uint32_t> read_numbers(json const& list)
{
    std::vector<std::uint32_t> numbers;
    for (json const& value : list)
    {
        numbers.push_back(read_number<std::uint32_t>(value));
    }
    return numbers;
}

} // namespace

// 1. Hosts, layouts, shards, limits and leases

std::string write_host(host_record const& record)
{
    return json{{"address", record.address_},
                {"domain", record.domain_.str()},
                {"cpu", record.cpu_share_},
                {"incarnation", record.incarnation_}}
        .dump();
}

namespace
{

double read_cpu_share(json const& row)
{
    auto const share = row.at("cpu").get<double>();
    if (!(share >= 0 && share <= max_cpu_share))
    {
        throw record_error("host: processor share out of range");
    }
    return share;
}

} // namespace

host_record read_host(std::string const& text)
{
    return parse(text,
                 [](json const& row)
                 {
                     return host_record{
                         row.at("address").get<std::string>(),
                         domain_id(row.at("domain").get<std::string>()),
                         read_cpu_share(row),
                         read_monotonic(row, "incarnation")};
                 });
}

std::string write_owner(owner_record const& record)
{
    return json{
        {"host", record.host_.str()},   {"incarnation", record.incarnation_},
        {"address", record.address_},   {"epoch", record.epoch_},
        {"released", record.released_}, {"successor", record.successor_.str()}}
        .dump();
}

owner_record read_owner(std::string const& text)
{
    return parse(text,
                 [](json const& row)
                 {
                     return owner_record{
                         host_id(row.at("host").get<std::string>()),
                         read_monotonic(row, "incarnation"),
                         row.at("address").get<std::string>(),
                         read_monotonic(row, "epoch"),
                         row.at("released").get<bool>(),
                         host_id(row.at("successor").get<std::string>())};
                 });
}

row_key write_fence_key(shard_id const& shard, std::uint32_t part)
{
    return {"member", std::to_string(part), "shard/" + write_shard_name(shard)};
}

std::string write_shard_name(shard_id const& shard)
{
    return shard.domain_.str() + "." + std::to_string(shard.index_);
}

shard_id read_shard_name(std::string const& text)
{
    std::size_t const dot = text.rfind('.');
    shard_id          shard;
    char const* const end = text.data() + text.size();
    if (dot == std::string::npos)
    {
        throw record_error("malformed shard name: " + text);
    }
    auto const read = std::from_chars(text.data() + dot + 1, end, shard.index_);
    if (read.ec != std::errc() || read.ptr != end || shard.index_ >= max_shards)
    {
        throw record_error("malformed shard name: " + text);
    }
    shard.domain_ = domain_id(text.substr(0, dot));
    return shard;
}

std::string write_layout(layout_record const& record)
{
    json racks = json::object();
    for (auto const& [rack, index] : record.racks_)
    {
        racks[rack.str()] = index;
    }
    return json{{"shards", record.shards_}, {"racks", racks}}.dump();
}

layout_record read_layout(std::string const& text)
{
    return parse(text,
                 [](json const& row)
                 {
                     layout_record record{
                         .shards_ = read_count(row, "shards", max_shards)};
                     for (auto const& [rack, index] : row.at("racks").items())
                     {
                         auto const shard = read_number<std::uint32_t>(index);
                         if (shard >= record.shards_)
                         {
                             throw record_error("layout: rack " + rack +
                                                " refers to no shard");
                         }
                         record.racks_[rack_id(rack)] = shard;
                     }
                     if (record.shards_ == 0)
                     {
                         throw record_error("layout: number of shards is 0");
                     }
                     return record;
                 });
}

std::string write_allotment(allotment_record const& record)
{
    json parts = json::object();
    for (auto const& [shard, part] : record.parts_)
    {
        parts[write_shard_name(shard)] = part;
    }
    return json{{"parts", parts}}.dump();
}

allotment_record read_allotment(std::string const& text)
{
    return parse(text,
                 [](json const& row)
                 {
                     allotment_record record;
                     for (auto const& [shard, part] : row.at("parts").items())
                     {
                         record.parts_[read_shard_name(shard)] =
                             read_number<std::uint32_t>(part);
                     }
                     return record;
                 });
}

std::string write_grants(granted_targets const& targets)
{
    json rows = json::array();
    for (auto const& [id, target] : targets)
    {
        rows.push_back({{"id", id.str()},
                        {"address", target->address_},
                        {"domain", target->domain_.str()},
                        {"service", target->service_.str()},
                        {"rack", target->rack_.str()},
                        {"labels", target->labels_},
                        {"cpu", target->capacity_.cpu_millis()},
                        {"memory", target->capacity_.memory_mib()},
                        {"accelerators", target->capacity_.accelerators()},
                        {"leaving", target->leaving_}});
    }
    return json{{"targets", rows}}.dump(-1, ' ', false,
                                        json::error_handler_t::replace);
}

granted_targets read_grants(std::string const& text)
{
    return parse(
        text,
        [](json const& row)
        {
            granted_targets targets;
            for (json const& target : row.at("targets"))
            {
                target_id const id(target.at("id").get<std::string>());
                targets[id] =
                    std::make_shared<listed_target const>(listed_target{
                        .id_ = id,
                        .address_ = target.at("address").get<std::string>(),
                        .domain_ =
                            domain_id(target.at("domain").get<std::string>()),
                        .service_ =
                            service_id(target.at("service").get<std::string>()),
                        .rack_ = rack_id(target.at("rack").get<std::string>()),
                        .labels_ =
                            target.at("labels").get<std::vector<std::string>>(),
                        .capacity_ = {read_amount(target, "cpu"),
                                      read_amount(target, "memory"),
                                      read_amount(target, "accelerators")},
                        .leaving_ = target.value("leaving", false)});
            }
            return targets;
        });
}

// 2. Specifications

namespace
{

json write_step(step_spec const& step)
{
    return json{{"count", step.count_},
                {"cpu", step.demand_.cpu_millis()},
                {"memory", step.demand_.memory_mib()},
                {"accelerators", step.demand_.accelerators()},
                {"estimate", step.estimate_ms_},
                {"after", step.after_},
                {"checkpointing", step.checkpointing_},
                {"gang", step.gang_},
                {"same_rack", step.same_rack_},
                {"speculative", step.speculative_},
                {"perpetual", step.perpetual_},
                {"filler", step.filler_},
                {"label", step.required_label_},
                {"near", step.near_rack_.str()},
                {"spread", step.spread_limit_},
                {"image", step.image_},
                {"latency", step.latency_target_ms_},
                {"unavailable", step.max_unavailable_}};
}

step_spec read_step(json const& step)
{
    return step_spec{.count_ = read_count(step, "count", max_tasks),
                     .demand_ = resources(read_amount(step, "cpu"),
                                          read_amount(step, "memory"),
                                          read_amount(step, "accelerators")),
                     .estimate_ms_ = read_amount(step, "estimate"),
                     .after_ = read_numbers(step.at("after")),
                     .checkpointing_ = step.at("checkpointing").get<bool>(),
                     .gang_ = step.at("gang").get<bool>(),
                     .same_rack_ = step.at("same_rack").get<bool>(),
                     .speculative_ = step.at("speculative").get<bool>(),
                     .perpetual_ = step.at("perpetual").get<bool>(),
                     .filler_ = step.at("filler").get<bool>(),
                     .required_label_ = step.at("label").get<std::string>(),
                     .near_rack_ = rack_id(step.at("near").get<std::string>()),
                     .spread_limit_ = read_count(step, "spread", max_tasks),
                     .image_ = step.at("image").get<std::string>(),
                     .latency_target_ms_ = read_amount(step, "latency"),
                     .max_unavailable_ =
                         read_count(step, "unavailable", max_tasks)};
}

// Checks the last of `steps`.
void check_step(std::vector<step_spec> const& steps)
{
    step_spec const& step = steps.back();
    bool const       earlier =
        std::all_of(step.after_.begin(), step.after_.end(),
                    [&steps](std::uint32_t before)
                    {
                        return before + std::size_t{1} < steps.size();
                    });
    if (step.count_ == 0 || !earlier)
    {
        throw record_error("job: step has no tasks or depends on a later step");
    }
}

std::optional<task_alias> read_alias(json const&                   alias,
                                     std::vector<step_spec> const& steps)
{
    if (alias.is_null())
    {
        return std::nullopt;
    }
    task_alias value{
        .stage_ = {job_id(alias.at("job").get<std::string>()),
                   read_number<std::uint32_t>(alias, "occurrence"),
                   read_number<std::uint32_t>(alias, "step")},
        .indices_ = read_numbers(alias.at("indices")),
        .failures_ = read_numbers(alias.at("failures")),
        .checkpoints_ = alias.at("checkpoints").get<std::vector<std::string>>(),
        .first_run_ = read_number<std::uint32_t>(alias, "first_run"),
        // Rows written by earlier versions lack this field.
        .gang_run_ = alias.contains("gang_run")
                         ? read_number<std::uint32_t>(alias, "gang_run")
                         : 0};
    if (steps.size() != 1 || steps.front().count_ != value.indices_.size() ||
        value.failures_.size() != value.indices_.size() ||
        value.checkpoints_.size() != value.indices_.size())
    {
        throw record_error("alias: lists differ in length");
    }
    return value;
}

std::shared_ptr<staged_job const> read_spec_value(json const& spec)
{
    std::vector<step_spec> steps;
    for (json const& step : spec.at("steps"))
    {
        steps.push_back(read_step(step));
        check_step(steps);
    }
    return std::make_shared<staged_job const>(staged_job{
        .id_ = job_id(spec.at("id").get<std::string>()),
        .organisation_ =
            organisation_id(spec.at("organisation").get<std::string>()),
        .queue_ = queue_id(spec.at("queue").get<std::string>()),
        .service_ = service_id(spec.at("service").get<std::string>()),
        .payload_ = spec.at("payload").get<std::string>(),
        .steps_ = steps,
        .repeat_count_ = read_count(spec, "repeat", max_repeats),
        .first_due_unix_ms_ = read_amount(spec, "due"),
        .interval_ms_ = read_amount(spec, "interval"),
        .accepted_unix_ms_ = read_amount(spec, "accepted"),
        .alias_ = read_alias(spec.at("alias"), steps)});
}

} // namespace

std::string write_spec(staged_job const& job)
{
    json steps = json::array();
    for (step_spec const& step : job.steps_)
    {
        steps.push_back(write_step(step));
    }
    json alias;
    if (job.alias_)
    {
        alias = {{"job", job.alias_->stage_.job_.str()},
                 {"occurrence", job.alias_->stage_.occurrence_},
                 {"step", job.alias_->stage_.step_},
                 {"indices", job.alias_->indices_},
                 {"failures", job.alias_->failures_},
                 {"checkpoints", job.alias_->checkpoints_},
                 {"first_run", job.alias_->first_run_},
                 {"gang_run", job.alias_->gang_run_}};
    }
    // Payloads are callers' text; the interface to callers already replaces
    // bytes that aren't UTF-8.
    return json{{"id", job.id_.str()},
                {"organisation", job.organisation_.str()},
                {"queue", job.queue_.str()},
                {"service", job.service_.str()},
                {"payload", job.payload_},
                {"steps", std::move(steps)},
                {"repeat", job.repeat_count_},
                {"due", job.first_due_unix_ms_},
                {"interval", job.interval_ms_},
                {"accepted", job.accepted_unix_ms_},
                {"alias", std::move(alias)}}
        .dump(-1, ' ', false, json::error_handler_t::replace);
}

std::shared_ptr<staged_job const> read_spec(std::string const& text)
{
    return parse(text, &read_spec_value);
}

// 3. Jobs

namespace
{

json write_task(task_progress const& task)
{
    json row{{"o", task.occurrence_},
             {"s", task.step_},
             {"i", task.index_},
             {"r", task.last_run_}};
    if (task.done_)
    {
        row["d"] = true;
    }
    if (!task.failed_runs_.empty())
    {
        row["f"] = task.failed_runs_;
    }
    if (!task.checkpoint_.empty())
    {
        row["c"] = task.checkpoint_;
    }
    if (!task.delegate_.empty())
    {
        row["x"] = task.delegate_.str();
    }
    if (task.gang_run_ != 0)
    {
        row["g"] = task.gang_run_;
    }
    return row;
}

task_progress read_task(json const& row)
{
    return {.occurrence_ = read_number<std::uint32_t>(row, "o"),
            .step_ = read_number<std::uint32_t>(row, "s"),
            .index_ = read_number<std::uint32_t>(row, "i"),
            .done_ = row.value("d", false),
            .last_run_ = read_number<std::uint32_t>(row, "r"),
            .failed_runs_ = row.contains("f") ? read_numbers(row.at("f"))
                                              : std::vector<std::uint32_t>(),
            .checkpoint_ = row.value("c", std::string()),
            .delegate_ = job_id(row.value("x", std::string())),
            .gang_run_ =
                row.contains("g") ? read_number<std::uint32_t>(row, "g") : 0};
}

} // namespace

namespace
{

job_phase read_phase(json const& row)
{
    auto const phase = read_number<std::uint8_t>(row, "phase");
    if (phase > static_cast<std::uint8_t>(job_phase::canceled))
    {
        throw record_error("job: unknown phase");
    }
    return static_cast<job_phase>(phase);
}

void check_task(task_progress const& task, staged_job const& job)
{
    if (task.step_ >= job.steps_.size() ||
        task.index_ >= job.steps_[task.step_].count_ ||
        task.occurrence_ >= std::max(job.repeat_count_, 1U))
    {
        throw record_error(
            "job: progress refers to a task that does not exist");
    }
}

constexpr std::string_view job_row_prefix = R"({"shard":")";

} // namespace

std::string write_job(shard_id const& shard, std::string const& spec_text,
                      job_progress const& progress)
{
    json tasks = json::array();
    for (task_progress const& task : progress.tasks_)
    {
        tasks.push_back(write_task(task));
    }
    json delegates = json::array();
    for (job_id const& delegate : progress.delegates_)
    {
        delegates.push_back(delegate.str());
    }
    return std::string(job_row_prefix) + write_shard_name(shard) +
           R"(","phase":)" + std::to_string(static_cast<int>(progress.phase_)) +
           R"(,"delegates":)" + delegates.dump() + R"(,"tasks":)" +
           tasks.dump(-1, ' ', false, json::error_handler_t::replace) +
           R"(,"spec":)" + spec_text + "}";
}

bool may_belong(std::string const& text, shard_id const& shard)
{
    return !text.starts_with(job_row_prefix) ||
           text.starts_with(std::string(job_row_prefix) +
                            write_shard_name(shard) + '"');
}

job_record read_job(std::string const& text)
{
    return parse(
        text,
        [](json const& row)
        {
            job_record record;
            record.shard_ = read_shard_name(row.at("shard").get<std::string>());
            record.job_ = read_spec_value(row.at("spec"));
            // Encode the specification again instead of keeping the row's text:
            // fields that aren't read may be nested too deeply to be written
            // again.
            record.spec_text_ = write_spec(*record.job_);
            record.progress_.phase_ = read_phase(row);
            for (json const& task : row.at("tasks"))
            {
                record.progress_.tasks_.push_back(read_task(task));
                check_task(record.progress_.tasks_.back(), *record.job_);
            }
            for (json const& delegate : row.at("delegates"))
            {
                record.progress_.delegates_.emplace_back(
                    delegate.get<std::string>());
            }
            return record;
        });
}

} // namespace fescuevane::cell
