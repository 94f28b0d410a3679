// Purpose: a whole run of the cell.
//
// Index of sections
//   1. Choices
//   2. Start and stop
//   3. Run
#include "tests/prove/driver.hpp"

#include <algorithm>
#include <array>
#include <csignal>
#include <functional>
#include <stdexcept>

namespace fescuevane::prove
{
namespace
{

constexpr std::int64_t micros_per_second = 1'000'000;
constexpr std::int64_t start_limit_micros = 30 * micros_per_second;
constexpr std::int64_t settle_limit_micros = 40 * micros_per_second;

constexpr std::array<driver_system, 5> systems = {{
    {"make_calls", &make_calls},
    {"file_tickets", &file_tickets},
    {"read_configs", &read_configs},
    {"make_faults", &make_faults},
    {"restart_entries", &restart_entries},
}};

} // namespace

driver::driver(run_options const& options)
    : options_(options), random_(options.seed_), cell_(options)
{
}

// The cell outlives the tables, and its processes end while it is destroyed.
driver::~driver()
{
    cell_.on_exit_ = nullptr;
}

// 1. Choices

std::uint64_t choose(driver& context, std::uint64_t count)
{
    return context.random_() % count;
}

bool happens(driver& context, unsigned percent)
{
    return choose(context, 100) < percent;
}

// A caller reaches any process that its load balancer believes to be alive.
std::size_t choose_entry(driver& context)
{
    entry_table const& entries = context.cell_.entries_;
    std::size_t const  first = choose(context, entries.name_.size());
    for (std::size_t i = 0; i < entries.name_.size(); ++i)
    {
        std::size_t const row = (first + i) % entries.name_.size();
        if (entries.phase_[row] == entry_phase::running)
        {
            return row;
        }
    }
    return first;
}

void run_tick(driver& context)
{
    context.now_ = g_get_monotonic_time();
    for (driver_system const& system : systems)
    {
        system.run_(context);
    }
}

// 2. Start and stop

namespace
{

// Asks every entry process for a page until the reply fulfils the condition.
void await_pages(driver& context, std::string const& path,
                 bool (*const is_met)(http_reply const&))
{
    constexpr std::int64_t timeout_ms = 2000;
    entry_table const&     entries = context.cell_.entries_;
    std::set<std::size_t>  open;
    std::set<std::size_t>  met;
    wait_until(
        [&]
        {
            for (std::size_t row = 0; row < entries.name_.size(); ++row)
            {
                if (met.contains(row) || !open.insert(row).second)
                {
                    continue;
                }
                context.http_.send(
                    {.address_ = entries.http_[row],
                     .path_ = path,
                     .key_ = "operator-key",
                     .timeout_ms_ = timeout_ms},
                    [&open, &met, is_met, row](http_reply const& reply)
                    {
                        open.erase(row);
                        if (is_met(reply))
                        {
                            met.insert(row);
                        }
                    });
            }
            return met.size() == entries.name_.size() && open.empty();
        },
        start_limit_micros, path + " of all entry processes");
}

bool is_page(http_reply const& reply)
{
    return reply.status_ == 200;
}

bool shows_ready_shards(http_reply const& reply)
{
    constexpr std::size_t shards_per_domain = 2;
    if (!reply.json_.is_object() || !reply.json_.contains("shards"))
    {
        return false;
    }
    auto const& shards = reply.json_["shards"];
    return shards.size() == shards_per_domain * list_domains().size() &&
           std::all_of(shards.begin(), shards.end(),
                       [](nlohmann::json const& shard)
                       {
                           return shard.value("ready", false);
                       });
}

void note_exit(driver& context, std::size_t row, int code)
{
    entry_table&       entries = context.cell_.entries_;
    std::int64_t const began = entries.stop_began_[row];
    if (began < 0)
    {
        return;
    }
    std::int64_t const now = g_get_monotonic_time();
    context.stops_.push_back({.began_ = began == 0 ? now : began,
                              .ended_ = now,
                              .entry_ = entries.name_[row],
                              .incarnation_ = entries.incarnation_[row],
                              .exit_code_ = code,
                              .planned_ = began > 0});
}

void start_cell(driver& context)
{
    context.cell_.on_exit_ = [&context](std::size_t row, int code)
    {
        note_exit(context, row, code);
    };
    for (std::size_t row = 0; row < context.cell_.entries_.name_.size(); ++row)
    {
        context.cell_.start_entry(row);
    }
    await_pages(context, "/healthz", &is_page);
    file_first_ticket(context);
    await_pages(context, "/readyz", &is_page);
    await_pages(context, "/v1/shards", &shows_ready_shards);
}

// One after the other, as in a planned replacement of all hosts.
void stop_entries(driver& context)
{
    constexpr std::int64_t limit_micros = 20 * micros_per_second;
    entry_table&           entries = context.cell_.entries_;
    for (std::size_t row = 0; row < entries.name_.size(); ++row)
    {
        if (entries.process_[row] == nullptr)
        {
            continue;
        }
        entries.stop_began_[row] = g_get_monotonic_time();
        entries.phase_[row] = entry_phase::stopping;
        context.cell_.signal_entry(row, SIGTERM);
        wait_until(
            [&entries, row]
            {
                return entries.process_[row] == nullptr;
            },
            limit_micros, "graceful stop of " + entries.name_[row]);
    }
}

bool is_settled(driver const& context)
{
    return context.now_ >= context.end_ && context.open_calls_.empty() &&
           context.planned_calls_.empty() && context.open_filings_ == 0 &&
           context.active_.empty();
}

// What keeps a run from settling.
std::string describe_unsettled(driver const& context)
{
    std::string text =
        std::to_string(context.open_calls_.size()) + " open calls, " +
        std::to_string(context.planned_calls_.size()) + " planned calls, " +
        std::to_string(context.open_filings_) + " open filings, " +
        std::to_string(context.active_.size()) + " faults";
    for (planned_call const& call : context.planned_calls_)
    {
        text += "\n  planned for " + call.job_.team_ + "/" + call.job_.id_;
    }
    return text;
}

history collect(driver const& context)
{
    history past{.targets_ = context.cell_.targets_,
                 .runs_ = read_runs(context.cell_.histories_),
                 .calls_ = context.calls_,
                 .reads_ = context.reads_,
                 .faults_ = context.faults_,
                 .stops_ = context.stops_};
    for (filed_ticket const& ticket : context.tickets_)
    {
        if (ticket.stage_ == "committed")
        {
            past.tickets_.push_back({.number_ = ticket.change_.number_,
                                     .began_ = ticket.change_.began_,
                                     .accepted_ = ticket.accepted_,
                                     .limits_ = ticket.change_.limits_,
                                     .keys_ = ticket.change_.keys_,
                                     .domains_ = ticket.change_.domains_});
        }
    }
    for (auto const& [number, call] : context.open_calls_)
    {
        past.calls_.push_back(call);
    }
    entry_table const& entries = context.cell_.entries_;
    for (std::size_t row = 0; row < entries.name_.size(); ++row)
    {
        past.entry_domains_.emplace(entries.name_[row], entries.domain_[row]);
    }
    return past;
}

} // namespace

// 3. Run

history run_cell(driver& context)
{
    start_cell(context);
    std::int64_t const load = context.options_.seconds_ * micros_per_second;
    context.begin_ = g_get_monotonic_time();
    context.quiet_ = context.begin_ + load * 3 / 4;
    context.end_ = context.begin_ + load;
    context.next_submit_ = context.begin_;
    plan_faults(context);
    try
    {
        wait_until(
            [&context]
            {
                run_tick(context);
                return is_settled(context);
            },
            load + settle_limit_micros, "the run settles");
    }
    catch (std::runtime_error const& error)
    {
        throw std::runtime_error(std::string(error.what()) + "; " +
                                 describe_unsettled(context));
    }
    await_pages(context, "/v1/shards", &shows_ready_shards);
    resolve_tickets(context);
    stop_entries(context);
    wait_until(
        [&context]
        {
            return context.http_.count_open() == 0;
        },
        settle_limit_micros, "all calls have ended");
    context.cell_.stop_stand_ins();
    return collect(context);
}

} // namespace fescuevane::prove
