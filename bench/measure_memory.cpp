// Purpose: memory of the entities of a scheduler, processor time of the
// control state, and sizes of messages, each as a slope over three sizes.
//
// Index of sections
//   1. Slopes
//   2. Memory
//   3. Processor time of the control state
//   4. Sizes of messages
#include "bench/control_rig.hpp"
#include "bench/measure.hpp"
#include "bench/statistics.hpp"
#include "bench/workload.hpp"
#include "decide/decide.hpp"
#include "wire/generated/peer.pb.h"
#include "wire/generated/platform.pb.h"
#include "wire/generated/target.pb.h"
#include "wire/wire.hpp"

#include <malloc.h>
#include <array>
#include <string>
#include <variant>

namespace fescuevane::bench
{
namespace
{

// 1. Slopes

using sizes = std::array<std::uint32_t, 3>;
using costs = std::array<double, 3>;

// Least squares; `at_zero_` is the part that does not depend on the size.
struct line
{
    double slope_ = 0;
    double at_zero_ = 0;
};

line fit_line(sizes const& x, costs const& y)
{
    double const mean_x = (x[0] + x[1] + x[2]) / 3.0;
    double const mean_y = (y[0] + y[1] + y[2]) / 3.0;
    double       along = 0;
    double       square = 0;
    for (std::size_t i = 0; i < x.size(); ++i)
    {
        along += (x[i] - mean_x) * (y[i] - mean_y);
        square += (x[i] - mean_x) * (x[i] - mean_x);
    }
    return {along / square, mean_y - along / square * mean_x};
}

// `measure_one` gives the cost at one size.
template <typename Function>
void add_slope(std::string const& what, std::string const& unit,
               sizes const& at, Function measure_one,
               std::vector<figure>& output)
{
    costs found{};
    for (std::size_t i = 0; i < at.size(); ++i)
    {
        found[i] = measure_one(at[i]);
        output.push_back({"memory",
                          what + ", " + std::to_string(at[i]),
                          "total, " + unit,
                          found[i],
                          {},
                          {}});
    }
    line const fitted = fit_line(at, found);
    output.push_back({"memory", what, "slope, " + unit, fitted.slope_, {}, {}});
    output.push_back(
        {"memory", what, "at zero, " + unit, fitted.at_zero_, {}, {}});
}

// 2. Memory

// Bytes that the program has allocated and not freed.
double read_allocated()
{
    auto const info = mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd);
}

struct memory_sizes
{
    std::uint32_t targets_ = 0;
    std::uint32_t teams_ = 1;
    std::uint32_t running_ = 0; // jobs of one task
    std::uint32_t queued_ = 0;
    std::uint32_t ended_ = 0; // whose results are kept
};

void submit_all(decide::scheduler& context, workload& jobs, std::uint32_t count)
{
    for (std::uint32_t job = 0; job < count; ++job)
    {
        decide::post_event(context, decide::job_submitted{jobs.make_job(
                                        jobs.next_team(), work_kind::batch, 1,
                                        {250, 256, 0}, 0)});
    }
}

// Starts `count` tasks; their ends, if wanted, are posted a tick later.
void start_all(decide::scheduler& context, workload& jobs, std::uint32_t count,
               bool ends, instant& now)
{
    constexpr std::uint32_t      batch = 200;
    std::vector<decide::command> told;
    for (std::uint32_t done = 0; done < count; done += batch)
    {
        submit_all(context, jobs, std::min(batch, count - done));
        now = now.after(micros_per_milli);
        told.clear();
        decide::run_tick(context, now, told);
        for (decide::command const& each : told)
        {
            auto const* start = std::get_if<decide::start_task>(&each);
            if (start != nullptr && ends)
            {
                decide::post_event(
                    context, decide::task_ended{.task_ = start->task_,
                                                .target_ = start->target_});
            }
            else if (start != nullptr)
            {
                decide::post_event(context, decide::task_started{
                                                start->task_, start->target_});
            }
        }
    }
    told.clear();
    decide::run_tick(context, now, told);
}

double measure_bytes(memory_sizes const& size)
{
    double const before = read_allocated();
    auto         context = decide::make_scheduler({});
    instant      now(micros_per_second);
    {
        std::vector<decide::team_policy> teams;
        for (std::uint32_t team = 0; team < size.teams_; ++team)
        {
            teams.push_back({.team_ = name_team(team)});
        }
        decide::post_event(*context, decide::policy_set{teams, true});
        for (std::uint32_t index = 0; index < size.targets_; ++index)
        {
            decide::post_event(*context,
                               decide::target_joined{
                                   target_id("target-" + std::to_string(index)),
                                   rack_id("rack-" + std::to_string(index / 8)),
                                   {64'000, 131'072, 0},
                                   16});
        }
        workload jobs(1, size.teams_);
        start_all(*context, jobs, size.ended_, true, now);
        start_all(*context, jobs, size.running_, false, now);
        submit_all(*context, jobs, size.queued_);
        std::vector<decide::command> told;
        decide::run_tick(*context, now, told);
    }
    return read_allocated() - before;
}

void measure_entities(std::vector<figure>& output)
{
    auto const add = [&](char const* what, sizes const& at,
                         memory_sizes const& base,
                         std::uint32_t memory_sizes::*member)
    {
        add_slope(
            what, "bytes", at,
            [&](std::uint32_t size)
            {
                memory_sizes with = base;
                with.*member = size;
                return measure_bytes(with);
            },
            output);
    };
    add("targets", {450, 900, 1'800}, {}, &memory_sizes::targets_);
    add("teams", {40, 80, 160}, {.targets_ = 100}, &memory_sizes::teams_);
    add("queued jobs", {2'000, 4'000, 8'000}, {.teams_ = 160},
        &memory_sizes::queued_);
    add("running jobs of one task", {6'000, 12'000, 24'000},
        {.targets_ = 1'800, .teams_ = 160}, &memory_sizes::running_);
    add("ended jobs with kept results", {6'000, 12'000, 24'000},
        {.targets_ = 1'800, .teams_ = 160}, &memory_sizes::ended_);
}

// 3. Processor time of the control state

constexpr sizes team_sizes = {6, 40, 160};

std::string write_teams(std::uint32_t count)
{
    std::string text = R"("teams":[)";
    for (std::uint32_t team = 0; team < count; ++team)
    {
        text += (team > 0 ? "," : "") + (R"({"id":")" + name_team(team).str()) +
                R"(","keys":["0123456789abcdef0123456789abcdef"],"limit":)"
                R"({"cpu_millis":64000,"memory_mib":65536,"accelerators":0}})";
    }
    return text + "]";
}

// Processor time a second of a process at rest, with heartbeats each 200 ms
// and reads of the store each 200 ms.
double measure_rest(std::uint32_t peers)
{
    constexpr int seconds = 20;
    control_rig   rig(peers);
    return rig.run(seconds * 1000) / seconds;
}

double measure_heartbeats(std::uint32_t peers)
{
    constexpr int rounds = 500;
    control_rig   rig(peers);
    double        spent = 0;
    for (int round = 0; round < rounds; ++round)
    {
        rig.post_heartbeats();
        spent += rig.step(1);
    }
    return spent / rounds;
}

double measure_load_note(std::uint32_t teams)
{
    constexpr int rounds = 200;
    control_rig   rig(0);
    rig.file_ticket(write_teams(teams));
    rig.run(3'000);
    double spent = 0;
    for (int round = 0; round < rounds; ++round)
    {
        std::vector<state::team_demand> demands;
        for (std::uint32_t team = 0; team < teams; ++team)
        {
            demands.push_back({.team_ = name_team(team),
                               .used_ = {1000 + round, 1024, 0},
                               .waiting_ = {1000, 1024, 0}});
        }
        rig.post(state::load_noted{control_rig::home_shard(), demands});
        spent += rig.step(1000);
    }
    return spent / rounds;
}

// From filing to acceptance, less what the same time costs at rest.
double measure_ticket(std::uint32_t teams)
{
    constexpr int rounds = 20;
    control_rig   rig(0);
    rig.file_ticket(write_teams(teams));
    rig.run(3'000);
    double const        rest = rig.run(1'000 * rounds);
    double              spent = 0;
    std::uint64_t const before = rig.accepted();
    for (int round = 0; round < rounds; ++round)
    {
        rig.file_ticket(write_teams(1));
        spent += rig.run(1'000);
    }
    if (rig.accepted() != before + rounds)
    {
        throw std::runtime_error("a ticket was not accepted within a second");
    }
    return (spent - rest) / rounds;
}

// All rows of a batch, less rest.
double measure_journal(std::uint32_t rows)
{
    constexpr int rounds = 40;
    control_rig   rig(0);
    workload      jobs(1, 160);
    double const  rest = rig.run(200 * rounds);
    double        spent = 0;
    for (int round = 0; round < rounds; ++round)
    {
        for (std::uint32_t row = 0; row < rows; ++row)
        {
            rig.post(state::job_record{
                control_rig::home_shard(),
                std::make_shared<job_spec const>(
                    jobs.make_job(jobs.next_team(), work_kind::batch, 1,
                                  {1000, 1024, 0}, micros_per_second)),
                nullptr});
        }
        spent += rig.run(200);
    }
    if (rig.recorded() != std::uint64_t{rows} * rounds)
    {
        throw std::runtime_error("a journal row was not committed in 200 ms");
    }
    return (spent - rest) / rounds;
}

double measure_control_bytes(std::uint32_t teams)
{
    double const before = read_allocated();
    control_rig  rig(24);
    rig.file_ticket(write_teams(teams));
    rig.run(3'000);
    return read_allocated() - before;
}

void measure_control(std::vector<figure>& output)
{
    add_slope("process at rest, peers", "us of processor a second", {1, 8, 24},
              measure_rest, output);
    add_slope("heartbeats of all peers, peers", "us of processor", {1, 8, 24},
              measure_heartbeats, output);
    add_slope("load note, teams", "us of processor", team_sizes,
              measure_load_note, output);
    add_slope("ticket of one team, teams", "us of processor", team_sizes,
              measure_ticket, output);
    add_slope("journal batch, rows", "us of processor", {8, 32, 128},
              measure_journal, output);
    add_slope("control state with store and 24 peers, teams", "bytes",
              team_sizes, measure_control_bytes, output);
}

// 4. Sizes of messages

job_spec make_example()
{
    workload jobs(1, 160);
    return jobs.make_job(name_team(100), work_kind::batch, 1, {1000, 1024, 0},
                         20 * micros_per_second);
}

task_key make_example_task()
{
    return {make_example().key_, 0, 1};
}

double measure_heartbeat_bytes(std::uint32_t shards)
{
    v1::PeerBatch batch;
    batch.set_host("entry-host-24");
    batch.set_incarnation(1'700'000'000'000'000);
    batch.mutable_heartbeat()->set_committed_ticket(1'000'000);
    batch.mutable_heartbeat()->set_accepted_ticket(1'000'000);
    for (std::uint32_t shard = 0; shard < shards; ++shard)
    {
        auto* entry = batch.mutable_heartbeat()->add_shards();
        entry->set_shard("domain-8." + std::to_string(shard));
        entry->set_epoch(1000);
        entry->set_queued_tasks(1000);
        entry->set_free_slots(1000);
        entry->set_ready(true);
    }
    return static_cast<double>(batch.ByteSizeLong());
}

double measure_owner_bytes(std::uint32_t starts)
{
    v1::OwnerBatch batch;
    batch.set_owner("entry-host-24");
    batch.set_shard("domain-8.0");
    batch.set_epoch(1000);
    batch.set_lease_micros(10 * micros_per_second);
    batch.set_attachment(1'700'000'000'000'000);
    batch.set_echo_micros(1'000'000'000'000);
    auto const spec = std::make_shared<job_spec const>(make_example());
    for (std::uint32_t start = 0; start < starts; ++start)
    {
        wire::append_command(decide::start_task{make_example_task(),
                                                target_id("target-1800"), spec,
                                                spec->demand_},
                             instant(micros_per_second), batch);
    }
    return static_cast<double>(batch.ByteSizeLong());
}

// A report of the usage of running tasks.
double measure_target_bytes(std::uint32_t tasks)
{
    v1::TargetBatch batch;
    batch.set_target("target-1800");
    batch.set_incarnation(1'700'000'000'000'000);
    batch.set_epoch(1000);
    batch.set_clock_micros(1'000'000'000'000);
    for (std::uint32_t task = 0; task < tasks; ++task)
    {
        wire::encode_status(
            decide::usage_reported{make_example_task(), {1000, 1024, 0}},
            *batch.add_tasks());
    }
    return static_cast<double>(batch.ByteSizeLong());
}

double measure_end_bytes(std::uint32_t tasks)
{
    v1::TargetBatch batch;
    for (std::uint32_t task = 0; task < tasks; ++task)
    {
        wire::encode_status(
            decide::task_ended{.task_ = make_example_task(),
                               .target_ = target_id("target-1800")},
            *batch.add_tasks());
    }
    return static_cast<double>(batch.ByteSizeLong());
}

double measure_submit_bytes(std::uint32_t jobs)
{
    v1::PeerBatch batch;
    for (std::uint32_t job = 0; job < jobs; ++job)
    {
        auto* submit = batch.add_submits();
        submit->set_call(1'000'000);
        submit->set_shard("domain-8.0");
        wire::encode_job_spec(make_example(), instant(micros_per_second),
                              wire::payload_mode::include,
                              *submit->mutable_spec());
    }
    return static_cast<double>(batch.ByteSizeLong());
}

double measure_answer_bytes(std::uint32_t jobs)
{
    v1::PeerBatch batch;
    for (std::uint32_t job = 0; job < jobs; ++job)
    {
        auto* answer = batch.add_answers();
        answer->set_call(1'000'000);
        wire::encode_job_result({.key_ = make_example().key_,
                                 .state_ = job_state::answered,
                                 .attempt_ = 1,
                                 .target_ = target_id("target-1800"),
                                 .owner_ = host_id("entry-host-24")},
                                *answer->mutable_result());
    }
    return static_cast<double>(batch.ByteSizeLong());
}

// A reply to a read of changes; each row as that of a ticket of one team.
double measure_read_bytes(std::uint32_t rows)
{
    std::vector<state::table_row> changed;
    for (std::uint32_t row = 0; row < rows; ++row)
    {
        changed.push_back({"control/ticket/1000000",
                           R"({"number":1000000,)" + write_teams(1) + "}",
                           1'000'000});
    }
    platform::v1::ReadReply message;
    wire::encode_read_reply({1, changed, 1'000'000}, message);
    return static_cast<double>(message.ByteSizeLong());
}

void measure_messages(std::vector<figure>& output)
{
    add_slope("heartbeat message, shards", "bytes", {1, 2, 4},
              measure_heartbeat_bytes, output);
    add_slope("lease message, starts", "bytes", {0, 4, 16}, measure_owner_bytes,
              output);
    add_slope("usage message, tasks", "bytes", {1, 4, 16}, measure_target_bytes,
              output);
    add_slope("end message, tasks", "bytes", {1, 4, 16}, measure_end_bytes,
              output);
    add_slope("submit message, jobs", "bytes", {1, 4, 16}, measure_submit_bytes,
              output);
    add_slope("answer message, jobs", "bytes", {1, 4, 16}, measure_answer_bytes,
              output);
    add_slope("read reply, changed rows", "bytes", {0, 1, 4},
              measure_read_bytes, output);
}

} // namespace

void measure_memory(std::uint64_t /*seed*/, std::vector<figure>& output)
{
    measure_entities(output);
    measure_control(output);
    measure_messages(output);
}

} // namespace fescuevane::bench
