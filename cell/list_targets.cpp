// Purpose: events: the list of targets, and the sessions with them.
#include "cell/sessions.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace fescuevane::cell
{

namespace
{

owned_row* find_owner(node& context, session_row const& session)
{
    owned_row* const own = context.owned_.find(session.shard_);
    return own != nullptr && own->planner_ ? own : nullptr;
}

} // namespace

void tell(node& context, session_row const& session, plan::event input)
{
    if (owned_row* const own = find_owner(context, session))
    {
        plan::post_event(*own->planner_, std::move(input));
        own->plan_needed_ = true;
    }
}

namespace
{

// False while the listed entry is one of another incarnation than the one that
// was reached: its labels, service and capacity may be those of another kind of
// target. Targets that don't report their start are taken by their entry.
bool describes_incarnation(session_row const& session)
{
    std::int64_t const listed = session.info_->born_unix_ms_;
    return listed == 0 || session.born_unix_ms_ == 0 ||
           listed == session.born_unix_ms_;
}

constexpr std::array<plan::target_phase, 3> planner_phases = {
    plan::target_phase::attaching, plan::target_phase::usable,
    plan::target_phase::silent};

} // namespace

void update_planner_target(node& context, target_id const& id)
{
    session_row const& session = *context.sessions_.find(id);
    plan::target_phase phase =
        planner_phases.at(static_cast<std::size_t>(session.phase_));
    if (phase == plan::target_phase::attaching && session.lapsed_)
    {
        phase = plan::target_phase::lapsed;
    }
    if (phase == plan::target_phase::usable &&
        (!session.listed_ || session.info_->leaving_ ||
         !is_granted(context, id)))
    {
        phase = plan::target_phase::draining;
    }
    if (phase == plan::target_phase::usable && !describes_incarnation(session))
    {
        phase = plan::target_phase::silent;
    }
    tell(context, session,
         plan::target_set{.id_ = id,
                          .service_ = session.info_->service_,
                          .rack_ = session.info_->rack_,
                          .labels_ = session.info_->labels_,
                          .capacity_ = session.info_->capacity_,
                          .phase_ = phase,
                          .stops_until_ =
                              session.phase_ == session_phase::attached
                                  ? session.stops_until_
                                  : instant()});
}

// A reply to an order identifies only its request, so replies from earlier
// sessions would be attributed to the present one.
void discard_orders(node& context, target_id const& id)
{
    // Backwards, since removing a row moves the last row into its place.
    for (std::size_t row = context.orders_.size(); row-- > 0;)
    {
        if (context.orders_[row].target_ == id)
        {
            std::uint64_t const request = context.orders_.key(row);
            context.orders_.remove(request);
        }
    }
}

namespace
{

// A missing row means that no owner has started anything, or that an owner of
// an earlier version did without writing the row.
bool may_be_granted(owned_row const& own, target_id const& id)
{
    grant_ledger const& ledger = own.grants_;
    return ledger.found_ ? ledger.stored_.contains(id) : own.epoch_ > 1;
}

} // namespace

namespace
{

void open_session(node& context, target_id const& id)
{
    discard_orders(context, id);
    session_row& session = *context.sessions_.find(id);
    owned_row&   own = *context.owned_.find(session.shard_);
    if (own.predecessor_stopped_)
    {
        note_predecessor_stopped(context, own);
    }
    session_row fresh;
    fresh.info_ = session.info_;
    fresh.listed_ = session.listed_;
    fresh.unlisted_at_ = session.unlisted_at_;
    fresh.shard_ = session.shard_;
    fresh.open_ = true;
    fresh.granted_before_ = may_be_granted(own, id);
    fresh.former_leases_ = fresh.granted_before_;
    if (own.predecessor_stops_over_ || !fresh.granted_before_)
    {
        fresh.stops_until_ = instant();
    }
    fresh.hold_at_ = context.now_;
    fresh.contact_at_ = context.now_;
    session = std::move(fresh);
    update_planner_target(context, id);
}

} // namespace

void mark_unresponsive(node& context, target_id const& id,
                       std::string const& why)
{
    context.sessions_.find(id)->phase_ = session_phase::silent;
    log_event(context, "target_silent", {{"target", id.str()}, {"error", why}});
    update_planner_target(context, id);
}

void reset_incarnation(session_row& session)
{
    session.runs_.clear();
    session.orders_.clear();
    session.repeats_.clear();
    session.unstored_.clear();
    session.forgotten_ = 0;
    session.processed_ = 0;
    session.granted_ms_ = 0;
    session.clock_ms_ = 0;
    session.born_unix_ms_ = 0;
    session.granted_before_ = false;
    session.stops_until_ = instant();
    session.phase_ = session_phase::silent;
}

// Handles the end of a target's incarnation: all its runs have ended with it.
void end_incarnation(node& context, target_id const& id, std::string const& why)
{
    session_row& session = *context.sessions_.find(id);
    if (session.born_unix_ms_ != 0 || !session.runs_.empty())
    {
        log_event(context, "target_life_ended",
                  {{"target", id.str()},
                   {"runs", std::to_string(session.runs_.size())},
                   {"reason", why}});
    }
    for (auto const& [key, run] : session.runs_)
    {
        log_run_judged(context, id, key, why);
    }
    tell(context, session, plan::target_removed{id});
    session.unread_ = false; // the planner settles these ends with the target
    reset_incarnation(session);
}

void open_sessions(node& context, shard_id const& shard)
{
    for (std::size_t row = 0; row < context.sessions_.size(); ++row)
    {
        if (context.sessions_[row].shard_ == shard)
        {
            open_session(context, context.sessions_.key(row));
        }
    }
}

void close_sessions(node& context, shard_id const& shard)
{
    for (std::size_t row = 0; row < context.sessions_.size(); ++row)
    {
        session_row& session = context.sessions_[row];
        if (session.shard_ != shard || !session.open_)
        {
            continue;
        }
        session.open_ = false;
        session.runs_.clear();
        session.orders_.clear();
        session.repeats_.clear();
        session.unstored_.clear();
        session.hold_ = 0;
    }
}

namespace
{

// Rows of targets may come from any writer, so the log lines they cause are
// limited.
constexpr std::size_t max_unknown_domains = 20;

// The settings name all failure domains; rows can't add any.
bool is_of_known_domain(node& context, listed_target const& target)
{
    if (context.layouts_.contains(target.domain_))
    {
        return true;
    }
    if (context.unknown_domains_.size() < max_unknown_domains &&
        context.unknown_domains_.insert(target.domain_).second)
    {
        log_event(
            context, "domain_unknown",
            {{"domain", target.domain_.str()}, {"target", target.id_.str()}});
    }
    return false;
}

// Rack and failure domain of a target never change, so a row that changes them
// comes from another writer. While the session is open the target stays in its
// shard, so that the ends of its runs reach their owner.
bool stays_in_shard(node& context, session_row const& session,
                    listed_target const& target)
{
    if (!session.open_ || shard_of(context, target) == session.shard_)
    {
        return true;
    }
    if (session.listed_)
    {
        log_event(context, "target_moved",
                  {{"target", target.id_.str()},
                   {"domain", target.domain_.str()},
                   {"rack", target.rack_.str()}});
    }
    return false;
}

} // namespace

void apply(node& context, target_listed const& input)
{
    target_id const&   id = input.target_.id_;
    session_row* const known = context.sessions_.find(id);
    if (known != nullptr && known->info_ && known->listed_ &&
        *known->info_ == input.target_)
    {
        return;
    }
    if (!is_of_known_domain(context, input.target_) ||
        (known != nullptr && !stays_in_shard(context, *known, input.target_)))
    {
        apply(context, target_unlisted{id});
        return;
    }
    session_row&      session = context.sessions_.ensure(id);
    layout_row* const layout = context.layouts_.find(input.target_.domain_);
    if (layout != nullptr && !session.info_)
    {
        layout->listed_at_ = context.now_;
    }
    bool const address_changed =
        session.info_ && session.info_->address_ != input.target_.address_;
    bool const leaving_changed =
        session.info_ && session.info_->leaving_ != input.target_.leaving_;
    session.info_ = std::make_shared<listed_target const>(input.target_);
    session.listed_ = true;
    session.shard_ = shard_of(context, *session.info_).value_or(shard_id());
    if (!owns(context, session.shard_, owned_phase::serving))
    {
        return;
    }
    if (!session.open_)
    {
        open_session(context, id);
        note_grants_changed(context, session.shard_, true);
        return;
    }
    if (address_changed || leaving_changed)
    {
        // These starts would reach a target whose row has changed since.
        withdraw_unsent_starts(context, id, session);
        note_grants_changed(context, session.shard_, true);
    }
    if (address_changed)
    {
        session.hold_ = 0;
        session.hold_at_ = context.now_;
    }
    update_planner_target(context, id);
}

void apply(node& context, target_unlisted const& input)
{
    session_row* const session = context.sessions_.find(input.id_);
    if (session == nullptr)
    {
        return;
    }
    if (session->listed_)
    {
        session->listed_ = false;
        session->unlisted_at_ = context.now_;
    }
    if (session->open_)
    {
        update_planner_target(context, input.id_);
    }
}

} // namespace fescuevane::cell
