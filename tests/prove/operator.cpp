// Purpose: the operators of a run, who file tickets and read back.
//
// Index of sections
//   1. Tickets
//   2. Filing
//   3. Changes
//   4. Systems
#include "tests/prove/driver.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <optional>
#include <stdexcept>

namespace fescuevane::prove
{
namespace
{

using nlohmann::json;

constexpr std::int64_t micros_per_second = 1'000'000;
constexpr std::int64_t ticket_interval_micros = 1'500'000;
constexpr std::int64_t read_interval_micros = 700'000;
constexpr char const*  operator_key = "operator-key";

// 1. Tickets

constexpr std::int64_t full_limit = 24'000; // CPU, half of the cell
constexpr std::int64_t low_limit = 5'000;
constexpr std::int64_t memory_of_limit = 49'152;

json write_team(driver const& context, std::string const& team)
{
    json keys = json::array();
    for (std::string const& key : context.keys_.at(team))
    {
        keys.push_back(key);
    }
    return {{"id", team},
            {"keys", keys},
            {"share", 1},
            {"limit",
             {{"cpu_millis", context.limits_.at(team)},
              {"memory_mib", memory_of_limit},
              {"accelerators", 0}}}};
}

json write_domain(std::string const& domain, bool in_service)
{
    return {{"id", domain},
            {"in_service", in_service},
            {"on_cut_off", "serve"},
            {"stop_after_ms", 0}};
}

struct draft
{
    std::vector<std::string> const    teams_; // rows of the context to file
    std::map<std::string, bool> const domains_;
    json const                        services_;
};

// 2. Filing

void note_accepted(driver& context, std::int64_t number, std::int64_t time)
{
    for (std::int64_t each = number;
         each > 0 && context.first_accepted_.emplace(each, time).second; --each)
    {
    }
}

void end_filing(driver& context, std::size_t row, http_reply const& reply)
{
    filed_ticket&     ticket = context.tickets_[row];
    json const&       body = reply.json_;
    std::string const stage =
        body.is_object() ? body.value("stage", "none") : "none";
    ticket.stage_ = stage;
    --context.open_filings_;
    std::int64_t const number = ticket.change_.number_;
    if (stage == "accepted")
    {
        ticket.accepted_ = g_get_monotonic_time();
        note_accepted(context, number, ticket.accepted_);
    }
    if (stage == "accepted" || stage == "committed" || stage == "conflicting")
    {
        context.highest_number_ = std::max(context.highest_number_, number);
    }
}

void file(driver& context, std::size_t entry, std::int64_t number,
          draft const& change)
{
    constexpr std::int64_t           wait_ms = 4000;
    constexpr std::int64_t           timeout_ms = 8000;
    std::size_t const                row = context.tickets_.size();
    std::string const                author = "ops-" + std::to_string(row + 1);
    json                             teams = json::array();
    json                             domains = json::array();
    std::map<std::string, resources> limits;
    std::map<std::string, std::set<std::string>> keys;
    for (std::string const& team : change.teams_)
    {
        teams.push_back(write_team(context, team));
        limits.emplace(team,
                       resources(context.limits_.at(team), memory_of_limit, 0));
        keys.emplace(team, context.keys_.at(team));
    }
    for (auto const& [domain, in_service] : change.domains_)
    {
        domains.push_back(write_domain(domain, in_service));
    }
    json ticket = {{"number", number}, {"author", author}};
    ticket["teams"] = teams;
    ticket["failure_domains"] = domains;
    if (!change.services_.is_null())
    {
        ticket["services"] = change.services_;
    }
    context.tickets_.push_back({.author_ = author,
                                .change_ = {.number_ = number,
                                            .began_ = g_get_monotonic_time(),
                                            .limits_ = limits,
                                            .keys_ = keys,
                                            .domains_ = change.domains_}});
    ++context.open_filings_;
    context.http_.send(
        {.address_ = context.cell_.entries_.http_[entry],
         .path_ = "/v1/tickets?wait_ms=" + std::to_string(wait_ms),
         .post_ = true,
         .body_ = ticket.dump(),
         .key_ = operator_key,
         .timeout_ms_ = timeout_ms},
        [&context, row](http_reply const& reply)
        {
            end_filing(context, row, reply);
        });
}

// 3. Changes

// Each fills in the context's view and gives the ticket; none: not now.
using make_draft = std::optional<draft> (*)(driver&);

std::string choose_team(driver& context)
{
    auto team = context.limits_.begin();
    std::advance(team, static_cast<std::ptrdiff_t>(
                           choose(context, context.limits_.size())));
    return team->first;
}

std::optional<draft> change_limit(driver& context)
{
    std::string const team = choose_team(context);
    std::int64_t&     limit = context.limits_.at(team);
    limit = limit == full_limit ? low_limit : full_limit;
    return draft{.teams_ = {team}};
}

// A withdrawn key stays away for longer than the bound, so that uses of it
// after the bound are seen.
std::optional<draft> change_key(driver& context)
{
    constexpr std::int64_t away_micros = 9 * micros_per_second;
    if (context.now_ < context.key_return_)
    {
        return std::nullopt;
    }
    std::string const team = "couriers";
    std::string const key = team + "-2";
    auto&             keys = context.keys_.at(team);
    if (keys.erase(key) == 0)
    {
        keys.insert(key);
    }
    context.key_return_ = context.now_ + away_micros;
    return draft{.teams_ = {team}};
}

std::optional<draft> change_domain(driver& context)
{
    constexpr std::int64_t out_micros = 9 * micros_per_second;
    if (context.now_ < context.domain_return_)
    {
        return std::nullopt;
    }
    context.domain_return_ = context.now_ + out_micros;
    if (!context.domain_out_.empty())
    {
        context.domain_out_.clear();
    }
    else
    {
        context.domain_out_ =
            list_domains()[choose(context, list_domains().size())];
    }
    // All of them, so that a ticket that lost a race leaves no domain out.
    std::map<std::string, bool> domains;
    for (std::string const& domain : list_domains())
    {
        domains.emplace(domain, domain != context.domain_out_);
    }
    return draft{.domains_ = domains};
}

constexpr std::array<make_draft, 3> changes = {&change_limit, &change_key,
                                               &change_domain};

void file_change(driver& context)
{
    constexpr unsigned race_percent = 25;
    std::int64_t const number = context.highest_number_ + 1;
    if (happens(context, race_percent))
    {
        // The loser's change isn't in force; the next ticket of the team is
        // complete again, and the checkers read back who won.
        auto const first = change_limit(context);
        file(context, choose_entry(context), number, *first);
        auto const second = change_limit(context);
        file(context, choose_entry(context), number, *second);
        return;
    }
    std::size_t const start = choose(context, changes.size());
    for (std::size_t i = 0; i < changes.size(); ++i)
    {
        if (auto const change =
                changes.at((start + i) % changes.size())(context))
        {
            file(context, choose_entry(context), number, *change);
            return;
        }
    }
}

void end_read(driver& context, config_read const& begun,
              http_reply const& reply)
{
    if (reply.status_ != 200 || !reply.json_.is_object())
    {
        return;
    }
    std::int64_t const now = g_get_monotonic_time();
    std::int64_t const accepted = reply.json_.value("accepted", 0LL);
    context.reads_.push_back({.began_ = begun.began_,
                              .ended_ = now,
                              .entry_ = begun.entry_,
                              .incarnation_ = begun.incarnation_,
                              .accepted_ = accepted});
    note_accepted(context, accepted, now);
    context.highest_number_ = std::max<std::int64_t>(
        context.highest_number_, reply.json_.value("committed", 0LL));
}

} // namespace

// 4. Systems

// A filing may be refused until the process has read the store, so it is
// repeated until it is accepted.
void file_first_ticket(driver& context)
{
    constexpr std::int64_t limit_micros = 30 * micros_per_second;
    for (char const* const team : {"cafes", "couriers", "bottling"})
    {
        std::string const name = team;
        context.limits_[name] = full_limit;
        context.keys_[name] = {name + "-1", name + "-2"};
    }
    json const services = {
        {{"id", "refills"}, {"open", false}, {"teams", {"cafes"}}},
        {{"id", "visits"}, {"open", false}, {"teams", {"couriers"}}},
        {{"id", "matching"}, {"open", false}, {"teams", {"bottling"}}},
        {{"id", "status"}, {"open", true}, {"teams", json::array()}}};
    std::map<std::string, bool> domains;
    for (std::string const& domain : list_domains())
    {
        domains.emplace(domain, true);
    }
    wait_until(
        [&]
        {
            context.now_ = g_get_monotonic_time();
            restart_entries(context);
            read_configs(context);
            if (context.open_filings_ == 0 &&
                context.now_ >= context.next_ticket_ &&
                !context.first_accepted_.contains(1))
            {
                context.next_ticket_ = context.now_ + micros_per_second / 2;
                file(context, 0, 1,
                     {.teams_ = {"bottling", "cafes", "couriers"},
                      .domains_ = domains,
                      .services_ = services});
            }
            return context.first_accepted_.contains(1);
        },
        limit_micros, "ticket 1 is accepted");
}

void file_tickets(driver& context)
{
    if (context.now_ < context.next_ticket_ || context.open_filings_ > 0 ||
        context.now_ >= context.end_)
    {
        return;
    }
    context.next_ticket_ = context.now_ + ticket_interval_micros;
    file_change(context);
}

void read_configs(driver& context)
{
    constexpr std::int64_t timeout_ms = 5000;
    if (context.now_ < context.next_read_)
    {
        return;
    }
    context.next_read_ = context.now_ + read_interval_micros;
    entry_table const& entries = context.cell_.entries_;
    for (std::size_t row = 0; row < entries.name_.size(); ++row)
    {
        if (entries.phase_[row] == entry_phase::running)
        {
            config_read const begun{.began_ = context.now_,
                                    .entry_ = entries.name_[row],
                                    .incarnation_ = entries.incarnation_[row]};
            context.http_.send({.address_ = entries.http_[row],
                                .path_ = "/v1/config",
                                .key_ = operator_key,
                                .timeout_ms_ = timeout_ms},
                               [&context, begun](http_reply const& reply)
                               {
                                   end_read(context, begun, reply);
                               });
        }
    }
}

// The winner of a race and the fate of a filing without a reply are read back
// by the author's name.
void resolve_tickets(driver& context)
{
    constexpr std::int64_t              timeout_ms = 5000;
    constexpr std::int64_t              limit_micros = 20 * micros_per_second;
    std::size_t                         left = 0;
    std::map<std::int64_t, std::string> authors;
    for (std::int64_t number = 1; number <= context.highest_number_; ++number)
    {
        ++left;
        context.http_.send(
            {.address_ = context.cell_.entries_.http_[0],
             .path_ = "/v1/tickets/" + std::to_string(number),
             .key_ = operator_key,
             .timeout_ms_ = timeout_ms},
            [&, number](http_reply const& reply)
            {
                --left;
                json const& body = reply.json_;
                if (body.is_object() && body.contains("ticket"))
                {
                    authors.emplace(number, body["ticket"].value("author", ""));
                }
            });
    }
    wait_until(
        [&left]
        {
            return left == 0;
        },
        limit_micros, "tickets are read back");
    for (filed_ticket& ticket : context.tickets_)
    {
        auto const author = authors.find(ticket.change_.number_);
        auto const seen = context.first_accepted_.find(ticket.change_.number_);
        bool const won =
            author != authors.end() && author->second == ticket.author_;
        ticket.stage_ = won ? "committed" : "lost";
        ticket.accepted_ =
            won && seen != context.first_accepted_.end() ? seen->second : -1;
    }
}

} // namespace fescuevane::prove
