// Purpose: an entry process.
//
// Index of sections
//   1. Set-up
//   2. Ticks
//   3. Commands
//   4. Sources
#include "entry/process.hpp"

#include "entry/channel.hpp"
#include "entry/event_queue.hpp"
#include "entry/http_front.hpp"
#include "entry/logging.hpp"
#include "entry/node.hpp"
#include "entry/peer_link.hpp"
#include "entry/peer_service.hpp"
#include "entry/platform_link.hpp"
#include "entry/target_link.hpp"
#include "entry/tracing.hpp"
#include "io/http_refusal.hpp"
#include "io/peer_limits.hpp"
#include "state/config.hpp"
#include "state/state.hpp"
#include "wire/bounds.hpp"

#include <glib-unix.h>
#include <algorithm>
#include <utility>

namespace fescuevane::entry
{

// 1. Set-up

namespace
{

front_queries make_queries(node const& context)
{
    state::control const& control = control_of(context);
    return {.is_ready_ =
                [&context]
            {
                return is_ready(context);
            },
            .accepted_number_ =
                [&control]
            {
                return state::accepted_config(control)->number_;
            },
            .committed_number_ =
                [&control]
            {
                return state::committed_number(control);
            },
            .effective_config_ =
                [&control]
            {
                return state::effective_config(control);
            },
            .write_config_ =
                [&control]
            {
                return state::write_config(*state::effective_config(control));
            },
            .apply_ticket_ =
                [&control](std::string_view text)
            {
                return state::write_config(state::apply_ticket(
                    *state::accepted_config(control), text));
            },
            .find_ticket_ =
                [&control](ticket_number number)
            {
                return state::find_ticket(control, number);
            },
            .list_missing_domains_ =
                [&control](ticket_number number)
            {
                return state::list_missing_domains(control, number);
            },
            .hash_key_ =
                [](std::string_view key)
            {
                return state::hash_key(key);
            },
            .list_shards_ =
                [&context]
            {
                return list_shards(context);
            },
            .list_targets_ =
                [&context]
            {
                return list_targets(context);
            },
            .list_limits_ =
                [&context]
            {
                return list_limits(context);
            },
            .read_counters_ =
                [&context]
            {
                return read_counters(context);
            }};
}

// A submission that is passed on is about as large as its body; the rest is for
// heartbeats.
int max_peer_message_bytes(settings const& values)
{
    constexpr std::uint64_t beat_bytes = 4 * 1024 * 1024;
    return static_cast<int>(std::min<std::uint64_t>(
        values.max_body_bytes_ + beat_bytes, wire::max_message_bytes));
}

event widen(front_event const& input)
{
    return std::visit(
        [](auto const& value) -> event
        {
            return value;
        },
        input);
}

} // namespace

// The source of the ticks; GLib allocates it.
struct process::tick_source
{
    GSource  base_;
    process* owner_;
};

process::process(settings const& values)
    : settings_(values), node_(make_node(values, read_clock()))
{
    static GSourceFuncs functions = {nullptr, nullptr, &process::on_tick,
                                     nullptr, nullptr, nullptr};
    loop_ = g_main_loop_new(nullptr, FALSE);
    tick_source_ = g_source_new(&functions, sizeof(tick_source));
    reinterpret_cast<tick_source*>(tick_source_)->owner_ = this;
    g_source_attach(tick_source_, nullptr);
    // Streams that gRPC has not finished yet may push until the process exits,
    // so they share the queue and the source; setting the time of a source is
    // thread-safe.
    std::shared_ptr<GSource> const source(g_source_ref(tick_source_),
                                          &g_source_unref);
    events_ = std::make_shared<event_queue>(
        [source]
        {
            g_source_set_ready_time(source.get(), 0);
        });

    log_ = std::make_unique<state_logger>(make_state_logger(values));
    traces_ = std::make_unique<span_tracer>(values.trace_file_,
                                            values.state_.host_.str());
    platform_ = std::make_unique<platform_link>(
        values.platform_address_, values.store_timeout_micros_, events_);
    peers_ = std::make_unique<peer_link>(values, events_);
    targets_ = std::make_unique<target_link>(values.state_.host_, events_);
    service_ = std::make_unique<peer_service>(
        values.peer_address_, io::make_peer_limits(values.budget()),
        max_peer_message_bytes(values), events_,
        [this]
        {
            front_->count_refusal(io::http_refusal::no_place);
        });
    front_ = std::make_unique<http_front>(
        values,
        [this](front_event const& input)
        {
            post_event(*node_, widen(input));
            g_source_set_ready_time(tick_source_, 0);
        },
        make_queries(*node_), *traces_,
        [this](io::http_refusal reason, std::uint64_t count)
        {
            log_state_change(*log_, "clients_refused",
                             {{"reason", io::name_of(reason)},
                              {"count", std::to_string(count)}});
        });
    front_->listen();
}

process::~process()
{
    g_source_destroy(tick_source_);
    g_source_unref(tick_source_);
    g_main_loop_unref(loop_);
}

void process::run()
{
    g_unix_signal_add(SIGTERM, &process::on_stop, this);
    g_unix_signal_add(SIGINT, &process::on_stop, this);
    g_timeout_add(
        static_cast<guint>(settings_.host_list_micros_ / micros_per_milli),
        &process::on_host_list, this);
    platform_->list_hosts();
    log_state_change(*log_, "started",
                     {{"host", settings_.state_.host_.str()},
                      {"failure_domain", settings_.state_.domain_.str()}});
    arm_tick();
    g_main_loop_run(loop_);
    log_state_change(*log_, "stopped",
                     {{"host", settings_.state_.host_.str()}});
}

// 2. Ticks

void process::tick()
{
    for (event& input : events_->take_all())
    {
        post_event(*node_, std::move(input));
    }
    commands_.clear();
    run_tick(*node_, read_clock(), commands_);
    for (command const& order : commands_)
    {
        carry_out(order);
    }
    peers_->flush();
    if (has_stopped(*node_) && front_->open_calls() == 0)
    {
        g_main_loop_quit(loop_);
    }
}

void process::arm_tick()
{
    instant const due = next_deadline(*node_);
    g_source_set_ready_time(tick_source_,
                            due == instant::never() ? -1 : due.micros());
    // An event pushed since the queue was emptied woke the source before its
    // time was set.
    if (!events_->empty())
    {
        g_source_set_ready_time(tick_source_, 0);
    }
}

// 3. Commands

void process::carry_out(command const& order)
{
    struct visitor
    {
        process& self_;

        void operator()(job_told const& value) const
        {
            self_.front_->deliver(value);
        }
        void operator()(call_rejected const& value) const
        {
            self_.front_->deliver(value);
        }
        void operator()(cancel_told const& value) const
        {
            self_.front_->deliver(value);
        }
        void operator()(ticket_told const& value) const
        {
            self_.front_->deliver(value);
        }
        void operator()(send_peer const& value) const
        {
            self_.peers_->add(value.host_, value.message_, read_clock());
        }
        void operator()(connect_peers const& value) const
        {
            self_.peers_->set_peers(value);
        }
        void operator()(attach_target const& value) const
        {
            self_.targets_->attach(value);
        }
        void operator()(detach_target const& value) const
        {
            self_.targets_->detach(value.target_);
        }
        void operator()(send_target const& value) const
        {
            self_.targets_->send(value, read_clock());
        }
        void operator()(state::read_rows const& value) const
        {
            self_.platform_->read(value);
        }
        void operator()(state::commit_rows const& value) const
        {
            self_.platform_->commit(value);
        }
        void operator()(state_noted const& value) const
        {
            log_state_change(*self_.log_, value.event_,
                             {{"subject", value.detail_}});
        }
        void operator()(span_finished const& value) const
        {
            self_.traces_->record_span(value);
        }
    };
    std::visit(visitor{*this}, order);
}

// 4. Sources

gboolean process::on_tick(GSource* source, GSourceFunc /*unused*/,
                          gpointer /*unused*/)
{
    process& self = *reinterpret_cast<tick_source*>(source)->owner_;
    self.tick();
    self.arm_tick();
    return G_SOURCE_CONTINUE;
}

gboolean process::on_stop(gpointer self)
{
    auto& owner = *static_cast<process*>(self);
    post_event(*owner.node_, stop_wanted{});
    g_source_set_ready_time(owner.tick_source_, 0);
    return G_SOURCE_CONTINUE;
}

gboolean process::on_host_list(gpointer self)
{
    static_cast<process*>(self)->platform_->list_hosts();
    return G_SOURCE_CONTINUE;
}

} // namespace fescuevane::entry
