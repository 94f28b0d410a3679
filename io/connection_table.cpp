// Purpose: connections of one HTTP port, and who has to go at a bound.
#include "io/connection_table.hpp"

namespace fescuevane::io
{
connection_table::place connection_table::make_place(connection_id id,
                                                     row const&    own)
{
    return {own.phase_ != connection_phase::draining, own.completed_,
            own.since_, id};
}

// Keeps the indexes in line with the row.
void connection_table::change(connection_id id, row const& own)
{
    row& known = rows_[id];
    closable_.erase(make_place(id, known));
    deadlines_.erase({known.deadline_, id});
    bodies_.erase({known.since_, id});
    body_sum_ += own.body_bytes_ - known.body_bytes_;
    known = own;
    if (own.phase_ != connection_phase::answering)
    {
        closable_.insert(make_place(id, own));
    }
    if (own.deadline_ != instant::never())
    {
        deadlines_.emplace(own.deadline_, id);
    }
    if (own.phase_ == connection_phase::body && own.body_bytes_ > 0)
    {
        bodies_.emplace(own.since_, id);
    }
}

std::optional<connection_id>
connection_table::add(instant now, std::vector<connection_id>& closed)
{
    if (rows_.size() >= limits_.max_connections_)
    {
        if (closable_.empty())
        {
            return std::nullopt;
        }
        closed.push_back(std::get<connection_id>(*closable_.begin()));
    }
    connection_id const id = ++last_id_;
    change(id, {.since_ = now, .deadline_ = now.after(limits_.read_micros_)});
    return id;
}

void connection_table::remove(connection_id id)
{
    if (rows_.contains(id))
    {
        change(id, {});
        closable_.erase(make_place(id, {}));
        rows_.erase(id);
    }
}

void connection_table::note_idle(connection_id id, std::uint64_t received,
                                 instant now)
{
    auto const found = rows_.find(id);
    if (found != rows_.end() && found->second.phase_ == connection_phase::idle)
    {
        row own = found->second;
        if (received > own.received_)
        {
            own.phase_ = connection_phase::headers;
            own.since_ = now;
        }
        own.deadline_ = now.after(limits_.read_micros_);
        change(id, own);
    }
}

std::optional<http_refusal>
connection_table::note_headers(connection_id id, std::uint64_t header_bytes,
                               std::uint64_t announced, instant now)
{
    auto const found = rows_.find(id);
    if (found == rows_.end())
    {
        return std::nullopt;
    }
    row own = found->second;
    if (own.phase_ == connection_phase::idle)
    {
        own.since_ = now;
        own.deadline_ = now.after(limits_.read_micros_);
    }
    own.phase_ = connection_phase::body;
    change(id, own);
    if (header_bytes > limits_.max_header_bytes_)
    {
        return http_refusal::headers_too_large;
    }
    return announced > limits_.max_body_bytes_
               ? std::optional(http_refusal::body_too_large)
               : std::nullopt;
}

std::optional<http_refusal>
connection_table::note_body(connection_id id, std::uint64_t bytes,
                            std::vector<connection_id>& closed)
{
    auto const found = rows_.find(id);
    if (found == rows_.end() || found->second.phase_ != connection_phase::body)
    {
        return std::nullopt;
    }
    row own = found->second;
    own.body_bytes_ += bytes;
    if (own.body_bytes_ > limits_.max_body_bytes_)
    {
        return http_refusal::body_too_large;
    }
    // A body that is alone is read whatever the sum may be.
    std::uint64_t others = body_sum_ - found->second.body_bytes_;
    for (auto const& [since, other] : bodies_)
    {
        if (others == 0 ||
            others + own.body_bytes_ <= limits_.max_body_sum_bytes_)
        {
            break;
        }
        if (other != id)
        {
            others -= rows_.at(other).body_bytes_;
            closed.push_back(other);
        }
    }
    if (others > 0 && others + own.body_bytes_ > limits_.max_body_sum_bytes_)
    {
        closed.clear();
        return http_refusal::no_memory;
    }
    change(id, own);
    return std::nullopt;
}

void connection_table::note_read(connection_id id, instant now)
{
    auto const found = rows_.find(id);
    if (found != rows_.end() &&
        found->second.phase_ != connection_phase::draining)
    {
        row own = found->second;
        own.phase_ = connection_phase::answering;
        own.deadline_ = now.after(limits_.answer_micros_);
        change(id, own);
    }
}

void connection_table::note_answered(connection_id id, std::uint64_t received,
                                     instant now)
{
    auto const found = rows_.find(id);
    if (found != rows_.end() &&
        found->second.phase_ != connection_phase::draining)
    {
        change(id, {.completed_ = true,
                    .since_ = now,
                    .deadline_ = now.after(limits_.read_micros_),
                    .received_ = received});
    }
}

void connection_table::note_refused(connection_id id, instant now)
{
    if (rows_.contains(id))
    {
        change(id, {.phase_ = connection_phase::draining,
                    .since_ = now,
                    .deadline_ = now.after(limits_.drain_micros_)});
    }
}

std::vector<connection_id> connection_table::find_expired(instant now) const
{
    std::vector<connection_id> expired;
    for (auto const& [deadline, id] : deadlines_)
    {
        if (deadline > now)
        {
            break;
        }
        expired.push_back(id);
    }
    return expired;
}

instant connection_table::next_deadline() const
{
    return deadlines_.empty() ? instant::never() : deadlines_.begin()->first;
}

std::optional<connection_phase>
connection_table::find_phase(connection_id id) const
{
    auto const found = rows_.find(id);
    return found == rows_.end() ? std::nullopt
                                : std::optional(found->second.phase_);
}

} // namespace fescuevane::io
