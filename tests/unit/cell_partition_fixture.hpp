// Purpose: test fixture of a cell whose messages take time and may be held
// back, lost or cut off in one direction.
//
// Index of sections
//   1. Setup
//   2. Links
//   3. Time
//   4. Store
//   5. Feeds
//   6. Targets
//   7. Commands of hosts
//   8. Faults
//   9. Jobs
#ifndef FESCUEVANE_TESTS_UNIT_CELL_PARTITION_FIXTURE_HPP
#define FESCUEVANE_TESTS_UNIT_CELL_PARTITION_FIXTURE_HPP

#include "cell/records.hpp"
#include "cell_fixture.hpp"
#include "partition_target.hpp"
#include "run_judge.hpp"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace fescuevane::cell
{

struct cell_partition_fixture
{
    struct host_row
    {
        settings                            settings_;
        node_ptr                            node_; // null: not running
        instant                             paused_until_;
        instant                             leave_at_ = instant::never();
        instant                             restart_at_ = instant::never();
        instant                             feed_at_; // next look at the store
        revision                            rows_seen_ = 0;
        revision                            targets_seen_ = 0;
        bool                                feeds_ = false; // follows the store
        bool                                needed_targets_ = true;
        std::map<std::uint64_t, job_answer> answers_;
        std::vector<std::string>            log_;
    };

    struct target_row
    {
        partition_target state_;
        bool             listed_ = true;
        revision         listed_revision_ = 0;
        instant          reached_store_at_;
        instant          list_at_ = instant::never();
    };

    static constexpr std::size_t attempts = 3; // of the configuration

    struct submitted_job
    {
        std::string   host_;
        std::uint64_t call_ = 0;
        step_spec     step_;
    };

    struct run_place
    {
        run_key     run_;
        target_id   target_;
        std::string starter_;
        instant     since_;
    };

    using task = std::pair<stage_key, std::uint32_t>;
    using endpoint = std::string;

    static constexpr std::int64_t step_micros = 10'000;
    static constexpr char const*  store = "store";

    std::mt19937_64                               random_{1};
    instant                                       now_ = instant(1'000'000);
    std::int64_t                                  unix_ms_ = 1'000'000;
    std::multimap<instant, std::function<void()>> due_;
    std::map<std::string, host_row>               hosts_;
    std::map<std::string, std::string>            names_; // by address
    std::map<target_id, target_row>               targets_;
    std::map<row_key, stored_row>                 rows_;
    std::map<row_key, stored_row>                 removed_;
    revision                                      revision_ = 0;
    revision                                      list_revision_ = 0;
    std::shared_ptr<cell_config const>            config_;
    std::uint64_t                                 last_call_ = 0;
    std::map<std::uint64_t, std::pair<std::string, std::uint64_t>> passed_;

    // Faults in force
    std::set<std::string>                   cut_domains_;
    std::set<std::pair<endpoint, endpoint>> cut_links_; // from, to
    double       store_lost_ = 0;                       // share of replies lost
    double       store_late_ = 0;     // share of writes performed late
    bool         store_down_ = false; // refuses calls
    double       message_lost_ = 0;   // share of messages between hosts
    std::int64_t extra_micros_ = 0;   // most extra latency of a message
    bool         keeps_cut_ = true;   // cut messages may arrive after the heal

    // Ground truth
    std::map<task, std::vector<run_place>> active_;
    run_judge                              judge_;       // ends that were noted
    double                                 failing_ = 0; // share of runs
    std::map<job_id, std::int64_t>         work_ms_;
    std::map<job_id, submitted_job>        jobs_;
    std::vector<std::string>               violations_;
    std::size_t                            starts_ = 0;

    cell_partition_fixture() { config_ = cell_fixture::make_config(); }
    virtual ~cell_partition_fixture() = default;
    cell_partition_fixture(cell_partition_fixture const&) = delete;
    cell_partition_fixture& operator=(cell_partition_fixture const&) = delete;

    // 1. Setup

    std::int64_t draw(std::int64_t from, std::int64_t to)
    {
        return std::uniform_int_distribution<std::int64_t>(from, to)(random_);
    }

    bool chance(double share)
    {
        return std::uniform_real_distribution<double>(0, 1)(random_) < share;
    }

    void add_host(std::string const& name, std::string const& domain,
                  std::vector<domain_id> const& domains)
    {
        host_row& host = hosts_[name];
        host.settings_.host_ = host_id(name);
        host.settings_.address_ =
            "127.0.0.1:" + std::to_string(7000 + hosts_.size());
        host.settings_.domain_ = domain_id(domain);
        host.settings_.domains_ = domains;
        host.settings_.cpu_share_ = 0.25;
        host.settings_.job_parts_ = 2;
        names_[host.settings_.address_] = name;
        start(name);
    }

    void add_target(std::string const& name, std::string const& domain,
                    std::string const& rack)
    {
        target_row& target = targets_[target_id(name)];
        target.state_.info_ = std::make_shared<listed_target const>(
            listed_target{.id_ = target_id(name),
                          .address_ = "127.0.0.1:8000",
                          .domain_ = domain_id(domain),
                          .service_ = service_id("desk"),
                          .rack_ = rack_id(rack),
                          .capacity_ = {16'000, 65'536, 0}});
        target.state_.rate_ = chance(0.5) ? 1.0 : 0.98;
        target.state_.offset_ms_ = draw(0, 500'000);
        target.state_.born_unix_ms_ = unix_ms_;
        target.state_.ended_ =
            [this, id = target_id(name)](reported_end const& end)
        {
            forget_run(end.run_);
            judge_.note_end(end.run_, id, end.end_, end.number_, unix_ms_);
        };
        target.state_.forgotten_ =
            [this, id = target_id(name)](std::uint64_t number)
        {
            judge_.note_forgotten(id, number);
        };
        target.state_.lost_ = [this, id = target_id(name)]
        {
            judge_.note_lapse(id);
        };
        target.listed_revision_ = ++list_revision_;
        target.reached_store_at_ = now_;
    }

    // 2. Links

    std::string domain_of(endpoint const& name) const
    {
        auto const host = hosts_.find(name);
        if (host != hosts_.end())
        {
            return host->second.settings_.domain_.str();
        }
        auto const target = targets_.find(target_id(name));
        return target == targets_.end()
                   ? ""
                   : target->second.state_.info_->domain_.str();
    }

    bool passes(endpoint const& from, endpoint const& to) const
    {
        std::string const a = domain_of(from);
        std::string const b = domain_of(to);
        bool const        cut =
            a != b && (cut_domains_.contains(a) || cut_domains_.contains(b));
        return !cut && !cut_links_.contains({from, to});
    }

    std::int64_t latency(endpoint const& from, endpoint const& to)
    {
        std::int64_t const base = domain_of(from) == domain_of(to) ? 100 : 900;
        return base + draw(0, 1500) +
               (extra_micros_ > 0 && chance(0.2) ? draw(0, extra_micros_) : 0);
    }

    // Retransmissions of a message that a cut holds back.
    void transmit(endpoint const& from, endpoint const& to,
                  std::function<void()> const& arrive, std::int64_t backoff)
    {
        if (passes(from, to))
        {
            at(latency(from, to), arrive);
            return;
        }
        constexpr std::int64_t longest = 3'200'000;
        if (!keeps_cut_ || backoff > longest)
        {
            return;
        }
        at(backoff,
           [this, from, to, arrive, backoff]
           {
               transmit(from, to, arrive, backoff * 2);
           });
    }

    void send(endpoint const& from, endpoint const& to,
              std::function<void()> arrive)
    {
        transmit(from, to, std::move(arrive), 200'000);
    }

    // 3. Time

    void at(std::int64_t delay_micros, std::function<void()> what)
    {
        due_.emplace(now_.after(delay_micros), std::move(what));
    }

    void run(std::int64_t micros)
    {
        instant const end = now_.after(micros);
        while (now_ < end)
        {
            step();
        }
    }

    void deliver()
    {
        while (!due_.empty() && due_.begin()->first <= now_)
        {
            auto const what = std::move(due_.begin()->second);
            due_.erase(due_.begin());
            what();
        }
    }

    virtual void step()
    {
        deliver();
        for (auto& [id, target] : targets_)
        {
            advance_target(id, target);
        }
        for (auto& [name, host] : hosts_)
        {
            advance_host(name, host);
        }
        now_ = now_.after(step_micros);
        unix_ms_ += step_micros / micros_per_milli;
    }

    // Posts an event to the process that asked for it.
    void post(std::string const& name, std::uint64_t incarnation, event input)
    {
        host_row& host = hosts_.at(name);
        if (host.node_ && host.settings_.incarnation_ == incarnation)
        {
            post_event(*host.node_, std::move(input));
        }
    }

    // A call that is answered once, at the latest at its deadline.
    struct open_call
    {
        bool answered_ = false;
    };

    template <typename Reply>
    std::function<void(Reply const&)>
    open(std::string const& name, instant deadline, Reply const& failed)
    {
        auto const          call = std::make_shared<open_call>();
        std::uint64_t const incarnation =
            hosts_.at(name).settings_.incarnation_;
        auto const answer = [this, call, name, incarnation](Reply const& reply)
        {
            if (!std::exchange(call->answered_, true))
            {
                post(name, incarnation, reply);
            }
        };
        at(now_.remaining_until(deadline),
           [answer, failed]
           {
               answer(failed);
           });
        return answer;
    }

    // 4. Store

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
        for (row_write const& change : write.writes_)
        {
            rows_.erase(change.key_);
            removed_.erase(change.key_);
            if (change.remove_)
            {
                removed_.insert({change.key_, {change.key_, "", revision_}});
            }
            else
            {
                rows_.insert(
                    {change.key_, {change.key_, change.value_, revision_}});
            }
        }
        return {.request_ = write.request_,
                .outcome_ = store_outcome::done,
                .revision_ = revision_};
    }

    store_reply read_rows(store_read const& read) const
    {
        std::vector<stored_row> found;
        bool                    truncated = false;
        for (auto const& [key, row] : rows_)
        {
            if (key.table_ == read.table_ && key.part_ == read.part_ &&
                key.key_ >= read.from_ &&
                (read.to_.empty() || key.key_ < read.to_))
            {
                if (read.limit_ != 0 && found.size() == read.limit_)
                {
                    truncated = true;
                    break;
                }
                found.push_back(row);
            }
        }
        return {.request_ = read.request_,
                .outcome_ = store_outcome::done,
                .revision_ = revision_,
                .rows_ = found,
                .truncated_ = truncated};
    }

    template <typename Perform>
    void call_store(std::string const& name, std::uint64_t request,
                    instant deadline, Perform perform, bool writes)
    {
        auto const answer = open<store_reply>(
            name, deadline,
            {.request_ = request, .outcome_ = store_outcome::unknown});
        constexpr std::int64_t transaction_micros = 8'000;
        bool const             lost = chance(store_lost_);
        bool const             late = writes && chance(store_late_);
        auto const serve = [this, name, request, answer, perform, lost]
        {
            store_reply const reply =
                store_down_ ? store_reply{.request_ = request,
                                          .outcome_ = store_outcome::not_done}
                            : perform();
            if (!lost)
            {
                send(store, name,
                     [answer, reply]
                     {
                         answer(reply);
                     });
            }
        };
        send(name, store,
             [this, serve, late]
             {
                 at(late ? draw(1'000'000, 6'000'000) : transaction_micros,
                    serve);
             });
    }

    // 5. Feeds

    void follow_store(std::string const& name, host_row& host)
    {
        constexpr std::int64_t lag_micros = 20'000;
        constexpr std::int64_t gather_micros = 400'000;
        constexpr std::int64_t retry_micros = 150'000;
        if (host.feed_at_ > now_)
        {
            return;
        }
        if (!passes(name, store) || !passes(store, name) || store_down_)
        {
            host.feed_at_ = now_.after(retry_micros);
            return;
        }
        instant const asked_at = host.feed_at_;
        host.feed_at_ = now_.after(draw(1'000, lag_micros));
        bool const first = !std::exchange(host.feeds_, true);
        for (auto const* const table : {&rows_, &removed_})
        {
            for (auto const& [key, row] : *table)
            {
                if (key.table_ == "member" && row.revision_ > host.rows_seen_)
                {
                    post_event(*host.node_, member_row_changed{row});
                }
            }
        }
        host.rows_seen_ = revision_;
        post_event(*host.node_, members_confirmed{asked_at});
        bool const needed =
            std::exchange(host.needed_targets_, needs_targets(*host.node_));
        bool const wanted = host.needed_targets_ && !needed;
        bool const gathers =
            host.needed_targets_ && draw(0, gather_micros / lag_micros) == 0;
        if (first || wanted || gathers)
        {
            report_targets(host);
        }
        if (first)
        {
            post_event(*host.node_, list_complete{member_list::members});
        }
        if (first || wanted)
        {
            post_event(*host.node_, list_complete{member_list::targets});
        }
    }

    void report_targets(host_row& host)
    {
        for (auto const& [id, target] : targets_)
        {
            if (target.listed_revision_ <= host.targets_seen_)
            {
                continue;
            }
            if (target.listed_)
            {
                post_event(*host.node_, target_listed{*target.state_.info_});
            }
            else
            {
                post_event(*host.node_, target_unlisted{id});
            }
        }
        host.targets_seen_ = list_revision_;
    }

    // 6. Targets

    void list(target_row& target, bool listed)
    {
        target.listed_ = listed;
        target.listed_revision_ = ++list_revision_;
    }

    void advance_target(target_id const& id, target_row& target)
    {
        constexpr std::int64_t unlisted_micros = 4'500'000;
        partition_target&      state = target.state_;
        if (!state.up_)
        {
            return;
        }
        if (passes(id.str(), store))
        {
            target.reached_store_at_ = now_;
            if (!target.listed_ && target.list_at_ == instant::never())
            {
                target.list_at_ = now_.after(draw(0, 1'500'000));
            }
        }
        else
        {
            target.list_at_ = instant::never();
        }
        if (target.listed_ &&
            target.reached_store_at_.after(unlisted_micros) <= now_)
        {
            list(target, false);
        }
        if (!target.listed_ && target.list_at_ <= now_)
        {
            target.list_at_ = instant::never();
            list(target, true);
        }
        state.advance(state.clock_ms(now_));
    }

    void forget_run(run_key const& run)
    {
        std::vector<run_place>& places = active_[{run.stage_, run.index_}];
        std::erase_if(places,
                      [&run](run_place const& place)
                      {
                          return place.run_ == run;
                      });
    }

    void note_start(std::string const& name, send_start const& start)
    {
        ++starts_;
        run_key const&          run = start.start_.run_;
        std::vector<run_place>& places = active_[{run.stage_, run.index_}];
        std::string const       starter =
            name + " epoch " + std::to_string(start.fence_);
        for (run_place const& other : places)
        {
            violations_.push_back(
                describe() + " two runs at once: " + run.stage_.job_.str() +
                " step " + std::to_string(run.stage_.step_) + " index " +
                std::to_string(run.index_) + " run " +
                std::to_string(run.run_) + " on " + start.start_.target_.str() +
                " by " + starter + " while run " +
                std::to_string(other.run_.run_) + " on " + other.target_.str() +
                " by " + other.starter_ + " since " +
                std::to_string(other.since_.micros() / 1000));
        }
        places.push_back({run, start.start_.target_, starter, now_});
        judge_.note_start(run, start.start_.target_, unix_ms_);
    }

    std::string describe() const
    {
        return std::to_string(now_.micros() / micros_per_milli);
    }

    template <typename Serve>
    void call_target(std::string const& name, target_id const& id, Serve serve)
    {
        std::string const to = id.str();
        send(name, to,
             [this, id, serve]
             {
                 partition_target& state = targets_.at(id).state_;
                 if (!state.up_)
                 {
                     return;
                 }
                 if (state.frozen_until_ > now_)
                 {
                     at(now_.remaining_until(state.frozen_until_),
                        [this, id, serve]
                        {
                            serve(targets_.at(id), true);
                        });
                     return;
                 }
                 if (state.late_until_ > now_ && chance(0.5))
                 {
                     at(draw(2'000'000, 12'000'000),
                        [this, id, serve]
                        {
                            if (targets_.at(id).state_.up_)
                            {
                                serve(targets_.at(id), false);
                            }
                        });
                     return;
                 }
                 serve(targets_.at(id), true);
             });
    }

    void carry(std::string const& name, hold_target const& hold)
    {
        auto const answer = open<hold_reply>(
            name, hold.deadline_,
            {.request_ = hold.request_, .target_ = hold.target_});
        call_target(
            name, hold.target_,
            [this, name, hold, answer](target_row& target, bool replies)
            {
                target.state_.take_hold(
                    hold, target.state_.clock_ms(now_),
                    [this, name, hold, answer, replies](hold_reply const& reply)
                    {
                        if (replies)
                        {
                            send(hold.target_.str(), name,
                                 [answer, reply]
                                 {
                                     answer(reply);
                                 });
                        }
                    });
            });
    }

    void carry(std::string const& name, send_start const& start)
    {
        auto const      answer = open<order_reply>(name, start.deadline_,
                                              {.request_ = start.request_});
        target_id const id = start.start_.target_;
        call_target(
            name, id,
            [this, name, id, start, answer](target_row& target, bool replies)
            {
                bool              began = false;
                order_reply const reply = target.state_.take_start(
                    start, target.state_.clock_ms(now_),
                    work_ms_.at(start.start_.run_.stage_.job_),
                    chance(failing_), began);
                if (began)
                {
                    note_start(name, start);
                }
                if (replies)
                {
                    send(id.str(), name,
                         [answer, reply]
                         {
                             answer(reply);
                         });
                }
            });
    }

    void carry(std::string const& name, send_stop const& stop)
    {
        auto const      answer = open<order_reply>(name, stop.deadline_,
                                              {.request_ = stop.request_});
        target_id const id = stop.stop_.target_;
        call_target(
            name, id,
            [this, name, id, stop, answer](target_row& target, bool replies)
            {
                order_reply const reply =
                    target.state_.take_stop(stop, target.state_.clock_ms(now_));
                if (replies)
                {
                    send(id.str(), name,
                         [answer, reply]
                         {
                             answer(reply);
                         });
                }
            });
    }

    // 7. Commands of hosts

    void carry(std::string const& name, store_transact const& write)
    {
        call_store(
            name, write.request_, write.deadline_,
            [this, write]
            {
                return transact(write);
            },
            true);
    }

    void carry(std::string const& name, store_read const& read)
    {
        call_store(
            name, read.request_, read.deadline_,
            [this, read]
            {
                return read_rows(read);
            },
            false);
    }

    void carry(std::string const& name, answer_call const& answer)
    {
        hosts_.at(name).answers_.insert_or_assign(answer.call_, answer.answer_);
    }

    void carry(std::string const& name, send_heartbeat const& beat)
    {
        auto const other = names_.find(beat.address_);
        if (other == names_.end() || chance(message_lost_))
        {
            return;
        }
        std::string const   to = other->second;
        std::uint64_t const incarnation =
            hosts_.at(name).settings_.incarnation_;
        instant const deadline = beat.deadline_;
        send(name, to,
             [this, name, to, beat, incarnation, deadline]
             {
                 host_row& host = hosts_.at(to);
                 if (!host.node_ || now_ > deadline)
                 {
                     return;
                 }
                 post_event(*host.node_, heartbeat_received{beat.beat_});
                 if (host.paused_until_ > now_)
                 {
                     return;
                 }
                 heartbeat const reply = make_heartbeat(*host.node_);
                 send(to, name,
                      [this, name, incarnation, reply, deadline]
                      {
                          if (now_ <= deadline)
                          {
                              post(name, incarnation,
                                   heartbeat_received{reply});
                          }
                      });
             });
    }

    void carry(std::string const& name, call_peer const& call)
    {
        auto const other = names_.find(call.address_);
        if (other == names_.end() || chance(message_lost_))
        {
            return;
        }
        std::string const   to = other->second;
        std::uint64_t const incarnation =
            hosts_.at(name).settings_.incarnation_;
        send(name, to,
             [this, name, to, call, incarnation]
             {
                 if (!hosts_.at(to).node_)
                 {
                     return;
                 }
                 passed_[++last_call_] = {
                     name + "/" + std::to_string(incarnation), call.request_};
                 post_event(*hosts_.at(to).node_,
                            peer_called{last_call_, call.call_});
             });
    }

    void carry(std::string const& name, reply_peer const& reply)
    {
        auto const found = passed_.find(reply.call_);
        if (found == passed_.end() || chance(message_lost_))
        {
            return;
        }
        std::string const   from = found->second.first;
        auto const          slash = from.find('/');
        std::string const   to = from.substr(0, slash);
        std::uint64_t const incarnation = std::stoull(from.substr(slash + 1));
        std::uint64_t const request = found->second.second;
        send(name, to,
             [this, to, incarnation, request, answer = reply.answer_]
             {
                 post(to, incarnation, peer_replied{request, answer});
             });
    }

    void carry(std::string const& name, log_line const& line)
    {
        std::string text = describe() + " " + name + " " + line.event_;
        for (auto const& [field, value] : line.fields_)
        {
            text += " " + field + "=" + value;
        }
        hosts_.at(name).log_.push_back(std::move(text));
    }

    template <typename Other>
    void carry(std::string const& /*name*/, Other const& /*order*/)
    {
    }

    void advance_host(std::string const& name, host_row& host)
    {
        if (!host.node_)
        {
            if (host.restart_at_ <= now_)
            {
                start(name);
            }
            return;
        }
        if (host.paused_until_ > now_)
        {
            return;
        }
        constexpr std::int64_t grace_micros = 650'000;
        bool const             left = host.leave_at_ <= now_ &&
                          (is_stopped(*host.node_) ||
                           host.leave_at_.after(grace_micros) <= now_);
        if (left)
        {
            host.node_.reset();
            host.restart_at_ = now_.after(600'000);
            return;
        }
        follow_store(name, host);
        if (next_deadline(*host.node_) > now_)
        {
            return;
        }
        std::vector<command> orders;
        run_tick(*host.node_, now_, unix_ms_, orders);
        for (command const& order : orders)
        {
            std::visit(
                [&](auto const& value)
                {
                    carry(name, value);
                },
                order);
        }
    }

    // 8. Faults

    void start(std::string const& name)
    {
        host_row& host = hosts_.at(name);
        host.settings_.incarnation_ = static_cast<std::uint64_t>(unix_ms_);
        host.node_ = make_node(host.settings_, now_);
        host.paused_until_ = instant();
        host.leave_at_ = instant::never();
        host.restart_at_ = instant::never();
        host.feed_at_ = now_.after(draw(5'000, 60'000));
        host.rows_seen_ = 0;
        host.targets_seen_ = 0;
        host.feeds_ = false;
        host.needed_targets_ = true;
        post_event(*host.node_, config_changed{config_});
    }

    void kill(std::string const& name, std::int64_t restart_micros)
    {
        host_row& host = hosts_.at(name);
        host.node_.reset();
        host.restart_at_ = now_.after(restart_micros);
    }

    void terminate(std::string const& name)
    {
        host_row& host = hosts_.at(name);
        if (host.node_ && host.leave_at_ == instant::never())
        {
            host.leave_at_ = now_.after(5'100'000);
            post_event(*host.node_, stop_requested{host.leave_at_});
        }
    }

    void pause(std::string const& name, std::int64_t micros)
    {
        hosts_.at(name).paused_until_ = now_.after(micros);
    }

    // 9. Jobs

    void submit(std::string const& host, std::string const& id,
                step_spec const& step, std::int64_t work_ms)
    {
        if (!hosts_.at(host).node_)
        {
            return;
        }
        work_ms_[job_id(id)] = work_ms;
        jobs_.emplace(job_id(id), submitted_job{host, ++last_call_, step});
        post_event(
            *hosts_.at(host).node_,
            call_opened{.call_ = last_call_,
                        .kind_ = call_kind::submit,
                        .id_ = job_id(id),
                        .job_ = std::make_shared<staged_job const>(
                            staged_job{.id_ = job_id(id),
                                       .organisation_ = organisation_id("cafe"),
                                       .queue_ = queue_id("orders"),
                                       .service_ = service_id("desk"),
                                       .payload_ = "work",
                                       .steps_ = {step},
                                       .accepted_unix_ms_ = unix_ms_}),
                        .deadline_ = now_.after(3 * micros_per_second)});
    }

    bool is_accepted(submitted_job const& job) const
    {
        auto const& answers = hosts_.at(job.host_).answers_;
        auto const  answer = answers.find(job.call_);
        return answer != answers.end() &&
               answer->second.outcome_ == job_outcome::accepted;
    }

    bool is_running(task const& place) const
    {
        auto const found = active_.find(place);
        return found != active_.end() && !found->second.empty();
    }

    // One end of a gang stands for all of its tasks.
    bool is_over(job_id const& id, step_spec const& step,
                 std::uint32_t index) const
    {
        bool over = judge_.has_failed(id, step.gang_, attempts) ||
                    judge_.is_done({{id, 0, 0}, index});
        for (std::uint32_t other = 0; step.gang_ && other < step.count_;
             ++other)
        {
            over = over || judge_.is_done({{id, 0, 0}, other});
        }
        return over;
    }

    // An accepted job with a task that isn't over, or, if it is to last, isn't
    // running; empty when there is none.
    std::string find_unfinished() const
    {
        for (auto const& [id, job] : jobs_)
        {
            for (std::uint32_t index = 0;
                 is_accepted(job) && index < job.step_.count_; ++index)
            {
                bool const fine = job.step_.perpetual_
                                      ? is_running({{id, 0, 0}, index})
                                      : is_over(id, job.step_, index);
                if (!fine)
                {
                    return id.str() + " index " + std::to_string(index);
                }
            }
        }
        return {};
    }
};

} // namespace fescuevane::cell

#endif
