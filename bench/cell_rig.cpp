// Purpose: one node with a store, targets and another owner in memory, in
// simulated time.
//
// Index of sections
//   1. Set-up
//   2. Time
//   3. Callers
//   4. Targets
//   5. Store
#include "bench/cell_rig.hpp"

#include "cell/records.hpp"
#include "core/staged_job.hpp"

#include <algorithm>
#include <memory>
#include <utility>
#include <variant>

namespace fescuevane::bench
{
namespace
{

constexpr std::int64_t tick_gap_micros = 4'000;
constexpr std::int64_t store_micros = 3'000;
constexpr std::int64_t target_micros = 1'000;
constexpr std::int64_t run_micros = 1'000'000;
constexpr std::int64_t lookup_micros = 600'000;
constexpr std::int64_t beat_micros = 300'000;

job_id name_other_job(std::uint32_t index)
{
    return job_id("other" + std::to_string(index));
}

std::shared_ptr<staged_job const> make_job(job_id const& id,
                                           std::int64_t  unix_ms)
{
    return std::make_shared<staged_job const>(
        staged_job{.id_ = id,
                   .organisation_ = organisation_id("cafe"),
                   .queue_ = queue_id("orders"),
                   .service_ = service_id("desk"),
                   .payload_ = "work",
                   .steps_ = {{.count_ = 1,
                               .demand_ = {1000, 512, 0},
                               .estimate_ms_ = run_micros / micros_per_milli}},
                   .accepted_unix_ms_ = unix_ms});
}

} // namespace

// 1. Set-up

cell_rig::cell_rig(cell_size const& size)
    : size_(size), now_(10 * micros_per_second)
{
    settings_.host_ = host_id("host-1");
    settings_.address_ = "127.0.0.1:7000";
    settings_.domain_ = domain_id("east");
    settings_.domains_ = {domain_id("east"), domain_id("west")};
    settings_.incarnation_ = 1;
    settings_.result_keep_micros_ =
        size.kept_records_ * micros_per_second / size.starts_a_second_;
    node_ = cell::make_node(settings_, now_);
    auto config = std::make_shared<cell::cell_config>();
    config->version_ = 1;
    config->routes_.push_back({.policy_ = {.id_ = queue_id("orders"),
                                           .service_ = service_id("desk"),
                                           .max_attempts_ = 3,
                                           .slack_factor_ = 1.5,
                                           .objective_ms_ = 250},
                               .host_ = "desk.example",
                               .prefix_ = "/orders/"});
    config->organisations_.push_back(
        {{.id_ = organisation_id("cafe"), .weight_ = 100}, {"key-1"}});
    post(cell::config_changed{config});
    post(cell::member_row_changed{
        {{"member", "", "host/host-2"},
         cell::write_host({"127.0.0.1:7001", domain_id("west"), 1, 5}),
         ++revision_}});
    list_targets();
    post(cell::list_complete{cell::member_list::members});
    post(cell::list_complete{cell::member_list::targets});
    tell_other_owner();
    for (std::uint32_t index = 0; index < size.open_calls_; ++index)
    {
        job_id const        id = name_other_job(index);
        cell::row_key const key{"job", "0", id.str()};
        rows_[key] = {key,
                      cell::write_job({domain_id("west"), 0},
                                      cell::write_spec(*make_job(id, 0)), {}),
                      ++revision_};
        later(micros_per_second * 2,
              [this, index]
              {
                  look_up(index);
              });
    }
    later(micros_per_second * 2,
          [this]
          {
              submit_job();
          });
}

void cell_rig::list_targets()
{
    for (std::uint32_t index = 0; index < size_.targets_ + size_.other_targets_;
         ++index)
    {
        bool const      own = index < size_.targets_;
        target_id const id("t-" + std::to_string(index));
        if (own)
        {
            targets_.ensure(id);
        }
        post(cell::target_listed{
            {.id_ = id,
             .address_ = "127.0.0.1:8000",
             .domain_ = domain_id(own ? "east" : "west"),
             .service_ = service_id("desk"),
             .rack_ = rack_id("r-" + std::to_string(index / 8)),
             .capacity_ = {16'000, 32'768, 0}}});
    }
}

void cell_rig::tell_other_owner()
{
    post(cell::heartbeat_received{
        {.host_ = host_id("host-2"),
         .incarnation_ = 5,
         .shards_ = {{.shard_ = {domain_id("west"), 0},
                      .epoch_ = 1,
                      .serving_ = true,
                      .load_ = {.capacity_ = {4000, 8192, 0},
                                .used_ = {40'000, 81'920, 0}}}}}});
    later(beat_micros,
          [this]
          {
              tell_other_owner();
          });
}

// 2. Time

void cell_rig::later(std::int64_t micros, std::function<void()> work)
{
    work_.emplace(now_.after(micros), std::move(work));
}

void cell_rig::post(cell::event input)
{
    cell::post_event(*node_, std::move(input));
    tick_at_ =
        std::min(tick_at_, std::max(now_, ticked_at_.after(tick_gap_micros)));
}

void cell_rig::run(std::int64_t micros)
{
    instant const end = now_.after(micros);
    while (true)
    {
        instant const next =
            work_.empty() ? tick_at_ : std::min(work_.begin()->first, tick_at_);
        if (next > end)
        {
            now_ = end;
            return;
        }
        now_ = std::max(now_, next);
        if (!work_.empty() && work_.begin()->first <= now_)
        {
            std::function<void()> const work = std::move(work_.begin()->second);
            work_.erase(work_.begin());
            work();
            continue;
        }
        tick();
    }
}

void cell_rig::tick()
{
    std::vector<cell::command> orders;
    ticked_at_ = now_;
    cell::run_tick(*node_, now_, now_.micros() / micros_per_milli, orders,
                   &meter_);
    tick_at_ = std::max(cell::next_deadline(*node_),
                        ticked_at_.after(tick_gap_micros));
    for (cell::command const& order : orders)
    {
        carry_out(order);
    }
}

void cell_rig::carry_out(cell::command const& order)
{
    if (auto const* const write = std::get_if<cell::store_transact>(&order))
    {
        answer_write(*write);
    }
    else if (auto const* const read = std::get_if<cell::store_read>(&order))
    {
        answer_read(*read);
    }
    else if (auto const* const hold = std::get_if<cell::hold_target>(&order))
    {
        target_model* const target = targets_.find(hold->target_);
        if (target == nullptr)
        {
            return; // a probe of the other shard
        }
        target->hold_ = hold->request_;
        std::erase_if(target->ends_,
                      [hold](auto const& end)
                      {
                          return end.first <= hold->forgotten_;
                      });
        std::int64_t const wait = target->ends_.empty() ? hold->wait_ms_ : 0;
        later(target_micros + wait * micros_per_milli,
              [this, id = hold->target_, request = hold->request_]
              {
                  if (targets_.find(id)->hold_ == request)
                  {
                      answer_hold(id);
                  }
              });
    }
    else if (auto const* const start = std::get_if<cell::send_start>(&order))
    {
        ++starts_;
        target_id const id = start->start_.target_;
        run_key const   run = start->start_.run_;
        targets_.find(id)->runs_.insert(run);
        later(
            target_micros,
            [this, request = start->request_]
            {
                post(cell::order_reply{.request_ = request,
                                       .outcome_ = cell::target_outcome::done});
            });
        later(run_micros,
              [this, id, run]
              {
                  end_run(id, run);
              });
    }
    else if (auto const* const call = std::get_if<cell::call_peer>(&order))
    {
        later(lookup_micros,
              [this, request = call->request_]
              {
                  post(cell::peer_replied{request,
                                          {.outcome_ = cell::job_outcome::known,
                                           .phase_ = job_phase::running}});
              });
    }
    else if (auto const* const answer = std::get_if<cell::answer_call>(&order))
    {
        auto const lookup = lookups_.find(answer->call_);
        if (lookup != lookups_.end())
        {
            std::uint32_t const index = lookup->second;
            lookups_.erase(lookup);
            look_up(index);
        }
    }
}

// 3. Callers

void cell_rig::submit_job()
{
    job_id const id("job" + std::to_string(++last_job_));
    post(cell::call_opened{.call_ = ++last_call_,
                           .kind_ = cell::call_kind::submit,
                           .id_ = id,
                           .job_ =
                               make_job(id, now_.micros() / micros_per_milli),
                           .deadline_ = now_.after(3 * micros_per_second)});
    later(micros_per_second / size_.starts_a_second_,
          [this]
          {
              submit_job();
          });
}

void cell_rig::look_up(std::uint32_t index)
{
    lookups_[++last_call_] = index;
    post(cell::call_opened{.call_ = last_call_,
                           .kind_ = cell::call_kind::lookup,
                           .id_ = name_other_job(index),
                           .deadline_ = now_.after(3 * micros_per_second)});
}

// 4. Targets

void cell_rig::end_run(target_id const& id, run_key const& run)
{
    target_model& target = *targets_.find(id);
    target.runs_.erase(run);
    target.ends_[++target.last_end_] = run;
    if (target.hold_ != 0)
    {
        answer_hold(id);
    }
}

void cell_rig::answer_hold(target_id const& id)
{
    target_model&                   target = *targets_.find(id);
    std::vector<cell::reported_run> runs;
    for (run_key const& run : target.runs_)
    {
        runs.push_back({.run_ = run});
    }
    std::vector<cell::reported_end> ends;
    for (auto const& [number, run] : target.ends_)
    {
        ends.push_back({.number_ = number, .run_ = run});
    }
    std::uint64_t const request = std::exchange(target.hold_, 0);
    post(cell::hold_reply{.request_ = request,
                          .target_ = id,
                          .outcome_ = cell::target_outcome::done,
                          .clock_ms_ = now_.micros() / micros_per_milli,
                          .born_unix_ms_ = 7,
                          .runs_ = std::move(runs),
                          .ends_ = std::move(ends)});
}

// 5. Store

void cell_rig::answer_write(cell::store_transact const& write)
{
    bool                          holds = true;
    std::vector<cell::stored_row> current;
    for (cell::row_condition const& condition : write.conditions_)
    {
        auto const     found = rows_.find(condition.key_);
        revision const seen =
            found == rows_.end() ? 0 : found->second.revision_;
        holds = holds && seen == condition.revision_;
        current.push_back(found == rows_.end()
                              ? cell::stored_row{.key_ = condition.key_}
                              : found->second);
    }
    if (holds)
    {
        ++revision_;
        current.clear();
        for (cell::row_write const& change : write.writes_)
        {
            rows_.erase(change.key_);
            if (!change.remove_)
            {
                rows_[change.key_] = {change.key_, change.value_, revision_};
            }
        }
    }
    later(store_micros,
          [this, request = write.request_, holds, at = revision_, current]
          {
              post(cell::store_reply{.request_ = request,
                                     .outcome_ =
                                         holds ? cell::store_outcome::done
                                               : cell::store_outcome::conflict,
                                     .revision_ = at,
                                     .rows_ = current});
          });
}

void cell_rig::answer_read(cell::store_read const& read)
{
    std::vector<cell::stored_row> found;
    cell::row_key const           from{read.table_, read.part_, read.from_};
    for (auto row = rows_.lower_bound(from);
         row != rows_.end() && row->first.table_ == read.table_ &&
         row->first.part_ == read.part_ &&
         (read.to_.empty() || row->first.key_ < read.to_);
         ++row)
    {
        found.push_back(row->second);
    }
    later(store_micros,
          [this, request = read.request_, at = revision_, found]
          {
              post(cell::store_reply{.request_ = request,
                                     .outcome_ = cell::store_outcome::done,
                                     .revision_ = at,
                                     .rows_ = found});
          });
}

} // namespace fescuevane::bench
