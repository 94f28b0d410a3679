// Purpose: encoding of the rows of jobs.
//
// Index of sections
//   1. Specifications
//   2. Progress
//   3. Jobs
#include "cell/records.hpp"

#include "cell/record_error.hpp"
#include "cell/row_json.hpp"

#include <boost/algorithm/hex.hpp>
#include <algorithm>
#include <limits>
#include <map>
#include <tuple>
#include <utility>

namespace fescuevane::cell
{

// 1. Specifications

namespace
{

using nlohmann::json;

// Upper bounds, far above what is written here. Other writers may store any
// number, and tables are sized by these counts.
constexpr std::uint32_t max_tasks = 100'000; // of one step
constexpr std::uint32_t max_repeats = 1'000'000;
// Tasks that a row lists as started and not done. An entry stands for any
// number of them, so the length of the row doesn't bound them.
constexpr std::size_t max_listed_tasks = 100'000;

json write_all_fields(step_spec const& step)
{
    return {{"count", step.count_},
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

// Leaves out fields with the default value.
json write_step(step_spec const& step)
{
    static json const defaults = write_all_fields({});
    json              row = write_all_fields(step);
    for (auto const& [name, value] : defaults.items())
    {
        if (row.at(name) == value)
        {
            row.erase(name);
        }
    }
    return row;
}

bool read_flag(json const& row, char const* name)
{
    return row.contains(name) && row.at(name).get<bool>();
}

std::string read_text(json const& row, char const* name)
{
    return row.contains(name) ? row.at(name).get<std::string>() : "";
}

std::int64_t read_amount_or_0(json const& row, char const* name)
{
    return row.contains(name) ? read_amount(row, name) : 0;
}

std::uint32_t read_count_or(json const& row, char const* name,
                            std::uint32_t max, std::uint32_t fallback)
{
    return row.contains(name) ? read_count(row, name, max) : fallback;
}

json write_resources(resources const& amounts)
{
    return {amounts.cpu_millis(), amounts.memory_mib(), amounts.accelerators()};
}

resources read_resources(json const& row)
{
    return {read_amount(row.at(0)), read_amount(row.at(1)),
            read_amount(row.at(2))};
}

step_spec read_step(json const& step)
{
    return step_spec{
        .count_ = read_count_or(step, "count", max_tasks, 1),
        .demand_ = resources(read_amount_or_0(step, "cpu"),
                             read_amount_or_0(step, "memory"),
                             read_amount_or_0(step, "accelerators")),
        .estimate_ms_ = read_amount_or_0(step, "estimate"),
        .after_ = step.contains("after") ? read_numbers(step.at("after"))
                                         : std::vector<std::uint32_t>(),
        .checkpointing_ = read_flag(step, "checkpointing"),
        .gang_ = read_flag(step, "gang"),
        .same_rack_ = read_flag(step, "same_rack"),
        .speculative_ = read_flag(step, "speculative"),
        .perpetual_ = read_flag(step, "perpetual"),
        .filler_ = read_flag(step, "filler"),
        .required_label_ = read_text(step, "label"),
        .near_rack_ = rack_id(read_text(step, "near")),
        .spread_limit_ = read_count_or(step, "spread", max_tasks, 0),
        .image_ = read_text(step, "image"),
        .latency_target_ms_ = read_amount_or_0(step, "latency"),
        .max_unavailable_ = read_count_or(step, "unavailable", max_tasks, 0)};
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

// A list whose values are all the same is written as one value.
template <typename Value>
json write_values(std::vector<Value> const& values)
{
    bool const same =
        !values.empty() && std::all_of(values.begin(), values.end(),
                                       [&values](Value const& value)
                                       {
                                           return value == values.front();
                                       });
    return same ? json(values.front()) : json(values);
}

std::vector<std::uint32_t> read_counts(json const& values, std::size_t size)
{
    return values.is_array() ? read_numbers(values)
                             : std::vector<std::uint32_t>(
                                   size, read_number<std::uint32_t>(values));
}

std::vector<std::string> read_texts(json const& values, std::size_t size)
{
    return values.is_array()
               ? values.get<std::vector<std::string>>()
               : std::vector<std::string>(size, values.get<std::string>());
}

std::optional<task_alias> read_alias(json const&                   alias,
                                     std::vector<step_spec> const& steps)
{
    if (alias.is_null())
    {
        return std::nullopt;
    }
    std::size_t const size = steps.empty() ? 0 : steps.front().count_;
    // Rows written by earlier versions lack this field.
    std::uint32_t const gang_run =
        alias.contains("gang_run")
            ? read_number<std::uint32_t>(alias, "gang_run")
            : 0;
    task_alias value{.stage_ = {job_id(alias.at("job").get<std::string>()),
                                read_number<std::uint32_t>(alias, "occurrence"),
                                read_number<std::uint32_t>(alias, "step")},
                     .indices_ = read_numbers(alias.at("indices")),
                     .failures_ = read_counts(alias.at("failures"), size),
                     .checkpoints_ = read_texts(alias.at("checkpoints"), size),
                     .first_run_ =
                         read_number<std::uint32_t>(alias, "first_run"),
                     .gang_run_ = gang_run};
    if (steps.size() != 1 || size != value.indices_.size() ||
        value.failures_.size() != size || value.checkpoints_.size() != size)
    {
        throw record_error("alias: lists differ in length");
    }
    return value;
}

json write_policy(std::optional<accepted_policy> const& policy)
{
    if (!policy)
    {
        return nullptr;
    }
    queue_policy const& queue = policy->queue_;
    json                row{{"service", queue.service_.str()},
             {"priority", queue.priority_},
             {"attempts", queue.max_attempts_},
             {"slack", queue.slack_factor_},
             {"objective", queue.objective_ms_},
             {"limit", write_resources(policy->limit_)}};
    if (queue.advice_)
    {
        row["advice"] = {queue.advice_->decision_ms_,
                         queue.advice_->per_target_ms_,
                         queue.advice_->validity_ms_};
    }
    return row;
}

double read_real(json const& value)
{
    constexpr double most = 1e9; // as in the configuration
    auto const       number = value.get<double>();
    if (!(number >= 0 && number <= most))
    {
        throw record_error("stored row: expected a number in range");
    }
    return number;
}

std::int32_t read_priority(json const& row)
{
    return static_cast<std::int32_t>(
        read_count(row, "priority", std::numeric_limits<std::int32_t>::max()));
}

advice_policy read_advice(json const& row)
{
    return {.decision_ms_ = read_real(row.at(0)),
            .per_target_ms_ = read_real(row.at(1)),
            .validity_ms_ = read_amount(row.at(2))};
}

std::optional<accepted_policy> read_policy(json const& spec)
{
    // Rows written by earlier versions lack this field.
    if (!spec.contains("policy") || spec.at("policy").is_null())
    {
        return std::nullopt;
    }
    json const& row = spec.at("policy");
    return accepted_policy{
        .queue_ = {.id_ = queue_id(spec.at("queue").get<std::string>()),
                   .service_ = service_id(row.at("service").get<std::string>()),
                   .priority_ = read_priority(row),
                   .max_attempts_ = read_number<std::uint32_t>(row, "attempts"),
                   .slack_factor_ = read_real(row.at("slack")),
                   .objective_ms_ = read_amount(row, "objective"),
                   .advice_ = row.contains("advice")
                                  ? std::optional(read_advice(row.at("advice")))
                                  : std::nullopt},
        .limit_ = read_resources(row.at("limit"))};
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
        .alias_ = read_alias(spec.at("alias"), steps),
        .policy_ = read_policy(spec)});
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
                 {"failures", write_values(job.alias_->failures_)},
                 {"checkpoints", write_values(job.alias_->checkpoints_)},
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
                {"alias", std::move(alias)},
                {"policy", write_policy(job.policy_)}}
        .dump(-1, ' ', false, json::error_handler_t::replace);
}

std::shared_ptr<staged_job const> read_spec(std::string const& text)
{
    return parse_row(text, &read_spec_value);
}

// 2. Progress
//
// Tasks of a step with the same progress share one entry, whose indices are
// ranges or a bitmap. Only checkpoints differ from task to task.

namespace
{

// Alternating lengths of gaps and of ranges, starting with the gap before the
// first range.
json write_lengths(index_ranges const& ranges)
{
    json          lengths = json::array();
    std::uint32_t end = 0;
    for (auto const& range : ranges)
    {
        lengths.push_back(range.lower() - end);
        lengths.push_back(range.upper() - range.lower());
        end = range.upper();
    }
    return lengths;
}

constexpr std::uint32_t byte_bits = 8;

// Bit `index % 8` of byte `index / 8`, as hexadecimal digits.
std::string write_bitmap(index_ranges const& ranges)
{
    std::string bytes;
    for (auto const& range : ranges)
    {
        bytes.resize((range.upper() + byte_bits - 1) / byte_bits);
        for (std::uint32_t index = range.lower(); index < range.upper();
             ++index)
        {
            char& byte = bytes[index / byte_bits];
            byte = static_cast<char>(byte | (1U << (index % byte_bits)));
        }
    }
    return boost::algorithm::hex_lower(bytes);
}

// The shorter one of two encodings: a bitmap for indices with many gaps.
json write_ranges(index_ranges const& ranges)
{
    json lengths = write_lengths(ranges);
    // A bitmap takes two digits and quotes, or more.
    constexpr std::size_t short_list = 2;
    if (lengths.size() <= short_list)
    {
        return lengths;
    }
    std::string bitmap = write_bitmap(ranges);
    return bitmap.size() < lengths.dump().size() ? json(std::move(bitmap))
                                                 : lengths;
}

[[noreturn]] void fail_index()
{
    throw record_error("job: progress of a task that does not exist");
}

index_ranges read_lengths(json const& lengths, std::uint32_t end)
{
    index_ranges  ranges;
    std::uint64_t at = 0;
    bool          is_gap = true;
    for (json const& value : lengths)
    {
        std::uint64_t const next = at + read_number<std::uint32_t>(value);
        if (next > end)
        {
            fail_index();
        }
        if (!is_gap)
        {
            ranges +=
                index_ranges::interval_type(static_cast<std::uint32_t>(at),
                                            static_cast<std::uint32_t>(next));
        }
        is_gap = !is_gap;
        at = next;
    }
    return ranges;
}

index_ranges read_bitmap(std::string const& text, std::uint32_t end)
{
    std::string bytes;
    try
    {
        bytes = boost::algorithm::unhex(text);
    }
    catch (boost::algorithm::hex_decode_error const&)
    {
        throw record_error("job: malformed bitmap of tasks");
    }
    if (bytes.size() > end / byte_bits + 1)
    {
        fail_index();
    }
    index_ranges ranges;
    for (std::uint32_t index = 0; index < bytes.size() * byte_bits; ++index)
    {
        auto const byte = static_cast<unsigned char>(bytes[index / byte_bits]);
        if ((byte >> (index % byte_bits) & 1U) == 0)
        {
            continue;
        }
        if (index >= end)
        {
            fail_index();
        }
        ranges += index;
    }
    return ranges;
}

// Throws `record_error` when an index is `end` or above.
index_ranges read_ranges(json const& ranges, std::uint32_t end)
{
    return ranges.is_string() ? read_bitmap(ranges.get<std::string>(), end)
                              : read_lengths(ranges, end);
}

// What tasks of a step have in common.
struct shared_progress
{
    std::uint32_t              occurrence_ = 0;
    std::uint32_t              step_ = 0;
    bool                       done_ = false;
    std::uint32_t              last_run_ = 0;
    std::vector<std::uint32_t> failed_runs_;
    job_id                     delegate_;
    std::uint32_t              gang_run_ = 0;

    friend auto operator<=>(shared_progress const&,
                            shared_progress const&) = default;
};

json write_group(shared_progress const& group, index_ranges const& tasks)
{
    json row{{"o", group.occurrence_},
             {"s", group.step_},
             {"n", write_ranges(tasks)}};
    if (group.done_)
    {
        row["d"] = true;
    }
    if (group.last_run_ != 0)
    {
        row["r"] = group.last_run_;
    }
    if (!group.failed_runs_.empty())
    {
        row["f"] = group.failed_runs_;
    }
    if (!group.delegate_.empty())
    {
        row["x"] = group.delegate_.str();
    }
    if (group.gang_run_ != 0)
    {
        row["g"] = group.gang_run_;
    }
    return row;
}

json write_groups(job_progress const& progress)
{
    std::map<shared_progress, index_ranges> groups;
    for (auto const& [place, done] : progress.done_tasks_)
    {
        groups[{
            .occurrence_ = place.first, .step_ = place.second, .done_ = true}] =
            done;
    }
    for (task_progress const& task : progress.tasks_)
    {
        groups[{task.occurrence_, task.step_, task.done_, task.last_run_,
                task.failed_runs_, task.delegate_, task.gang_run_}] +=
            task.index_;
    }
    json rows = json::array();
    for (auto const& [group, tasks] : groups)
    {
        rows.push_back(write_group(group, tasks));
    }
    return rows;
}

json write_ended(job_progress const& progress)
{
    json rows = json::array();
    for (auto const& [step, occurrences] : progress.ended_steps_)
    {
        rows.push_back({step, write_ranges(occurrences)});
    }
    return rows;
}

// Adds as many checkpoints as fit in `max_bytes`. A task without its checkpoint
// starts again from the beginning.
json write_checkpoints(job_progress const& progress, std::size_t max_bytes)
{
    json        rows = json::array();
    std::size_t bytes = 0;
    for (task_progress const& task : progress.tasks_)
    {
        if (task.checkpoint_.empty())
        {
            continue;
        }
        json row{task.occurrence_, task.step_, task.index_, task.checkpoint_};
        bytes +=
            row.dump(-1, ' ', false, json::error_handler_t::replace).size() + 1;
        if (bytes > max_bytes)
        {
            break;
        }
        rows.push_back(std::move(row));
    }
    return rows;
}

step_spec const& find_step(staged_job const& job, std::uint32_t step)
{
    if (step >= job.steps_.size())
    {
        throw record_error("job: progress of a step that does not exist");
    }
    return job.steps_[step];
}

std::uint32_t check_occurrence(staged_job const& job, std::uint32_t occurrence)
{
    if (occurrence >= std::max(job.repeat_count_, 1U))
    {
        throw record_error(
            "job: progress of an occurrence that does not exist");
    }
    return occurrence;
}

using task_map =
    std::map<std::tuple<std::uint32_t, std::uint32_t, std::uint32_t>,
             task_progress>;

void read_group(json const& row, staged_job const& job, job_progress& progress,
                task_map& tasks)
{
    task_progress shared{
        .occurrence_ =
            check_occurrence(job, read_number<std::uint32_t>(row, "o")),
        .step_ = read_number<std::uint32_t>(row, "s"),
        .done_ = row.value("d", false),
        .last_run_ =
            row.contains("r") ? read_number<std::uint32_t>(row, "r") : 0,
        .failed_runs_ = row.contains("f") ? read_numbers(row.at("f"))
                                          : std::vector<std::uint32_t>(),
        .delegate_ = job_id(row.value("x", std::string())),
        .gang_run_ =
            row.contains("g") ? read_number<std::uint32_t>(row, "g") : 0};
    index_ranges const indices =
        read_ranges(row.at("n"), find_step(job, shared.step_).count_);
    if (shared.done_)
    {
        progress.done_tasks_[{shared.occurrence_, shared.step_}] += indices;
    }
    if (shared.done_ && shared.delegate_.empty())
    {
        return;
    }
    if (tasks.size() + boost::icl::cardinality(indices) > max_listed_tasks)
    {
        throw record_error("job: progress of too many tasks");
    }
    for (auto const& range : indices)
    {
        for (std::uint32_t index = range.lower(); index < range.upper();
             ++index)
        {
            shared.index_ = index;
            tasks[{shared.occurrence_, shared.step_, index}] = shared;
        }
    }
}

void read_checkpoint(json const& row, staged_job const& job, task_map& tasks)
{
    task_progress const place{.occurrence_ = check_occurrence(
                                  job, read_number<std::uint32_t>(row.at(0))),
                              .step_ = read_number<std::uint32_t>(row.at(1)),
                              .index_ = read_number<std::uint32_t>(row.at(2))};
    if (place.index_ >= find_step(job, place.step_).count_)
    {
        throw record_error("job: checkpoint of a task that does not exist");
    }
    tasks.try_emplace({place.occurrence_, place.step_, place.index_}, place)
        .first->second.checkpoint_ = row.at(3).get<std::string>();
}

job_progress read_progress(json const& row, staged_job const& job)
{
    job_progress progress;
    task_map     tasks;
    for (json const& ended : row.at("ended"))
    {
        auto const step = read_number<std::uint32_t>(ended.at(0));
        find_step(job, step);
        progress.ended_steps_[step] +=
            read_ranges(ended.at(1), std::max(job.repeat_count_, 1U));
    }
    for (json const& group : row.at("groups"))
    {
        read_group(group, job, progress, tasks);
    }
    for (json const& checkpoint : row.at("checkpoints"))
    {
        read_checkpoint(checkpoint, job, tasks);
    }
    for (auto const& [place, task] : tasks)
    {
        progress.tasks_.push_back(task);
    }
    return progress;
}

// An entry of a row of an earlier version, which has one for each task.
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

// 3. Jobs

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
                      job_progress const& progress, std::size_t max_bytes)
{
    json delegates = json::array();
    for (job_id const& delegate : progress.delegates_)
    {
        delegates.push_back(delegate.str());
    }
    std::string const head =
        std::string(job_row_prefix) + write_shard_name(shard) +
        R"(","phase":)" + std::to_string(static_cast<int>(progress.phase_)) +
        (progress.withdrawn_ ? R"(,"withdrawn":true)" : "") +
        R"(,"delegates":)" + delegates.dump() + R"(,"ended":)" +
        write_ended(progress).dump() + R"(,"groups":)" +
        write_groups(progress).dump() + R"(,"spec":)" + spec_text +
        R"(,"checkpoints":)";
    constexpr std::size_t end_bytes = 3; // empty list and brace
    std::size_t const     used = head.size() + end_bytes;
    return head +
           write_checkpoints(progress, max_bytes > used ? max_bytes - used : 0)
               .dump(-1, ' ', false, json::error_handler_t::replace) +
           "}";
}

bool may_belong(std::string const& text, shard_id const& shard)
{
    return !text.starts_with(job_row_prefix) ||
           text.starts_with(std::string(job_row_prefix) +
                            write_shard_name(shard) + '"');
}

job_record read_job(std::string const& text)
{
    return parse_row(
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
            if (row.contains("groups"))
            {
                record.progress_ = read_progress(row, *record.job_);
            }
            else
            {
                for (json const& task : row.at("tasks"))
                {
                    record.progress_.tasks_.push_back(read_task(task));
                    check_task(record.progress_.tasks_.back(), *record.job_);
                }
            }
            record.progress_.phase_ = read_phase(row);
            // Rows written by earlier versions lack this field.
            record.progress_.withdrawn_ = row.value("withdrawn", false);
            for (json const& delegate : row.at("delegates"))
            {
                record.progress_.delegates_.emplace_back(
                    delegate.get<std::string>());
            }
            return record;
        });
}

} // namespace fescuevane::cell
