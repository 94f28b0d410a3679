// Purpose: links to the targets of owned shards: attaching, leases, orders and
// reports.
//
// Index of sections
//   1. Opening and closing
//   2. Reports
//   3. Orders
//   4. Leases and links
#include "core/core.hpp"
#include "entry/node_tables.hpp"

#include <algorithm>
#include <utility>

namespace fescuevane::entry
{
namespace
{

constexpr std::int64_t reconnect_micros = 500 * micros_per_milli;

// A target answers each lease batch at once, so more than two intervals of
// silence mean that it, or the way to it, has stopped.
std::int64_t silence_micros(settings const& values)
{
    return values.lease_renew_micros_ * 9 / 4;
}

// When to judge a target by a deadline that passed without word from it: what
// it sent while this process ran late is read, and a broken link opened again,
// before.
instant put_off(node const& context, instant deadline)
{
    return context.on_time_.put_off(deadline, silence_micros(context.settings_),
                                    context.settings_.late_bound_micros_);
}

instant find_silence_deadline(node const& context, std::size_t row)
{
    return put_off(context, context.sessions_.heard_[row].after(
                                silence_micros(context.settings_)));
}

// Work of a target without a link starts elsewhere from then on.
instant find_lapse(node const& context, std::size_t row)
{
    return put_off(context, context.sessions_.lapse_deadline_[row]);
}

// Leases granted on the latest clock of the target have ended already, so that
// it would turn down all starts.
bool has_old_clock(node const& context, std::size_t row)
{
    return context.sessions_.heard_[row].after(
               context.settings_.lease_micros_) <= context.now_;
}

void post_to_owner(node& context, std::size_t session, decide::event input)
{
    auto const driver =
        context.drivers_.index_.find(context.sessions_.shard_[session]);
    if (driver)
    {
        post_to_shard(context, *driver, std::move(input));
    }
}

// The lapse is judged here, since the shard can't tell whether this process ran
// on time.
void post_unreached(node& context, std::size_t row)
{
    listed_host const& host = context.sessions_.host_[row];
    post_to_owner(context, row,
                  decide::target_unreached{
                      .target_ = host.target_,
                      .capacity_ = host.capacity_,
                      .lapse_deadline_ = instant::never(),
                      .idle_ = context.sessions_.may_run_[row] == 0});
}

// The row of leases has to name other targets.
void note_grants(node& context, std::size_t row)
{
    auto const driver =
        context.drivers_.index_.find(context.sessions_.shard_[row]);
    if (driver)
    {
        context.drivers_.regrant_[*driver] = 1;
    }
}

bool may_hold_leases(node const& context, shard_id const& shard,
                     target_id const& target)
{
    auto const driver = context.drivers_.index_.find(shard);
    if (!driver)
    {
        return true;
    }
    auto const& former = context.drivers_.former_[*driver];
    return !former || former->contains(target);
}

bool is_recorded(node const& context, std::size_t row)
{
    auto const driver =
        context.drivers_.index_.find(context.sessions_.shard_[row]);
    return driver && context.drivers_.recorded_[*driver].contains(
                         context.sessions_.index_.key(row));
}

// 1. Opening and closing

void open_session(node& context, std::size_t host)
{
    host_table const&  hosts = context.hosts_;
    listed_host const& listed = hosts.host_[host];
    shard_id const     shard = find_shard_of(context, listed);
    std::size_t const  row = append_session(context.sessions_, listed, shard);
    // An earlier owner may have renewed its leases until it left the list.
    context.sessions_.lapse_deadline_[row] = hosts.gone_deadline_[host];
    context.sessions_.may_run_[row] =
        may_hold_leases(context, shard, listed.target_) ? 1 : 0;
    note_grants(context, row);
    post_unreached(context, row);
    context.session_deadline_ = context.now_;
}

} // namespace

// A target that the stored row of leases doesn't name yet gets no work: it
// counts as unreached.
void post_joined(node& context, std::size_t row)
{
    if (!is_recorded(context, row))
    {
        post_unreached(context, row);
        return;
    }
    context.sessions_.may_run_[row] = 1;
    listed_host const& host = context.sessions_.host_[row];
    post_to_owner(context, row,
                  decide::target_joined{host.target_, host.rack_,
                                        host.capacity_, host.slots_});
    if (host.leaving_)
    {
        post_to_owner(context, row, decide::target_leaving{host.target_});
    }
}

namespace
{

void finish_task_span(node& context, task_key const& task)
{
    auto const span = context.task_spans_.find(task);
    if (span != context.task_spans_.end())
    {
        finish_span(context, "target", span->second, format_key(task));
        context.task_spans_.erase(span);
    }
}

// Spans of tasks whose ends this process will not learn.
void finish_task_spans(node& context, std::size_t row)
{
    for (task_key const& task : context.sessions_.tasks_[row])
    {
        finish_task_span(context, task);
    }
}

// Nothing runs there any more, by a new incarnation or by lapsed leases.
void lose_tasks(node& context, std::size_t row)
{
    finish_task_spans(context, row);
    context.sessions_.tasks_[row].clear();
    context.sessions_.orders_[row].clear();
    context.sessions_.acknowledged_[row].clear();
    context.sessions_.may_run_[row] = 0;
    note_grants(context, row);
    post_to_owner(context, row,
                  decide::target_lost{context.sessions_.index_.key(row)});
}

} // namespace

void open_sessions(node& context, shard_id const& shard)
{
    for (std::size_t row = 0; row < context.hosts_.index_.size(); ++row)
    {
        if (find_shard_of(context, context.hosts_.host_[row]) == shard &&
            !context.sessions_.index_.contains(context.hosts_.index_.key(row)))
        {
            open_session(context, row);
        }
    }
    context.session_deadline_ = context.now_;
}

void close_sessions(node& context, shard_id const& shard)
{
    session_table& sessions = context.sessions_;
    for (std::size_t row = sessions.index_.size(); row-- > 0;)
    {
        if (sessions.shard_[row] == shard)
        {
            finish_task_spans(context, row);
            context.outbox_.push_back(detach_target{sessions.index_.key(row)});
            remove_session(sessions, row);
        }
    }
}

// 2. Reports

namespace
{

void keep_end(node& context, std::size_t row, task_key const& task)
{
    target_id const& target = context.sessions_.index_.key(row);
    auto const       record = context.records_.index_.find(task.job_);
    bool const       needed =
        record &&
        context.records_.spec_[*record]->kind_ != work_kind::service &&
        (context.records_.phase_[*record] == record_phase::recorded ||
         context.records_.phase_[*record] == record_phase::closing);
    if (needed)
    {
        context.records_.ends_[*record].emplace_back(target, task);
    }
    else
    {
        acknowledge_end(context, target, task);
    }
}

void note(node& context, std::size_t row, decide::task_started const& input)
{
    context.sessions_.tasks_[row].insert(input.task_);
}

void note(node& context, std::size_t row, decide::task_recovered const& input)
{
    context.sessions_.tasks_[row].insert(input.task_);
}

void note(node& context, std::size_t row, decide::task_ended const& input)
{
    count(context, counter::tasks_ended);
    context.sessions_.tasks_[row].erase(input.task_);
    finish_task_span(context, input.task_);
    keep_end(context, row, input.task_);
}

void note(node& context, std::size_t row, decide::task_rejected const& input)
{
    count(context, counter::tasks_rejected);
    context.sessions_.tasks_[row].erase(input.task_);
    finish_task_span(context, input.task_);
    keep_end(context, row, input.task_);
}

// Other events need no step of the session.
template <typename Event>
void note(node& /*context*/, std::size_t /*row*/, Event const& /*input*/)
{
}

void take_event(node& context, std::size_t row, decide::event const& input)
{
    post_to_owner(context, row, input);
    std::visit(
        [&context, row](auto const& value)
        {
            note(context, row, value);
        },
        input);
}

// Keys of the tasks that a snapshot lists.
std::set<task_key> list_tasks(std::vector<decide::event> const& events)
{
    std::set<task_key> found;
    for (decide::event const& each : events)
    {
        std::visit(
            [&found](auto const& value)
            {
                if constexpr (requires { value.task_; })
                {
                    found.insert(value.task_);
                }
            },
            each);
    }
    return found;
}

// A start that the snapshot does not list was lost on the way. The target no
// longer takes batches of the earlier link, so it can't arrive any more.
void reject_missing(node& context, std::size_t row,
                    target_reported const& input)
{
    std::set<task_key> const listed = list_tasks(input.events_);
    std::set<task_key> const sent = context.sessions_.tasks_[row];
    for (task_key const& task : sent)
    {
        if (listed.contains(task))
        {
            continue;
        }
        context.sessions_.tasks_[row].erase(task);
        finish_task_span(context, task);
        post_to_owner(
            context, row,
            decide::task_rejected{task, input.target_, "the start was lost"});
    }
}

void take_snapshot(node& context, std::size_t row, target_reported const& input)
{
    session_table& sessions = context.sessions_;
    bool const     restarted = sessions.incarnation_[row] != 0 &&
                           sessions.incarnation_[row] != input.incarnation_;
    if (restarted)
    {
        lose_tasks(context, row);
    }
    sessions.incarnation_[row] = input.incarnation_;
    sessions.phase_[row] = session_phase::attached;
    sessions.renew_deadline_[row] = context.now_;
    post_joined(context, row);
    note_grants(context, row);
    reject_missing(context, row, input);
    context.session_deadline_ = context.now_;
}

} // namespace

void take_report(node& context, target_reported const& input)
{
    auto const row = context.sessions_.index_.find(input.target_);
    if (!row || context.sessions_.attachment_[*row] != input.attachment_)
    {
        return; // from a link that was replaced
    }
    session_table& sessions = context.sessions_;
    if (input.fenced_)
    {
        count(context, counter::batches_fenced);
        state::post_event(
            *context.control_,
            state::shard_fenced{sessions.shard_[*row], input.epoch_});
        context.control_dirty_ = true;
        return;
    }
    if (has_old_clock(context, *row))
    {
        sessions.renew_deadline_[*row] = context.now_; // with what waits
        context.session_deadline_ = context.now_;
    }
    sessions.clock_micros_[*row] = input.clock_micros_;
    sessions.heard_[*row] = context.now_;
    if (input.snapshot_)
    {
        take_snapshot(context, *row, input);
    }
    if (input.leaving_ && !sessions.host_[*row].leaving_)
    {
        post_to_owner(context, *row, decide::target_leaving{input.target_});
    }
    for (decide::event const& each : input.events_)
    {
        take_event(context, *row, each);
    }
}

void take_disconnect(node& context, target_disconnected const& input)
{
    auto const row = context.sessions_.index_.find(input.target_);
    if (!row || context.sessions_.attachment_[*row] != input.attachment_ ||
        context.sessions_.phase_[*row] == session_phase::unreached)
    {
        return;
    }
    session_table& sessions = context.sessions_;
    sessions.phase_[*row] = session_phase::unreached;
    sessions.connect_deadline_[*row] = context.now_.after(reconnect_micros);
    context.session_deadline_ =
        std::min(context.session_deadline_, sessions.connect_deadline_[*row]);
    post_unreached(context, *row);
    note_grants(context, *row);
}

// 3. Orders

namespace
{

void request_batch(node& context, std::size_t row)
{
    session_table const& sessions = context.sessions_;
    if (sessions.phase_[row] == session_phase::attached &&
        sessions.orders_[row].empty() && sessions.acknowledged_[row].empty())
    {
        context.to_send_.push_back(sessions.index_.key(row));
    }
}

// The target's leases end `lease_micros` after the clock that is echoed, by its
// own clock, which it read before this process heard it. Orders wait while that
// clock is too old, until the answer to the batch shows a new one.
void send_batch(node& context, std::size_t row)
{
    session_table&     sessions = context.sessions_;
    std::int64_t const lease = context.settings_.lease_micros_;
    context.outbox_.push_back(send_target{
        .target_ = sessions.index_.key(row),
        .echo_micros_ = sessions.clock_micros_[row],
        .lease_micros_ = lease,
        .orders_ = has_old_clock(context, row)
                       ? std::vector<decide::command>()
                       : std::exchange(sessions.orders_[row], {}),
        .acknowledged_ends_ = std::exchange(sessions.acknowledged_[row], {})});
    sessions.lapse_deadline_[row] = sessions.heard_[row].after(lease);
    sessions.renew_deadline_[row] =
        context.now_.after(context.settings_.lease_renew_micros_);
}

} // namespace

void send_order(node& context, target_id const& target, decide::command order)
{
    auto const row = context.sessions_.index_.find(target);
    if (!row)
    {
        return;
    }
    if (auto const* start = std::get_if<decide::start_task>(&order))
    {
        context.sessions_.tasks_[*row].insert(start->task_);
    }
    request_batch(context, *row);
    context.sessions_.orders_[*row].push_back(std::move(order));
}

void acknowledge_end(node& context, target_id const& target,
                     task_key const& task)
{
    if (auto const row = context.sessions_.index_.find(target))
    {
        request_batch(context, *row);
        context.sessions_.acknowledged_[*row].push_back(task);
    }
}

// 4. Leases and links

namespace
{

void connect_session(node& context, std::size_t row)
{
    session_table& sessions = context.sessions_;
    auto const     driver = context.drivers_.index_.find(sessions.shard_[row]);
    sessions.phase_[row] = session_phase::connecting;
    sessions.attachment_[row] = ++context.next_attachment_;
    sessions.connect_deadline_[row] = context.now_.after(4 * reconnect_micros);
    context.outbox_.push_back(
        attach_target{.target_ = sessions.index_.key(row),
                      .address_ = sessions.host_[row].address_,
                      .shard_ = sessions.shard_[row],
                      .epoch_ = context.drivers_.epoch_[*driver],
                      .attachment_ = sessions.attachment_[row],
                      .lease_micros_ = context.settings_.lease_micros_});
}

void check_attached(node& context, std::size_t row)
{
    session_table& sessions = context.sessions_;
    if (find_silence_deadline(context, row) <= context.now_)
    {
        context.outbox_.push_back(detach_target{sessions.index_.key(row)});
        take_disconnect(context,
                        {sessions.index_.key(row), sessions.attachment_[row]});
        return;
    }
    if (sessions.renew_deadline_[row] <= context.now_)
    {
        send_batch(context, row);
    }
}

void check_connecting(node& context, std::size_t row)
{
    if (context.sessions_.connect_deadline_[row] <= context.now_)
    {
        connect_session(context, row); // the attempt got no snapshot
    }
}

void check_unreached(node& context, std::size_t row)
{
    if (context.sessions_.connect_deadline_[row] <= context.now_)
    {
        connect_session(context, row);
    }
}

void check_session(node& context, std::size_t row)
{
    using checker = void (*)(node&, std::size_t);
    constexpr checker checkers[] = {&check_connecting, &check_attached,
                                    &check_unreached};
    session_table&    sessions = context.sessions_;
    checkers[static_cast<std::size_t>(sessions.phase_[row])](context, row);
    if (sessions.phase_[row] != session_phase::attached &&
        find_lapse(context, row) <= context.now_)
    {
        sessions.lapse_deadline_[row] = instant::never();
        lose_tasks(context, row);
    }
}

instant find_session_deadline(node const& context, std::size_t row)
{
    session_table const& sessions = context.sessions_;
    if (sessions.phase_[row] == session_phase::attached)
    {
        return std::min(sessions.renew_deadline_[row],
                        find_silence_deadline(context, row));
    }
    return std::min(sessions.connect_deadline_[row], find_lapse(context, row));
}

// A shard is complete when each target was attached under its epoch, or is
// known to run nothing. Only then is a restriction in force on all of it.
bool is_complete(node const& context, shard_id const& shard)
{
    session_table const& sessions = context.sessions_;
    for (std::size_t row = 0; row < sessions.index_.size(); ++row)
    {
        if (sessions.shard_[row] == shard && sessions.incarnation_[row] == 0 &&
            sessions.may_run_[row] != 0)
        {
            return false;
        }
    }
    return context.hosts_read_ != instant();
}

void note_complete_shards(node& context)
{
    driver_table& drivers = context.drivers_;
    for (std::size_t row = 0; row < drivers.index_.size(); ++row)
    {
        if (drivers.complete_[row] == 0 &&
            is_complete(context, drivers.index_.key(row)))
        {
            drivers.complete_[row] = 1;
            drivers.ready_deadline_[row] = context.now_;
            state::post_event(*context.control_,
                              state::shard_ready{drivers.index_.key(row),
                                                 drivers.epoch_[row]});
            context.control_dirty_ = true;
        }
    }
}

} // namespace

void follow_hosts(node& context)
{
    if (context.now_ < context.session_deadline_)
    {
        return;
    }
    host_table& hosts = context.hosts_;
    for (std::size_t row = hosts.index_.size(); row-- > 0;)
    {
        listed_host const listed = hosts.host_[row];
        auto const session = context.sessions_.index_.find(listed.target_);
        bool const owned =
            context.drivers_.index_.contains(find_shard_of(context, listed));
        if (!session && owned)
        {
            open_session(context, row);
        }
        else if (session && context.sessions_.host_[*session] != listed)
        {
            context.sessions_.host_.replace(*session, listed);
            note_grants(context, *session);
            if (context.sessions_.phase_[*session] == session_phase::attached)
            {
                post_joined(context, *session);
            }
        }
        if (session && hosts.gone_deadline_[row] == instant::never() &&
            context.sessions_.incarnation_[*session] == 0)
        {
            // Opened before the list was read. A former owner may still renew
            // the leases of a listed target.
            context.sessions_.lapse_deadline_[*session] = instant::never();
        }
        if (put_off(context, hosts.gone_deadline_[row]) > context.now_)
        {
            continue;
        }
        // Off the list and all leases lapsed, unless the link still stands.
        if (session &&
            context.sessions_.phase_[*session] == session_phase::attached)
        {
            continue;
        }
        if (session)
        {
            lose_tasks(context, *session);
            context.outbox_.push_back(detach_target{listed.target_});
            remove_session(context.sessions_, *session);
        }
        hosts.index_.remove_by_moving_last(row);
        hosts.host_.remove_by_moving_last(row);
        hosts.gone_deadline_.remove_by_moving_last(row);
    }
}

void keep_sessions(node& context)
{
    if (context.session_deadline_ <= context.now_)
    {
        context.session_deadline_ = instant::never();
        for (std::size_t row = 0; row < context.sessions_.index_.size(); ++row)
        {
            check_session(context, row);
            context.session_deadline_ = std::min(
                context.session_deadline_, find_session_deadline(context, row));
        }
        note_complete_shards(context);
    }
    for (target_id const& target : std::exchange(context.to_send_, {}))
    {
        auto const row = context.sessions_.index_.find(target);
        if (row && context.sessions_.phase_[*row] == session_phase::attached)
        {
            send_batch(context, *row);
        }
    }
}

} // namespace fescuevane::entry
