// Purpose: text of the rows that a cell keeps in the store.
//
// Index of sections
//   1. Hosts, layouts, shards, limits and leases
//   2. Specifications
//   3. Jobs
#include "cell/records.hpp"

#include "cell/record_error.hpp"

#include <nlohmann/json.hpp>
#include <charconv>
#include <utility>

namespace fescuevane::cell
{
namespace
{

using nlohmann::json;

// Runs `read` on parsed text; what the library throws becomes a record_error.
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

host_record read_host(std::string const& text)
{
    return parse(text,
                 [](json const& row)
                 {
                     return host_record{
                         row.at("address").get<std::string>(),
                         domain_id(row.at("domain").get<std::string>()),
                         row.at("cpu").get<double>(),
                         row.at("incarnation").get<std::uint64_t>()};
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
                         row.at("incarnation").get<std::uint64_t>(),
                         row.at("address").get<std::string>(),
                         row.at("epoch").get<std::uint64_t>(),
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
    if (dot == std::string::npos ||
        std::from_chars(text.data() + dot + 1, end, shard.index_).ptr != end)
    {
        throw record_error("name of a shard: " + text);
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
    return parse(
        text,
        [](json const& row)
        {
            layout_record record{.shards_ =
                                     row.at("shards").get<std::uint32_t>()};
            for (auto const& [rack, index] : row.at("racks").items())
            {
                record.racks_[rack_id(rack)] = index.get<std::uint32_t>();
                if (index >= record.shards_)
                {
                    throw record_error("layout: rack " + rack + " in no shard");
                }
            }
            if (record.shards_ == 0)
            {
                throw record_error("layout: no shards");
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
                             part.get<std::uint32_t>();
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
                        {"accelerators", target->capacity_.accelerators()}});
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
                        .capacity_ = {
                            target.at("cpu").get<std::int64_t>(),
                            target.at("memory").get<std::int64_t>(),
                            target.at("accelerators").get<std::int64_t>()}});
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
    return step_spec{
        .count_ = step.at("count").get<std::uint32_t>(),
        .demand_ = resources(step.at("cpu").get<std::int64_t>(),
                             step.at("memory").get<std::int64_t>(),
                             step.at("accelerators").get<std::int64_t>()),
        .estimate_ms_ = step.at("estimate").get<std::int64_t>(),
        .after_ = step.at("after").get<std::vector<std::uint32_t>>(),
        .checkpointing_ = step.at("checkpointing").get<bool>(),
        .gang_ = step.at("gang").get<bool>(),
        .same_rack_ = step.at("same_rack").get<bool>(),
        .speculative_ = step.at("speculative").get<bool>(),
        .perpetual_ = step.at("perpetual").get<bool>(),
        .filler_ = step.at("filler").get<bool>(),
        .required_label_ = step.at("label").get<std::string>(),
        .near_rack_ = rack_id(step.at("near").get<std::string>()),
        .spread_limit_ = step.at("spread").get<std::uint32_t>(),
        .image_ = step.at("image").get<std::string>(),
        .latency_target_ms_ = step.at("latency").get<std::int64_t>(),
        .max_unavailable_ = step.at("unavailable").get<std::uint32_t>()};
}

std::optional<task_alias> read_alias(json const& alias, std::size_t steps)
{
    if (alias.is_null())
    {
        return std::nullopt;
    }
    task_alias value{
        .stage_ = {job_id(alias.at("job").get<std::string>()),
                   alias.at("occurrence").get<std::uint32_t>(),
                   alias.at("step").get<std::uint32_t>()},
        .indices_ = alias.at("indices").get<std::vector<std::uint32_t>>(),
        .failures_ = alias.at("failures").get<std::vector<std::uint32_t>>(),
        .checkpoints_ = alias.at("checkpoints").get<std::vector<std::string>>(),
        .first_run_ = alias.at("first_run").get<std::uint32_t>()};
    if (steps != 1 || value.failures_.size() != value.indices_.size() ||
        value.checkpoints_.size() != value.indices_.size())
    {
        throw record_error("alias: lists of different length");
    }
    return value;
}

std::shared_ptr<staged_job const> read_spec_value(json const& spec)
{
    std::vector<step_spec> steps;
    for (json const& step : spec.at("steps"))
    {
        steps.push_back(read_step(step));
    }
    return std::make_shared<staged_job const>(staged_job{
        .id_ = job_id(spec.at("id").get<std::string>()),
        .organisation_ =
            organisation_id(spec.at("organisation").get<std::string>()),
        .queue_ = queue_id(spec.at("queue").get<std::string>()),
        .service_ = service_id(spec.at("service").get<std::string>()),
        .payload_ = spec.at("payload").get<std::string>(),
        .steps_ = steps,
        .repeat_count_ = spec.at("repeat").get<std::uint32_t>(),
        .first_due_unix_ms_ = spec.at("due").get<std::int64_t>(),
        .interval_ms_ = spec.at("interval").get<std::int64_t>(),
        .accepted_unix_ms_ = spec.at("accepted").get<std::int64_t>(),
        .alias_ = read_alias(spec.at("alias"), steps.size())});
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
                 {"first_run", job.alias_->first_run_}};
    }
    // Payloads are text of callers; bytes that aren't UTF-8 are replaced at
    // the door already.
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
    return row;
}

task_progress read_task(json const& row)
{
    return {.occurrence_ = row.at("o").get<std::uint32_t>(),
            .step_ = row.at("s").get<std::uint32_t>(),
            .index_ = row.at("i").get<std::uint32_t>(),
            .done_ = row.value("d", false),
            .last_run_ = row.at("r").get<std::uint32_t>(),
            .failed_runs_ = row.value("f", std::vector<std::uint32_t>()),
            .checkpoint_ = row.value("c", std::string()),
            .delegate_ = job_id(row.value("x", std::string()))};
}

} // namespace

namespace
{

constexpr std::string_view job_start = R"({"shard":")";

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
    return std::string(job_start) + write_shard_name(shard) + R"(","phase":)" +
           std::to_string(static_cast<int>(progress.phase_)) +
           R"(,"delegates":)" + delegates.dump() + R"(,"tasks":)" +
           tasks.dump(-1, ' ', false, json::error_handler_t::replace) +
           R"(,"spec":)" + spec_text + "}";
}

bool may_belong(std::string const& text, shard_id const& shard)
{
    return !text.starts_with(job_start) ||
           text.starts_with(std::string(job_start) + write_shard_name(shard) +
                            '"');
}

job_record read_job(std::string const& text)
{
    return parse(text,
                 [](json const& row)
                 {
                     job_record record;
                     record.shard_ =
                         read_shard_name(row.at("shard").get<std::string>());
                     record.progress_.phase_ =
                         static_cast<job_phase>(row.at("phase").get<int>());
                     for (json const& task : row.at("tasks"))
                     {
                         record.progress_.tasks_.push_back(read_task(task));
                     }
                     for (json const& delegate : row.at("delegates"))
                     {
                         record.progress_.delegates_.emplace_back(
                             delegate.get<std::string>());
                     }
                     record.spec_text_ = row.at("spec").dump();
                     record.job_ = read_spec_value(row.at("spec"));
                     return record;
                 });
}

} // namespace fescuevane::cell
