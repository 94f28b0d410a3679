// Purpose: random histories of several hosts and shards, in which tasks end
// while they are delegated, returned and submitted again.
#include "cell_cluster_fixture.hpp"
#include "run_judge.hpp"
#include "target_model.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <algorithm>
#include <array>
#include <map>
#include <optional>
#include <ostream>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace fescuevane::cell
{
namespace
{

constexpr int attempts = 3; // of the queue

// The owner gives up a target that is unreachable for longer: the sum of lease
// and wait.
constexpr std::int64_t longest_cut = 10 * micros_per_second;
constexpr std::int64_t short_cut = 3 * micros_per_second;

// Three missed heartbeats of a target.
constexpr std::int64_t unlisted_after = 4'500'000;

struct shard_target
{
    listed_target                                      info_;
    target_model                                       model_;
    epoch                                              fence_ = 0;
    instant                                            unreachable_until_;
    instant                                            unlisted_at_;
    bool                                               listed_ = true;
    std::map<std::pair<stage_key, std::uint32_t>, int> highest_; // run numbers
    std::vector<send_start>                            late_;
};

// Two failure domains of two shards with two targets each, served by three
// hosts.
struct shards_fixture : cell_cluster_fixture
{
    std::map<target_id, shard_target>    all_;
    std::vector<target_id>               names_;
    std::map<domain_id, bool>            out_;
    std::map<std::string, std::uint64_t> submitted_;    // calls, by job
    std::map<std::string, std::string>   submitted_to_; // hosts, by job
    std::vector<std::string>             long_running_jobs_;
    run_judge                            judge_;
    std::string                          broken_; // first violation

    shards_fixture()
    {
        defaults_.domains_ = {domain_id("east"), domain_id("west")};
        // Longer than any history, so that all results can be looked up.
        defaults_.result_keep_micros_ = 3600 * micros_per_second;
        executes_stops_ = true;
        set_advice({100, 5, 2000});
        add_host("h-1", 1, "east");
        add_host("h-2", 1, "west");
        add_host("h-3", 1, "east");
        list_two_racks("east");
        list_two_racks("west");
        for (listed_target const& target : targets_)
        {
            all_.emplace(target.id_, shard_target{.info_ = target});
            names_.push_back(target.id_);
        }
        run_all(6 * micros_per_second);
    }

    // Targets

    bool is_reachable(shard_target const& target) const
    {
        return target.unreachable_until_ <= now_;
    }

    void begin(target_id const& id, shard_target& target,
               send_start const& start)
    {
        run_key const& run = start.start_.run_;
        int&           highest = target.highest_[run_judge::task_of(run)];
        if (static_cast<int>(run.run_) <= highest ||
            start.fence_ < target.fence_ ||
            !target.model_.take(start, unix_ms_))
        {
            return;
        }
        highest = static_cast<int>(run.run_);
        for (auto const& [other_id, other] : all_)
        {
            for (reported_run const& entry : other.model_.running_)
            {
                if (entry.run_ != run && entry.run_.stage_ == run.stage_ &&
                    entry.run_.index_ == run.index_ && broken_.empty())
                {
                    broken_ = run.stage_.job_.str() + " task " +
                              std::to_string(run.index_) + " run " +
                              std::to_string(run.run_) + " on " + id.str() +
                              " beside run " + std::to_string(entry.run_.run_) +
                              " on " + other_id.str();
                }
            }
        }
        judge_.note_start(run, id, unix_ms_);
    }

    void end(target_id const& id, run_key const& run, run_end how)
    {
        target_model& model = all_.at(id).model_;
        model.end(run, how, "saved");
        judge_.note_end(run, id, how, model.last_end_, unix_ms_);
    }

    order_reply answer_start(send_start const& start) override
    {
        target_id const& id = start.start_.target_;
        shard_target&    target = all_.at(id);
        if (!is_reachable(target))
        {
            target.late_.push_back(start);
            return {.request_ = start.request_};
        }
        if (start.fence_ < target.fence_)
        {
            return {.request_ = start.request_,
                    .outcome_ = target_outcome::superseded};
        }
        begin(id, target, start);
        bool const has = target.model_.has(start.start_.run_);
        return {.request_ = start.request_,
                .outcome_ =
                    has ? target_outcome::done : target_outcome::refused,
                .reason_ = plan::refusal::outdated};
    }

    order_reply answer_stop(send_stop const& stop) override
    {
        target_id const& id = stop.stop_.target_;
        shard_target&    target = all_.at(id);
        if (!is_reachable(target))
        {
            return {.request_ = stop.request_};
        }
        if (stop.fence_ < target.fence_)
        {
            return {.request_ = stop.request_,
                    .outcome_ = target_outcome::superseded};
        }
        // From now on the target rejects starts of this run.
        int& highest = target.highest_[run_judge::task_of(stop.stop_.run_)];
        highest = std::max(highest, static_cast<int>(stop.stop_.run_.run_));
        if (target.model_.has(stop.stop_.run_))
        {
            end(id, stop.stop_.run_, run_end::stopped);
        }
        return {.request_ = stop.request_, .outcome_ = target_outcome::done};
    }

    hold_reply answer_hold(hold_target const& hold) override
    {
        shard_target& target = all_.at(hold.target_);
        if (!is_reachable(target))
        {
            return {.request_ = hold.request_,
                    .target_ = hold.target_,
                    .error_ = "no answer"};
        }
        if (hold.fence_ != 0 && hold.fence_ < target.fence_)
        {
            return {.request_ = hold.request_,
                    .target_ = hold.target_,
                    .outcome_ = target_outcome::superseded};
        }
        target.fence_ = std::max(target.fence_, hold.fence_);
        if (hold.forgotten_ != 0)
        {
            judge_.note_forgotten(hold.target_, hold.forgotten_);
        }
        return target.model_.answer(hold, unix_ms_);
    }

    // A target that is cut off is removed from the list until it is reachable
    // again.
    void list_or_unlist(target_id const& id, shard_target& target)
    {
        bool const listed = is_reachable(target) || target.unlisted_at_ > now_;
        if (listed == target.listed_)
        {
            return;
        }
        target.listed_ = listed;
        if (listed)
        {
            targets_.push_back(target.info_);
            post_all(target_listed{target.info_});
            return;
        }
        std::vector<listed_target> rest;
        for (listed_target const& entry : targets_)
        {
            if (entry.id_ != id)
            {
                rest.push_back(entry);
            }
        }
        targets_.swap(rest);
        post_all(target_unlisted{id});
    }

    void advance_target(target_id const& id, shard_target& target)
    {
        list_or_unlist(id, target);
        if (unix_ms_ > target.model_.lease_ms_)
        {
            auto const running = target.model_.running_;
            for (reported_run const& run : running)
            {
                end(id, run.run_, run_end::lapsed);
            }
            judge_.note_lapse(id);
        }
        if (is_reachable(target))
        {
            for (send_start const& start : std::exchange(target.late_, {}))
            {
                begin(id, target, start);
            }
        }
    }

    void run_all(std::int64_t micros)
    {
        constexpr std::int64_t step = 20'000;
        for (std::int64_t passed = 0; passed < micros; passed += step)
        {
            now_ = now_.after(step);
            unix_ms_ += step / micros_per_milli;
            deliver_advice();
            for (auto& [id, target] : all_)
            {
                advance_target(id, target);
            }
            for (auto& [address, host] : members_)
            {
                if (host.node_)
                {
                    tick(address, host);
                }
            }
        }
    }

    // Steps of a history; `pick` selects what they apply to.

    std::string find_host(std::uint32_t pick)
    {
        std::vector<std::string> up;
        for (auto const& [name, address] : addresses_)
        {
            if (members_.at(address).node_)
            {
                up.push_back(name);
            }
        }
        return up.at(pick % up.size());
    }

    target_id const& find_target(std::uint32_t pick) const
    {
        return names_.at(pick % names_.size());
    }

    void allow_some(std::string const& job, std::uint32_t pick)
    {
        std::set<target_id>& allowed = allowed_[job_id(job)];
        for (std::size_t index = 0; index < names_.size(); ++index)
        {
            if ((pick >> (index % 6) & 1U) != 0)
            {
                allowed.insert(names_[index]);
            }
        }
    }

    // Gangs are small enough for any target, since a shard can't use targets of
    // another one.
    void submit_job(std::uint32_t pick, bool gang)
    {
        std::string const id =
            (gang ? "bb" : "aa") + std::to_string(10 + submitted_.size());
        std::uint32_t const count = 1 + pick % (gang ? 4 : 7);
        std::int64_t const  wide = pick % 3 == 0 ? 4000 : 2000;
        if (pick % 4 != 0)
        {
            allow_some(id, pick);
        }
        std::string const host = find_host(pick);
        submitted_to_[id] = host;
        submitted_[id] = submit(host, id,
                                {{.count_ = count,
                                  .demand_ = {gang ? 1000 : wide, 512, 0},
                                  .estimate_ms_ = 1000,
                                  .checkpointing_ = true,
                                  .gang_ = gang}});
    }
    void submit_tasks(std::uint32_t pick) { submit_job(pick, false); }
    void submit_gang(std::uint32_t pick) { submit_job(pick, true); }

    void submit_long_running(std::uint32_t pick)
    {
        std::string const id =
            "cc" + std::to_string(10 + long_running_jobs_.size());
        long_running_jobs_.push_back(id);
        submit(find_host(pick), id,
               {{.count_ = 1 + pick % 8,
                 .demand_ = {4000, 512, 0},
                 .estimate_ms_ = 1000,
                 .perpetual_ = true}});
    }

    void cancel_long_running(std::uint32_t pick)
    {
        if (!long_running_jobs_.empty())
        {
            ask(find_host(pick), call_kind::cancel,
                long_running_jobs_.at(pick % long_running_jobs_.size()));
        }
    }

    // All tasks of a gang succeed together.
    void end_some(std::uint32_t pick, run_end how)
    {
        std::uint32_t at = 0;
        for (target_id const& id : names_)
        {
            auto const running = all_.at(id).model_.running_;
            for (reported_run const& run : running)
            {
                std::string const& job = run.run_.stage_.job_.str();
                bool const         together =
                    job.starts_with("bb") && how == run_end::done;
                std::uint32_t const bit =
                    together ? static_cast<std::uint32_t>(job.back()) : at++;
                if (!job.starts_with("cc") && (pick >> (bit % 6) & 1U) != 0)
                {
                    end(id, run.run_, how);
                }
            }
        }
    }
    void fail_some(std::uint32_t pick) { end_some(pick, run_end::failed); }
    void finish_some(std::uint32_t pick) { end_some(pick, run_end::done); }

    // Cuts in close succession would count as one long enough to be given up.
    void cut_for(target_id const& id, std::int64_t micros)
    {
        shard_target& target = all_.at(id);
        if (target.unreachable_until_.after(2 * micros_per_second) <= now_)
        {
            target.unreachable_until_ = now_.after(micros);
            target.unlisted_at_ = now_.after(unlisted_after);
        }
    }
    void cut(std::uint32_t pick) { cut_for(find_target(pick), longest_cut); }
    void cut_shortly(std::uint32_t pick)
    {
        cut_for(find_target(pick), short_cut);
    }
    void cut_domain(std::uint32_t pick)
    {
        for (auto const& [id, target] : all_)
        {
            if (target.info_.domain_ == domain_of(pick))
            {
                cut_for(id, (1 + pick % 8) * micros_per_second);
            }
        }
    }

    // Restarts the target; ends of the earlier incarnation are lost.
    void crash(std::uint32_t pick)
    {
        target_id const& id = find_target(pick);
        shard_target&    target = all_.at(id);
        target.model_.crash();
        target.highest_.clear();
        target.fence_ = 0;
        target.late_.clear();
        judge_.note_lapse(id);
    }

    static domain_id domain_of(std::uint32_t pick)
    {
        return domain_id(pick % 2 == 0 ? "east" : "west");
    }

    void start_host(std::string const& name)
    {
        start(name);
        for (auto const& [domain, out] : out_)
        {
            post_event(*find(name).node_, domain_withdrawn{domain, out});
        }
    }

    // Kills a running host, unless it is the only one, or starts a stopped one.
    void kill_or_start(std::uint32_t pick)
    {
        std::vector<std::string> down;
        for (auto const& [name, address] : addresses_)
        {
            if (!members_.at(address).node_)
            {
                down.push_back(name);
            }
        }
        if (down.size() + 1 == members_.size() ||
            (!down.empty() && pick % 2 == 0))
        {
            start_host(down.front());
            return;
        }
        kill(find_host(pick));
    }

    void withdraw_or_restore(std::uint32_t pick)
    {
        bool& out = out_[domain_of(pick)];
        out = !out;
        post_all(domain_withdrawn{domain_of(pick), out});
    }

    // Queries

    bool is_accepted(std::string const& job)
    {
        auto const answer =
            find_answer(submitted_to_.at(job), submitted_.at(job));
        return answer && answer->outcome_ == job_outcome::accepted;
    }

    std::optional<job_phase> find_phase(std::string const& job)
    {
        auto const call = ask("h-1", call_kind::lookup, job);
        run_all(200'000);
        auto const answer = find_answer("h-1", call);
        return answer && answer->outcome_ == job_outcome::known
                   ? std::optional(answer->phase_)
                   : std::nullopt;
    }

    void cancel_all_long_running()
    {
        for (std::string const& id : long_running_jobs_)
        {
            ask("h-1", call_kind::cancel, id);
        }
    }

    void restore_all()
    {
        for (auto& [id, target] : all_)
        {
            target.unreachable_until_ =
                std::min(target.unreachable_until_, now_);
        }
        for (auto const& [name, address] : addresses_)
        {
            if (!members_.at(address).node_)
            {
                start_host(name);
            }
        }
        for (auto& [domain, out] : out_)
        {
            out = false;
            post_all(domain_withdrawn{domain, false});
        }
        run_all(10 * micros_per_second);
    }

    // Describes a job that doesn't end, or that has failed with fewer failed
    // runs than the queue allows attempts. Empty if there is none.
    std::string find_stuck_job()
    {
        restore_all();
        constexpr int seconds = 40;
        for (int second = 0; second < seconds; ++second)
        {
            cancel_all_long_running(); // repeated until all have ended
            run_all(micros_per_second);
            finish_some(~0U);
        }
        for (auto const& [job, call] : submitted_)
        {
            if (!is_accepted(job))
            {
                continue;
            }
            auto const phase = find_phase(job);
            if (!phase || !is_final(*phase))
            {
                return job + " hasn't ended";
            }
            if (*phase == job_phase::failed &&
                !judge_.has_failed(job_id(job), job.starts_with("bb"),
                                   attempts))
            {
                return job + " has failed without cause";
            }
        }
        return {};
    }
};

using move_kind = void (shards_fixture::*)(std::uint32_t);

struct named_move
{
    char const* name_;
    move_kind   move_;
};

// Steps that move and end tasks are listed several times, so that they are
// drawn more often.
constexpr std::array<named_move, 20> moves = {{
    {"submit tasks", &shards_fixture::submit_tasks},
    {"fail", &shards_fixture::fail_some},
    {"finish", &shards_fixture::finish_some},
    {"submit long-running", &shards_fixture::submit_long_running},
    {"cancel long-running", &shards_fixture::cancel_long_running},
    {"submit tasks", &shards_fixture::submit_tasks},
    {"fail", &shards_fixture::fail_some},
    {"submit long-running", &shards_fixture::submit_long_running},
    {"cancel long-running", &shards_fixture::cancel_long_running},
    {"submit tasks", &shards_fixture::submit_tasks},
    {"fail", &shards_fixture::fail_some},
    {"cancel long-running", &shards_fixture::cancel_long_running},
    {"submit gang", &shards_fixture::submit_gang},
    {"finish", &shards_fixture::finish_some},
    {"withdraw or restore", &shards_fixture::withdraw_or_restore},
    {"kill or start", &shards_fixture::kill_or_start},
    {"cut", &shards_fixture::cut},
    {"cut shortly", &shards_fixture::cut_shortly},
    {"cut domain", &shards_fixture::cut_domain},
    {"crash", &shards_fixture::crash},
}};

struct random_move
{
    std::size_t   kind_ = 0;
    std::uint32_t pick_ = 0;
    int           tenths_ = 0; // of a second until the next move
};

std::ostream& operator<<(std::ostream& out, random_move const& move)
{
    return out << moves.at(move.kind_).name_ << ' ' << move.pick_ << ", "
               << move.tenths_;
}

rc::Gen<random_move> arbitrary_move(std::size_t kinds)
{
    return rc::gen::build<random_move>(
        rc::gen::set(&random_move::kind_,
                     rc::gen::inRange<std::size_t>(0, kinds)),
        rc::gen::set(&random_move::pick_,
                     rc::gen::inRange<std::uint32_t>(1, 64)),
        rc::gen::set(&random_move::tenths_, rc::gen::inRange(1, 30)));
}

// Guards against runs after a success or after the last failed attempt, against
// concurrent runs of one task, and against jobs that never end, when tasks are
// delegated, returned and submitted again while owners, domains and targets
// fail and recover.
TEST_CASE("random history of several shards, no excess starts and all end")
{
    CHECK(rc::check(
        []
        {
            auto const history = *rc::gen::container<std::vector<random_move>>(
                arbitrary_move(moves.size()));
            shards_fixture cluster;
            for (random_move const& move : history)
            {
                (cluster.*moves.at(move.kind_).move_)(move.pick_);
                cluster.run_all(move.tenths_ * 100'000);
            }
            std::string const stuck = cluster.find_stuck_job();
            RC_ASSERT(cluster.broken_ == "");
            RC_ASSERT(cluster.judge_.find_excess_start(attempts) == "");
            RC_ASSERT(stuck == "");
        }));
}

} // namespace
} // namespace fescuevane::cell
