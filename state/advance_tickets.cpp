// Purpose: the system that commits filed tickets and keeps the configuration
// in force.
#include "state/control.hpp"
#include "state/row_key.hpp"
#include "state/ticket_error.hpp"
#include "state/ticket_text.hpp"

#include <algorithm>
#include <optional>
#include <utility>

namespace fescuevane::state
{
namespace
{

void tell_filing(control& context, std::size_t row, ticket_stage stage,
                 std::string reason)
{
    ticket_number const number = context.filings_.number_[row];
    bool const          waits = stage == ticket_stage::committed;
    context.outbox_.push_back(
        ticket_progress{context.filings_.index_.key(row), number, stage,
                        waits ? list_missing_domains(context, number)
                              : std::vector<domain_id>(),
                        std::move(reason)});
}

// Both return true when the filing is decided and its row can go.
bool reject_filing(control& context, std::size_t row, std::string reason)
{
    tell_filing(context, row, ticket_stage::rejected, std::move(reason));
    return true;
}

// The number is taken. The same ticket filed again, after a lost answer, is no
// conflict.
bool follow_taken_number(control& context, std::size_t row)
{
    auto const known = find_ticket(context, context.filings_.number_[row]);
    if (!known || *known != write_stored_ticket(context.filings_.text_[row]))
    {
        tell_filing(context, row, ticket_stage::conflicting,
                    "the number is taken, the next one is " +
                        std::to_string(context.committed_->number_ + 1));
        return true;
    }
    context.filings_.phase_[row] = filing_phase::committed;
    tell_filing(context, row, ticket_stage::committed, "");
    return false;
}

bool is_being_committed(control const& context, ticket_number number)
{
    for (std::size_t row = 0; row < context.filings_.index_.size(); ++row)
    {
        if (context.filings_.phase_[row] == filing_phase::committing &&
            context.filings_.number_[row] == number)
        {
            return true;
        }
    }
    return false;
}

// A ticket ahead of the known ones may follow tickets of other processes; it
// is decided after a read that starts after it was filed.
bool await_earlier_tickets(control& context, std::size_t row)
{
    std::uint64_t& wanted = context.filings_.wanted_read_[row];
    store_client&  store = context.store_;
    if (wanted == 0)
    {
        wanted = store.reads_ended_ + (store.read_request_ != 0 ? 2 : 1);
        request_read(context);
    }
    if (store.reads_ended_ < wanted ||
        is_being_committed(context, context.committed_->number_ + 1))
    {
        return false;
    }
    return reject_filing(context, row,
                         "number: expected number " +
                             std::to_string(context.committed_->number_ + 1));
}

bool commit_filing(control& context, std::size_t row)
{
    std::string const&  text = context.filings_.text_[row];
    ticket_number const number = context.filings_.number_[row];
    apply_ticket(*context.committed_, text); // throws when it isn't valid
    std::string const key = format_ticket_key(number);
    open_commit(
        context,
        {.purpose_ = commit_purpose::ticket,
         .call_ = context.filings_.index_.key(row)},
        {{key, 0}, make_condition(context.rows_, std::string(head_key))},
        {{key, write_stored_ticket(text)},
         {std::string(head_key), std::to_string(number)}});
    context.filings_.phase_[row] = filing_phase::committing;
    return false;
}

bool try_filing(control& context, std::size_t row)
{
    ticket_number const number =
        read_ticket_number(context.filings_.text_[row]);
    ticket_number const next = context.committed_->number_ + 1;
    context.filings_.number_[row] = number;
    if (!context.store_.loaded_ && context.committed_->number_ == 0)
    {
        return false; // nothing is known about earlier tickets yet
    }
    if (number < next)
    {
        return follow_taken_number(context, row);
    }
    return number > next ? await_earlier_tickets(context, row)
                         : commit_filing(context, row);
}

bool advance_waiting(control& context, std::size_t row)
{
    try
    {
        return try_filing(context, row);
    }
    catch (ticket_error const& error)
    {
        return reject_filing(context, row, error.what());
    }
}

bool advance_committed(control& context, std::size_t row)
{
    if (context.filings_.number_[row] > context.accepted_->number_)
    {
        return false;
    }
    tell_filing(context, row, ticket_stage::accepted, "");
    return true;
}

bool advance_filing(control& context, std::size_t row)
{
    if (context.filings_.phase_[row] == filing_phase::waiting &&
        advance_waiting(context, row))
    {
        return true;
    }
    return context.filings_.phase_[row] == filing_phase::committed &&
           advance_committed(context, row);
}

// A cut-off domain that has to stop is out of service in this process only.
config stop_domain(config const& value, domain_id const& domain)
{
    std::map<domain_id, domain_config> domains;
    for (auto const& [id, entry] : value.domains_)
    {
        domains.emplace(
            id,
            domain_config{.domain_ = id,
                          .in_service_ = entry.in_service_ && id != domain,
                          .serves_when_cut_off_ = entry.serves_when_cut_off_,
                          .stop_after_micros_ = entry.stop_after_micros_});
    }
    return {.number_ = value.number_,
            .teams_ = value.teams_,
            .domains_ = domains,
            .services_ = value.services_};
}

void update_effective(control& context)
{
    if (!std::exchange(context.config_changed_, false))
    {
        return;
    }
    config const effective =
        context.cut_off_
            ? stop_domain(*context.restricted_, context.settings_.domain_)
            : *context.restricted_;
    context.acks_changed_ = true;
    if (effective == *context.effective_)
    {
        return;
    }
    mark_limited_teams(context, *context.effective_); // limits that end
    context.effective_ = std::make_shared<config const>(effective);
    mark_limited_teams(context, *context.effective_);
    context.outbox_.push_back(config_changed{context.effective_});
}

} // namespace

instant advance_tickets(control& context)
{
    for (std::size_t row = context.filings_.index_.size(); row-- > 0;)
    {
        if (advance_filing(context, row))
        {
            remove_filing(context.filings_, row);
        }
    }
    update_effective(context);
    return instant::never();
}

} // namespace fescuevane::state
