// Purpose: members of the fixture of the node, and tests that the cell it fakes
// works without faults.
//
// Index of sections
//   1. Cell
//   2. Time
//   3. Commands of nodes
//   4. Targets
//   5. Calls and queries
//   6. Tests
#include "tests/unit/node_fixture.hpp"

#include "entry/shard_status.hpp"
#include "state/config.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <stdexcept>

namespace fescuevane::entry
{
namespace
{

constexpr std::int64_t hop_micros = 500;
constexpr std::int64_t store_micros = 2000;
constexpr std::int64_t read_micros = 1000; // of what waited in the sockets
constexpr std::int64_t minute = 60 * micros_per_second;

// A node whose next deadline never moves would spin in the process.
constexpr std::size_t steps_at_once_max = 5000;

} // namespace

// 1. Cell

node_member& node_fixture::start(std::string const& name,
                                 std::string const& domain,
                                 std::uint64_t      incarnation)
{
    settings values;
    values.state_.host_ = host_id(name);
    values.state_.domain_ = domain_id(domain);
    values.state_.address_ = "127.0.0.1:" + name;
    values.state_.incarnation_ = incarnation;
    values.state_.shard_counts_ = shard_counts_;
    for (auto const& [peer, member] : nodes_)
    {
        values.seed_peers_.push_back({member.settings_.state_.host_,
                                      member.settings_.state_.domain_,
                                      member.settings_.state_.address_});
    }
    nodes_.erase(name);
    node_member member{.settings_ = values};
    member.node_ = make_node(values, now_);
    return nodes_.emplace(name, std::move(member)).first->second;
}

target_fake& node_fixture::add_target(std::string const& name,
                                      std::string const& domain)
{
    return targets_
        .emplace(name, target_fake{.listed_ = {.target_ = target_id(name),
                                               .domain_ = domain_id(domain),
                                               .rack_ = rack_id("r-" + name),
                                               .address_ = "127.0.0.1:" + name,
                                               .capacity_ = {4000, 8192, 0},
                                               .slots_ = 8}})
        .first->second;
}

void node_fixture::restart_target(std::string const& name)
{
    target_fake& target = targets_.at(name);
    if (!target.owner_.empty())
    {
        send_event(
            target.owner_.str(), hop_micros,
            target_disconnected{target.listed_.target_, target.attachment_});
    }
    ++target.incarnation_;
    target.epoch_ = 0;
    target.owner_ = host_id();
    target.running_.clear();
    target.ended_.clear();
}

void node_fixture::set_isolated(std::string const& name, bool cut)
{
    nodes_.at(name).store_cut_ = cut;
    for (auto const& [peer, member] : nodes_)
    {
        ways_[{name, peer}].cut_ = cut;
        ways_[{peer, name}].cut_ = cut;
    }
}

void node_fixture::pause(std::string const& name, std::int64_t micros)
{
    nodes_.at(name).paused_ = true;
    nodes_.at(name).reads_ = false;
    run(micros);
    node_member& member = nodes_.at(name);
    member.paused_ = false;
    member.reads_ = true;
    for (event const& input : std::exchange(member.unread_, {}))
    {
        send_event(name, read_micros, input);
    }
}

void node_fixture::start_cell()
{
    for (std::string const domain : {"east", "west"})
    {
        for (std::string const index : {"1", "2"})
        {
            start(domain + index, domain);
            add_target(std::string("t-").append(domain).append(index), domain);
        }
    }
    REQUIRE(run_until(
        [this]
        {
            return is_settled();
        },
        minute));
    REQUIRE(accept_ticket("east1",
                          R"({"number":1,
        "teams":[{"id":"cafes","keys":["k1","k2"]}],
        "failure_domains":[{"id":"east","in_service":true},
                           {"id":"west","in_service":true}],
        "services":[{"id":"refills"},{"id":"lobby","open":true}]})"));
    run(micros_per_second);
}

// 2. Time

void node_fixture::run(std::int64_t micros)
{
    instant const end = now_.after(micros);
    while (find_next() <= end)
    {
        step();
    }
    now_ = end;
}

bool node_fixture::run_until(std::function<bool()> const& holds,
                             std::int64_t                 limit_micros)
{
    instant const end = now_.after(limit_micros);
    while (!holds())
    {
        if (find_next() > end)
        {
            now_ = end;
            return false;
        }
        step();
    }
    return true;
}

instant node_fixture::find_next() const
{
    instant next = hosts_due_;
    if (!mail_.empty())
    {
        next = std::min(next, mail_.begin()->first.first);
    }
    for (auto const& [name, member] : nodes_)
    {
        if (!member.paused_)
        {
            next = std::min(next, member.armed_ ? now_
                                                : next_deadline(*member.node_));
        }
    }
    for (auto const& [name, target] : targets_)
    {
        for (auto const& [task, running] : target.running_)
        {
            next = std::min({next, running.end_, target.lease_end_});
        }
    }
    return std::max(now_, next);
}

void node_fixture::step()
{
    instant const next = find_next();
    steps_at_once_ = next == now_ ? steps_at_once_ + 1 : 0;
    if (steps_at_once_ > steps_at_once_max)
    {
        throw std::logic_error("a node's next deadline does not move");
    }
    now_ = next;
    list_hosts();
    deliver();
    for (auto& [name, target] : targets_)
    {
        end_tasks(name, target);
    }
    for (auto& [name, member] : nodes_)
    {
        if (!member.paused_ &&
            (member.armed_ || next_deadline(*member.node_) <= now_))
        {
            tick(name, member);
        }
    }
}

void node_fixture::list_hosts()
{
    if (now_ < hosts_due_)
    {
        return;
    }
    hosts_due_ = now_.after(micros_per_second);
    std::vector<listed_host> listed;
    for (auto const& [name, target] : targets_)
    {
        if (!target.unlisted_)
        {
            listed.push_back(target.listed_);
        }
    }
    for (auto const& [name, member] : nodes_)
    {
        if (!member.store_cut_)
        {
            post(name, hosts_listed{listed});
        }
    }
}

void node_fixture::deliver()
{
    while (!mail_.empty() && mail_.begin()->first.first <= now_)
    {
        delivery const mail = mail_.extract(mail_.begin()).mapped();
        auto const     receiver = nodes_.find(mail.receiver_);
        if (mail.receiver_.empty() ||
            (receiver != nodes_.end() &&
             receiver->second.settings_.state_.incarnation_ ==
                 mail.incarnation_))
        {
            mail.arrive_();
        }
    }
}

void node_fixture::tick(std::string const& name, node_member& member)
{
    member.armed_ = false;
    std::vector<command> output;
    run_tick(*member.node_, now_, output);
    for (command const& order : output)
    {
        obey(name, order);
        member.told_.push_back(order);
    }
}

void node_fixture::send(std::int64_t delay, delivery mail)
{
    mail_.emplace(mail_key{now_.after(delay), ++next_mail_}, std::move(mail));
}

void node_fixture::send_event(std::string const& node, std::int64_t delay,
                              event const& input)
{
    auto const receiver = nodes_.find(node);
    if (receiver != nodes_.end())
    {
        send(delay, {node, receiver->second.settings_.state_.incarnation_,
                     [this, node, input]
                     {
                         post(node, input);
                     }});
    }
}

void node_fixture::post(std::string const& node, event input)
{
    node_member& member = nodes_.at(node);
    if (!member.reads_)
    {
        member.unread_.push_back(std::move(input));
        return;
    }
    post_event(*member.node_, std::move(input));
    member.armed_ = true;
}

// 3. Commands of nodes

void node_fixture::obey(std::string const& from, command const& order)
{
    node_member& member = nodes_.at(from);
    if (auto const* message = std::get_if<send_peer>(&order))
    {
        pass(from, *message);
    }
    else if (auto const* read = std::get_if<state::read_rows>(&order))
    {
        ask_store(from, member.store_cut_ ? state::store_failed{read->request_}
                                          : store_.answer(*read));
    }
    else if (auto const* commit = std::get_if<state::commit_rows>(&order))
    {
        ask_store(from, member.store_cut_
                            ? state::store_failed{commit->request_}
                            : store_.answer(*commit));
    }
    else if (auto const* link = std::get_if<attach_target>(&order))
    {
        attach(from, *link);
    }
    else if (auto const* detached = std::get_if<detach_target>(&order))
    {
        member.links_.erase(detached->target_);
    }
    else if (auto const* batch = std::get_if<send_target>(&order))
    {
        auto const sent_over = member.links_.find(batch->target_);
        if (sent_over != member.links_.end())
        {
            send(hop_micros,
                 {{},
                  0,
                  [this, from, over = sent_over->second, batch = *batch]
                  {
                      take_batch(from, over, batch);
                  }});
        }
    }
}

void node_fixture::pass(std::string const& from, send_peer const& order)
{
    std::string const to = order.host_.str();
    peer_way&         over = ways_[{from, to}];
    if (over.cut_)
    {
        return;
    }
    if (over.drops_ && over.drops_(order.message_))
    {
        ++over.dropped_;
        return;
    }
    send_event(to, hop_micros + over.delay_micros_,
               peer_received{.host_ = host_id(from),
                             .incarnation_ =
                                 nodes_.at(from).settings_.state_.incarnation_,
                             .message_ = order.message_});
}

void node_fixture::ask_store(std::string const& from, state::event const& reply)
{
    if (auto const* rows = std::get_if<state::rows_read>(&reply))
    {
        send_event(from, store_micros, *rows);
    }
    else if (auto const* ended = std::get_if<state::commit_ended>(&reply))
    {
        send_event(from, store_micros, *ended);
    }
    else if (auto const* failed = std::get_if<state::store_failed>(&reply))
    {
        send_event(from, store_micros, *failed);
    }
}

// 4. Targets

void node_fixture::attach(std::string const& from, attach_target const& order)
{
    nodes_.at(from).links_[order.target_] = order.attachment_;
    send(hop_micros, {{},
                      0,
                      [this, from, order]
                      {
                          take_attach(from, order);
                      }});
}

void node_fixture::take_attach(std::string const&   from,
                               attach_target const& order)
{
    target_fake& target = targets_.at(order.target_.str());
    if (target.silent_)
    {
        return;
    }
    if (order.epoch_ < target.epoch_)
    {
        send_event(from, hop_micros,
                   target_reported{.target_ = order.target_,
                                   .attachment_ = order.attachment_,
                                   .incarnation_ = target.incarnation_,
                                   .epoch_ = target.epoch_,
                                   .fenced_ = true});
        return;
    }
    target.epoch_ = order.epoch_;
    target.owner_ = host_id(from);
    target.attachment_ = order.attachment_;
    std::vector<decide::event> listed;
    for (auto const& [task, running] : target.running_)
    {
        decide::start_task const& start = running.start_;
        listed.emplace_back(decide::task_recovered{
            *start.spec_, task, start.target_, start.reservation_});
        listed.emplace_back(decide::task_started{task, start.target_});
    }
    for (auto const& [task, ended] : target.ended_)
    {
        for (decide::start_task const& start : target.started_)
        {
            if (start.task_ == task)
            {
                listed.emplace_back(decide::task_recovered{
                    *start.spec_, task, start.target_, start.reservation_});
            }
        }
        listed.emplace_back(ended);
    }
    report(target, listed, true);
}

void node_fixture::take_batch(std::string const& from, std::uint64_t attachment,
                              send_target const& batch)
{
    target_fake& target = targets_.at(batch.target_.str());
    if (target.silent_ || target.owner_ != host_id(from) ||
        target.attachment_ != attachment)
    {
        return; // the link was replaced, its reader is gone
    }
    bool const has_starts = std::any_of(
        batch.orders_.begin(), batch.orders_.end(),
        [](decide::command const& order)
        {
            return std::holds_alternative<decide::start_task>(order);
        });
    if (has_starts && std::exchange(target.breaks_on_start_, false))
    {
        target.owner_ = host_id();
        send_event(from, hop_micros,
                   target_disconnected{batch.target_, attachment});
        return;
    }
    target.lease_end_ = instant(batch.echo_micros_ - target.clock_offset_)
                            .after(batch.lease_micros_);
    std::vector<decide::event> told;
    for (decide::command const& order : batch.orders_)
    {
        if (auto const* begun = std::get_if<decide::start_task>(&order))
        {
            take_start(target, *begun, told);
        }
        else if (auto const* stop = std::get_if<decide::stop_task>(&order))
        {
            take_stop(target, *stop, told);
        }
    }
    for (task_key const& task : batch.acknowledged_ends_)
    {
        target.ended_.erase(task);
    }
    report(target, told, false);
}

void node_fixture::take_start(target_fake&                target,
                              decide::start_task const&   order,
                              std::vector<decide::event>& told)
{
    if (target.running_.contains(order.task_) ||
        target.ended_.contains(order.task_))
    {
        return;
    }
    for (auto const& [name, each] : targets_)
    {
        for (auto const& [task, running] : each.running_)
        {
            overlaps_ += task.job_ == order.task_.job_ &&
                                 task.index_ == order.task_.index_
                             ? 1
                             : 0;
        }
    }
    target.started_.push_back(order);
    target.running_.emplace(
        order.task_,
        target_fake::running_task{order, now_.after(target.run_micros_)});
    told.emplace_back(decide::task_started{order.task_, order.target_});
}

void node_fixture::take_stop(target_fake&                target,
                             decide::stop_task const&    order,
                             std::vector<decide::event>& told)
{
    if (target.running_.erase(order.task_) > 0)
    {
        decide::task_ended const ended{.task_ = order.task_,
                                       .target_ = order.target_,
                                       .outcome_ = outcome::canceled,
                                       .reason_ = "stopped"};
        target.ended_.emplace(order.task_, ended);
        told.emplace_back(ended);
    }
}

void node_fixture::end_tasks(std::string const& /*name*/, target_fake& target)
{
    bool const                 lapsed = target.lease_end_ <= now_;
    std::vector<decide::event> told;
    for (auto row = target.running_.begin(); row != target.running_.end();)
    {
        auto const& [task, running] = *row;
        if (running.end_ > now_ && !lapsed)
        {
            ++row;
            continue;
        }
        bool const               done = running.end_ <= now_;
        decide::task_ended const ended{
            .task_ = task,
            .target_ = running.start_.target_,
            .outcome_ = done ? outcome::succeeded : outcome::failed,
            .body_ = std::make_shared<std::string const>(
                "answer " + task.job_.job_.str() + " from " +
                running.start_.target_.str()),
            .reason_ = done ? "" : "the lease has expired"};
        target.ended_.emplace(task, ended);
        told.emplace_back(ended);
        row = target.running_.erase(row);
    }
    if (!told.empty())
    {
        report(target, told, false);
    }
}

void node_fixture::report(target_fake&               target,
                          std::vector<decide::event> events, bool snapshot)
{
    if (target.silent_ || target.owner_.empty())
    {
        return;
    }
    send_event(
        target.owner_.str(), hop_micros,
        target_reported{.target_ = target.listed_.target_,
                        .attachment_ = target.attachment_,
                        .incarnation_ = target.incarnation_,
                        .clock_micros_ = now_.micros() + target.clock_offset_,
                        .epoch_ = target.epoch_,
                        .snapshot_ = snapshot,
                        .events_ = std::move(events)});
}

// 5. Calls and queries

std::uint64_t node_fixture::submit(std::string const& node,
                                   job_spec const& spec, std::string const& key)
{
    post(node, submit_opened{++next_call_, spec, key, now_.after(minute / 2)});
    return next_call_;
}

std::uint64_t node_fixture::look_up(std::string const& node,
                                    std::string const& id)
{
    post(node, lookup_opened{++next_call_, make_request(id).key_, "k1",
                             now_.after(5 * micros_per_second)});
    return next_call_;
}

std::uint64_t node_fixture::file(std::string const& node,
                                 std::string const& text)
{
    post(node, ticket_opened{++next_call_, text, now_.after(minute / 2)});
    return next_call_;
}

std::optional<job_result> node_fixture::wait(std::string const& node,
                                             std::uint64_t      call)
{
    run_until(
        [&]
        {
            return !list_answers(node, call).empty() ||
                   find_rejection(node, call);
        },
        minute);
    auto const answers = list_answers(node, call);
    return answers.empty() ? std::nullopt : std::optional(answers.front());
}

job_result node_fixture::submit_and_wait(std::string const& node,
                                         job_spec const&    spec)
{
    auto const answer = wait(node, submit(node, spec));
    REQUIRE(answer);
    return *answer;
}

bool node_fixture::accept_ticket(std::string const& node,
                                 std::string const& text)
{
    std::uint64_t const call = file(node, text);
    return run_until(
        [&]
        {
            auto const told = nodes_.at(node).list<ticket_told>();
            return std::any_of(told.begin(), told.end(),
                               [call](ticket_told const& each)
                               {
                                   return each.progress_.call_ == call &&
                                          each.progress_.stage_ ==
                                              state::ticket_stage::accepted;
                               });
        },
        minute);
}

std::vector<job_result> node_fixture::list_answers(std::string const& node,
                                                   std::uint64_t call) const
{
    std::vector<job_result> found;
    for (job_told const& each : nodes_.at(node).list<job_told>())
    {
        if (each.call_ == call)
        {
            found.push_back(each.result_);
        }
    }
    return found;
}

std::optional<call_error> node_fixture::find_rejection(std::string const& node,
                                                       std::uint64_t call) const
{
    for (call_rejected const& each : nodes_.at(node).list<call_rejected>())
    {
        if (each.call_ == call)
        {
            return each.error_;
        }
    }
    return std::nullopt;
}

// By the highest epoch that a live node reports.
std::string node_fixture::find_owner(std::string const& domain) const
{
    std::string found;
    epoch       highest = 0;
    for (auto const& [name, member] : nodes_)
    {
        for (shard_status const& each : list_shards(*member.node_))
        {
            if (each.owner_.shard_.domain_ == domain_id(domain) &&
                each.ready_ && each.owner_.epoch_ > highest)
            {
                highest = each.owner_.epoch_;
                found = each.owner_.host_.str();
            }
        }
    }
    return found;
}

std::string node_fixture::find_other(std::string const& domain) const
{
    return find_owner(domain) == domain + "1" ? domain + "2" : domain + "1";
}

std::size_t node_fixture::count_starts(std::string const& id) const
{
    std::size_t found = 0;
    for (auto const& [name, target] : targets_)
    {
        for (decide::start_task const& each : target.started_)
        {
            found += each.task_.job_.job_ == job_id(id) ? 1 : 0;
        }
    }
    return found;
}

std::size_t node_fixture::count_running(std::string const& id) const
{
    std::size_t found = 0;
    for (auto const& [name, target] : targets_)
    {
        for (auto const& [task, running] : target.running_)
        {
            found += task.job_.job_ == job_id(id) ? 1 : 0;
        }
    }
    return found;
}

std::size_t node_fixture::count_journal_rows(std::string const& id) const
{
    std::size_t found = 0;
    for (auto const& [key, cell] : store_.cells_)
    {
        found +=
            key.starts_with("job/") && key.ends_with("/" + id) && !cell.deleted_
                ? 1
                : 0;
    }
    return found;
}

std::string node_fixture::find_target_of(std::string const& id) const
{
    for (auto const& [name, target] : targets_)
    {
        for (decide::start_task const& each : target.started_)
        {
            if (each.task_.job_.job_ == job_id(id))
            {
                return name;
            }
        }
    }
    return {};
}

std::uint64_t node_fixture::read_counter(std::string const& node,
                                         counter            which) const
{
    return read_counters(*nodes_.at(node).node_)
        .at(static_cast<std::size_t>(which));
}

bool node_fixture::is_settled() const
{
    return std::all_of(nodes_.begin(), nodes_.end(),
                       [](auto const& entry)
                       {
                           auto const shards = list_shards(*entry.second.node_);
                           return std::all_of(shards.begin(), shards.end(),
                                              [](shard_status const& each)
                                              {
                                                  return each.ready_;
                                              });
                       });
}

job_spec node_fixture::make_request(std::string const& id, bool idempotent)
{
    return {.key_ = {team_id("cafes"), job_id(id)},
            .service_ = service_id("refills"),
            .demand_ = {1000, 512, 0},
            .idempotent_ = idempotent};
}

job_spec node_fixture::make_batch(std::string const& id, std::uint32_t tasks)
{
    return {.key_ = {team_id("cafes"), job_id(id)},
            .service_ = service_id("refills"),
            .kind_ = work_kind::batch,
            .task_count_ = tasks,
            .demand_ = {1000, 512, 0}};
}

std::string node_fixture::write_domain_ticket(int number, std::string const& id,
                                              bool in_service)
{
    return R"({"number":)" + std::to_string(number) +
           R"(,"failure_domains":[{"id":")" + id + R"(","in_service":)" +
           (in_service ? "true" : "false") + "}]}";
}

// 6. Tests

// Guards against a fixture, or a cell, that does not even work without faults:
// its other tests would pass because nothing happens.
TEST_CASE_FIXTURE(node_fixture, "cell, no faults, answers work of each kind")
{
    start_cell();
    for (std::string const id : {"east.0~a", "west.0~b", "plain"})
    {
        job_result const result = submit_and_wait("east1", make_request(id));
        CHECK(result.state_ == job_state::answered);
        CHECK(*result.body_ == "answer " + id + " from " + find_target_of(id));
        CHECK(count_starts(id) == 1);
    }
    CHECK(submit_and_wait("west1", make_request("once", false)).state_ ==
          job_state::answered);
    CHECK(submit_and_wait("west2", make_batch("batch", 3)).state_ ==
          job_state::answered);
    CHECK(count_starts("batch") == 3);
    CHECK(overlaps_ == 0);
}

} // namespace fescuevane::entry
