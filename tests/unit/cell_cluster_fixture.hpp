// Purpose: test fixture of several nodes that share a store and targets.
//
// Index of sections
//   1. Hosts and targets
//   2. Time
//   3. Store
//   4. Policy service
//   5. Queries
#ifndef FESCUEVANE_TESTS_UNIT_CELL_CLUSTER_FIXTURE_HPP
#define FESCUEVANE_TESTS_UNIT_CELL_CLUSTER_FIXTURE_HPP

#include "cell_fixture.hpp"

#include "cell/records.hpp"

#include <set>

namespace fescuevane::cell
{

struct cell_cluster_fixture
{
    struct member
    {
        settings                            settings_;
        node_ptr                            node_; // null: killed
        std::map<std::uint64_t, job_answer> answers_;
        bool needed_targets_ = true; // in the latest tick
    };

    struct forwarded_call
    {
        std::string   from_; // address
        std::uint64_t request_ = 0;
    };

    // A reply of the policy service in flight.
    struct pending_advice
    {
        std::string  to_; // address
        advice_reply reply_;
    };

    settings                                       defaults_;
    std::map<std::string, member>                  members_;   // by address
    std::map<std::string, std::string>             addresses_; // by name
    std::vector<listed_target>                     targets_;
    std::map<target_id, std::vector<reported_run>> running_;
    std::map<target_id, std::vector<reported_end>> ended_;
    std::map<target_id, std::uint64_t> ends_; // reported, of an incarnation
    std::map<run_key, int>             starts_;
    std::map<run_key, std::int64_t>    started_; // at `unix_ms_`
    std::map<target_id, epoch>         fences_;
    std::map<std::uint64_t, forwarded_call> passed_;
    std::map<row_key, stored_row>           rows_;
    revision                                revision_ = 0;
    std::uint64_t                           journal_writes_ = 0;
    bool executes_stops_ = false; // targets execute stops
    bool store_refuses_ = false;  // all calls
    int  lost_every_ = 0; // each nth call or reply between hosts; 0: none
    int  messages_ = 0;   // between hosts, without heartbeats
    std::int64_t                       tick_micros_ = 10'000;
    std::set<target_id>                unreachable_;          // by any host
    std::map<target_id, int>           earlier_incarnations_; // their number
    std::set<domain_id>                out_;                  // withdrawn
    instant                            now_ = instant(10 * micros_per_second);
    std::int64_t                       unix_ms_ = 1'000'000;
    std::uint64_t                      last_call_ = 0;
    std::shared_ptr<cell_config const> config_ = cell_fixture::make_config();

    // Policy service: allowed targets of a job; other jobs may use all targets.
    std::map<job_id, std::set<target_id>>       allowed_;
    std::map<std::string, std::int64_t>         advice_busy_; // until, by host
    std::multimap<std::int64_t, pending_advice> advice_due_;  // by `unix_ms_`
    int                              invalid_tickets_ = 0;    // of starts
    std::set<job_id>                 lasting_; // long-running jobs
    std::map<stage_key, std::size_t> gangs_;   // their numbers of tasks

    cell_cluster_fixture()
    {
        defaults_.domains_ = {domain_id("east")};
        defaults_.targets_per_shard_ = 2;
    }
    virtual ~cell_cluster_fixture() = default;
    cell_cluster_fixture(cell_cluster_fixture const&) = delete;
    cell_cluster_fixture& operator=(cell_cluster_fixture const&) = delete;

    // 1. Hosts and targets

    void add_host(std::string const& name, double cpu_share = 0.5,
                  std::string const& domain = "east")
    {
        std::string const address =
            "127.0.0.1:" + std::to_string(7000 + members_.size());
        settings values = defaults_;
        values.host_ = host_id(name);
        values.address_ = address;
        values.domain_ = domain_id(domain);
        values.cpu_share_ = cpu_share;
        addresses_[name] = address;
        members_[address].settings_ = values;
        start(name);
    }

    // Starts a process of the host, which reads the store and the list of
    // targets.
    void start(std::string const& name)
    {
        member& host = find(name);
        ++host.settings_.incarnation_;
        host.node_ = make_node(host.settings_, now_);
        post_event(*host.node_, config_changed{config_});
        for (auto const& [key, row] : rows_)
        {
            if (key.table_ == "member")
            {
                post_event(*host.node_, member_row_changed{row});
            }
        }
        for (listed_target const& target : targets_)
        {
            post_event(*host.node_, target_listed{target});
        }
        for (domain_id const& domain : out_)
        {
            post_event(*host.node_, domain_withdrawn{domain, true});
        }
        post_event(*host.node_, list_complete{member_list::members});
        post_event(*host.node_, list_complete{member_list::targets});
    }

    void kill(std::string const& name) { find(name).node_.reset(); }

    member& find(std::string const& name)
    {
        return members_.at(addresses_.at(name));
    }

    void post_all(event const& input)
    {
        for (auto& [address, host] : members_)
        {
            if (host.node_)
            {
                post_event(*host.node_, input);
            }
        }
    }

    void list_target(std::string const& name, std::string const& rack,
                     std::string const& domain = "east",
                     resources const&   capacity = {4000, 8192, 0})
    {
        targets_.push_back({.id_ = target_id(name),
                            .address_ = "127.0.0.1:8000",
                            .domain_ = domain_id(domain),
                            .service_ = service_id("desk"),
                            .rack_ = rack_id(rack),
                            .capacity_ = capacity});
        post_all(target_listed{targets_.back()});
    }

    // Four targets on two racks, which form two shards.
    void list_two_racks(std::string const& domain = "east")
    {
        for (char const* const rack : {"r-1", "r-2"})
        {
            for (char const* const side : {"a", "b"})
            {
                list_target(std::string("t-") + domain + rack + side,
                            domain + rack, domain);
            }
        }
    }

    // When a run began to work: tasks of a gang begin when all of them have
    // started.
    std::optional<std::int64_t> find_begin(run_key const& run) const
    {
        auto const gang = gangs_.find(run.stage_);
        if (gang == gangs_.end())
        {
            return started_.at(run);
        }
        std::size_t  present = 0;
        std::int64_t begin = 0;
        for (auto const& [target, runs] : running_)
        {
            for (reported_run const& other : runs)
            {
                if (other.run_.stage_ == run.stage_ &&
                    other.run_.run_ == run.run_)
                {
                    ++present;
                    begin = std::max(begin, started_.at(other.run_));
                }
            }
        }
        return present == gang->second ? std::optional(begin) : std::nullopt;
    }

    // Ends runs of at least this age, the tasks of a step one after another.
    // Ends are reported until they are acknowledged.
    void end_runs(std::int64_t age_ms, std::int64_t apart_ms = 0)
    {
        std::set<run_key> due;
        for (auto const& [target, runs] : running_)
        {
            for (reported_run const& run : runs)
            {
                auto const begin = find_begin(run.run_);
                if (begin && !lasting_.contains(run.run_.stage_.job_) &&
                    *begin + age_ms + apart_ms * run.run_.index_ <= unix_ms_)
                {
                    due.insert(run.run_);
                }
            }
        }
        for (auto& [target, runs] : running_)
        {
            std::vector<reported_run> rest;
            for (reported_run const& run : runs)
            {
                if (!due.contains(run.run_))
                {
                    rest.push_back(run);
                    continue;
                }
                ended_[target].push_back(
                    {++ends_[target], run.run_, run_end::done, ""});
            }
            runs.swap(rest);
        }
    }

    void stop_run(target_id const& target, run_key const& stopped)
    {
        std::vector<reported_run> rest;
        for (reported_run const& run : running_[target])
        {
            if (run.run_ != stopped)
            {
                rest.push_back(run);
                continue;
            }
            ended_[target].push_back(
                {++ends_[target], stopped, run_end::stopped, ""});
        }
        running_[target].swap(rest);
    }

    void forget_ends(hold_target const& hold)
    {
        std::vector<reported_end> rest;
        for (reported_end const& end : ended_[hold.target_])
        {
            if (end.number_ > hold.forgotten_)
            {
                rest.push_back(end);
            }
        }
        ended_[hold.target_].swap(rest);
    }

    // 2. Time

    // Ticks for some time. Messages arrive with the next tick.
    void run(std::int64_t micros)
    {
        std::int64_t const step = tick_micros_;
        for (std::int64_t passed = 0; passed < micros; passed += step)
        {
            for (auto& [address, host] : members_)
            {
                if (host.node_)
                {
                    tick(address, host);
                }
            }
            now_ = now_.after(step);
            unix_ms_ += step / micros_per_milli;
            deliver_advice();
        }
    }

    void tick(std::string const& address, member& host)
    {
        std::vector<command> orders;
        post_event(*host.node_, members_confirmed{now_});
        run_tick(*host.node_, now_, unix_ms_, orders);
        if (!std::exchange(host.needed_targets_, needs_targets(*host.node_)) &&
            host.needed_targets_)
        {
            post_event(*host.node_, list_complete{member_list::targets});
        }
        for (command const& order : orders)
        {
            std::visit(carry{*this, address, host}, order);
        }
    }

    struct carry
    {
        cell_cluster_fixture& cluster_;
        std::string const&    address_;
        member&               host_;

        void operator()(store_transact const& write) const
        {
            post_event(*host_.node_, cluster_.store_refuses_
                                         ? refuse(write.request_)
                                         : cluster_.transact(write));
        }
        void operator()(store_read const& read) const
        {
            post_event(*host_.node_, cluster_.store_refuses_
                                         ? refuse(read.request_)
                                         : cluster_.read_rows(read));
        }
        static store_reply refuse(std::uint64_t request)
        {
            return {.request_ = request, .outcome_ = store_outcome::not_done};
        }
        void operator()(answer_call const& answer) const
        {
            host_.answers_.insert_or_assign(answer.call_, answer.answer_);
        }
        void operator()(send_heartbeat const& beat) const
        {
            member const& other = cluster_.members_.at(beat.address_);
            if (other.node_)
            {
                post_event(*other.node_, heartbeat_received{beat.beat_});
                post_event(*host_.node_,
                           heartbeat_received{make_heartbeat(*other.node_)});
            }
        }
        void operator()(call_peer const& call) const
        {
            member const& other = cluster_.members_.at(call.address_);
            if (other.node_ && !cluster_.lose_message())
            {
                cluster_.passed_[++cluster_.last_call_] = {address_,
                                                           call.request_};
                post_event(*other.node_,
                           peer_called{cluster_.last_call_, call.call_});
            }
        }
        void operator()(reply_peer const& reply) const
        {
            forwarded_call const& call = cluster_.passed_.at(reply.call_);
            member const&         other = cluster_.members_.at(call.from_);
            if (other.node_ && !cluster_.lose_message())
            {
                post_event(*other.node_,
                           peer_replied{call.request_, reply.answer_});
            }
        }
        void operator()(hold_target const& hold) const
        {
            post_event(*host_.node_, cluster_.answer_hold(hold));
        }
        void operator()(send_start const& start) const
        {
            if (cluster_.unreachable_.contains(start.start_.target_))
            {
                post_event(*host_.node_,
                           order_reply{.request_ = start.request_,
                                       .outcome_ = target_outcome::unknown});
                return;
            }
            ++cluster_.starts_[start.start_.run_];
            cluster_.check_ticket(start);
            post_event(*host_.node_, cluster_.answer_start(start));
        }
        void operator()(send_stop const& stop) const
        {
            if (cluster_.executes_stops_)
            {
                post_event(*host_.node_, cluster_.answer_stop(stop));
            }
        }
        void operator()(send_question const& question) const
        {
            if (cluster_.defaults_.advice_pool_ && !question.address_.empty())
            {
                cluster_.forward_question(address_, question);
                return;
            }
            cluster_.query_policy(address_, question);
        }
        void operator()(answer_question const& answer) const
        {
            forwarded_call const& call = cluster_.passed_.at(answer.call_);
            member const&         other = cluster_.members_.at(call.from_);
            if (other.node_)
            {
                post_event(*other.node_,
                           advice_reply{.request_ = call.request_,
                                        .answered_ = answer.reply_.answered_,
                                        .good_ = answer.reply_.good_,
                                        .error_ = answer.reply_.error_});
            }
        }
        template <typename Other>
        void operator()(Other const& /*order*/) const
        {
        }
    };

    bool lose_message()
    {
        return lost_every_ > 0 && ++messages_ % lost_every_ == 0;
    }

    // By default targets reply at once and keep their leases; derived fixtures
    // may override this.

    virtual hold_reply answer_hold(hold_target const& hold)
    {
        if (unreachable_.contains(hold.target_))
        {
            return {.request_ = hold.request_,
                    .target_ = hold.target_,
                    .outcome_ = target_outcome::unknown};
        }
        epoch&     fence = fences_[hold.target_];
        bool const old = hold.fence_ != 0 && hold.fence_ < fence;
        fence = std::max(fence, hold.fence_);
        forget_ends(hold);
        return {.request_ = hold.request_,
                .target_ = hold.target_,
                .outcome_ =
                    old ? target_outcome::superseded : target_outcome::done,
                .clock_ms_ = unix_ms_,
                .born_unix_ms_ = 7 + earlier_incarnations_[hold.target_],
                .runs_ = running_[hold.target_],
                .ends_ = ended_[hold.target_]};
    }

    virtual order_reply answer_start(send_start const& start)
    {
        started_[start.start_.run_] = unix_ms_;
        running_[start.start_.target_].push_back({start.start_.run_, "", 1, 0});
        return {.request_ = start.request_, .outcome_ = target_outcome::done};
    }

    virtual order_reply answer_stop(send_stop const& stop)
    {
        if (unreachable_.contains(stop.stop_.target_))
        {
            return {.request_ = stop.request_,
                    .outcome_ = target_outcome::unknown};
        }
        stop_run(stop.stop_.target_, stop.stop_.run_);
        return {.request_ = stop.request_, .outcome_ = target_outcome::done};
    }

    // 3. Store

    store_reply transact(store_transact const& write)
    {
        std::vector<stored_row> current;
        bool                    holds = true;
        for (row_condition const& condition : write.conditions_)
        {
            auto const found = rows_.find(condition.key_);
            current.push_back(found == rows_.end()
                                  ? stored_row{.key_ = condition.key_}
                                  : found->second);
            holds = holds && current.back().revision_ == condition.revision_;
        }
        if (!holds)
        {
            return {.request_ = write.request_,
                    .outcome_ = store_outcome::conflict,
                    .revision_ = revision_,
                    .rows_ = current};
        }
        ++revision_;
        journal_writes_ += write.writes_.front().key_.table_ == "job" ? 1 : 0;
        for (row_write const& change : write.writes_)
        {
            rows_.erase(change.key_);
            if (!change.remove_)
            {
                rows_.insert(
                    {change.key_, {change.key_, change.value_, revision_}});
            }
            if (change.key_.table_ == "member")
            {
                post_all(member_row_changed{
                    {change.key_, change.value_, revision_}});
            }
        }
        return {.request_ = write.request_,
                .outcome_ = store_outcome::done,
                .revision_ = revision_};
    }

    store_reply read_rows(store_read const& read)
    {
        std::vector<stored_row> found;
        for (auto const& [key, row] : rows_)
        {
            if (key.table_ == read.table_ && key.part_ == read.part_ &&
                key.key_ >= read.from_ &&
                (read.to_.empty() || key.key_ < read.to_))
            {
                found.push_back(row);
            }
        }
        return {.request_ = read.request_,
                .outcome_ = store_outcome::done,
                .revision_ = revision_,
                .rows_ = found};
    }

    // 4. Policy service

    advice_policy const* find_advice() const
    {
        auto const& advice = config_->routes_.front().policy_.advice_;
        return advice ? &*advice : nullptr;
    }

    void set_advice(advice_policy const& advice)
    {
        auto config = std::make_shared<cell_config>(*config_);
        ++config->version_;
        config->routes_.front().policy_.advice_ = advice;
        config_ = config;
        post_all(config_changed{config_});
    }

    bool is_allowed(job_id const& job, target_id const& target) const
    {
        auto const found = allowed_.find(job);
        return found == allowed_.end() || found->second.contains(target);
    }

    // Serves the requests of each host one after another. A ticket consists of
    // its expiry time.
    void query_policy(std::string const& from, send_question const& question)
    {
        advice_policy const* const advice = find_advice();
        if (advice == nullptr)
        {
            return;
        }
        std::string const& asker =
            question.address_.empty() ? from : question.address_;
        std::int64_t& busy = advice_busy_[asker];
        auto const    targets =
            static_cast<double>(question.question_.targets_.size());
        busy = std::max(busy, unix_ms_) +
               static_cast<std::int64_t>(advice->decision_ms_ +
                                         advice->per_target_ms_ * targets);
        std::vector<plan::target_ticket> good;
        std::string const                ticket =
            std::to_string(busy + question.question_.validity_ms_);
        for (target_id const& target : question.question_.targets_)
        {
            if (is_allowed(question.question_.stage_.job_, target))
            {
                good.push_back({target, ticket});
            }
        }
        advice_due_.emplace(busy, pending_advice{from,
                                                 {.request_ = question.request_,
                                                  .answered_ = true,
                                                  .good_ = std::move(good)}});
    }

    void forward_question(std::string const&   from,
                          send_question const& question)
    {
        member const& other = members_.at(question.address_);
        if (other.node_)
        {
            passed_[++last_call_] = {from, question.request_};
            post_event(*other.node_,
                       question_received{
                           last_call_,
                           {.question_ = question.question_,
                            .deadline_ = question.deadline_,
                            .service_micros_ = question.service_micros_}});
        }
    }

    void deliver_advice()
    {
        auto const end = advice_due_.upper_bound(unix_ms_);
        for (auto at = advice_due_.begin(); at != end; ++at)
        {
            member& host = members_.at(at->second.to_);
            if (host.node_)
            {
                post_event(*host.node_, at->second.reply_);
            }
        }
        advice_due_.erase(advice_due_.begin(), end);
    }

    void check_ticket(send_start const& start)
    {
        std::string const& ticket = start.start_.ticket_;
        bool const         good =
            is_allowed(start.start_.run_.stage_.job_, start.start_.target_) &&
            !ticket.empty() && std::stoll(ticket) >= unix_ms_;
        invalid_tickets_ += find_advice() == nullptr || good ? 0 : 1;
    }

    // 5. Queries

    layout_record stored_layout(std::string const& domain = "east")
    {
        return read_layout(rows_.at({"member", "", "layout/" + domain}).value_);
    }

    owner_record stored_owner(std::string const& shard)
    {
        return read_owner(rows_.at({"member", "0", "shard/" + shard}).value_);
    }

    // Names of the shards that a host reports as served.
    std::set<std::string> list_served(std::string const& name)
    {
        std::set<std::string> served;
        for (shard_load const& load : make_heartbeat(*find(name).node_).shards_)
        {
            if (load.serving_)
            {
                served.insert(write_shard_name(load.shard_));
            }
        }
        return served;
    }

    std::uint64_t submit(std::string const& host, std::string const& id,
                         std::vector<step_spec> steps = {
                             {.demand_ = {1000, 512, 0}, .estimate_ms_ = 1000}})
    {
        for (std::uint32_t step = 0; step < steps.size(); ++step)
        {
            if (steps[step].gang_)
            {
                gangs_[{job_id(id), 0, step}] = steps[step].count_;
            }
        }
        post_event(
            *find(host).node_,
            call_opened{.call_ = ++last_call_,
                        .kind_ = call_kind::submit,
                        .id_ = job_id(id),
                        .job_ = std::make_shared<staged_job const>(
                            staged_job{.id_ = job_id(id),
                                       .organisation_ = organisation_id("cafe"),
                                       .queue_ = queue_id("orders"),
                                       .service_ = service_id("desk"),
                                       .payload_ = "work",
                                       .steps_ = std::move(steps),
                                       .accepted_unix_ms_ = unix_ms_}),
                        .deadline_ = now_.after(3 * micros_per_second)});
        return last_call_;
    }

    std::uint64_t ask(std::string const& host, call_kind kind,
                      std::string const& id)
    {
        post_event(*find(host).node_,
                   call_opened{.call_ = ++last_call_,
                               .kind_ = kind,
                               .id_ = job_id(id),
                               .deadline_ = now_.after(3 * micros_per_second)});
        return last_call_;
    }

    std::optional<job_answer> find_answer(std::string const& host,
                                          std::uint64_t      call)
    {
        auto const& answers = find(host).answers_;
        auto const  found = answers.find(call);
        return found == answers.end() ? std::nullopt
                                      : std::optional(found->second);
    }
};

} // namespace fescuevane::cell

#endif
