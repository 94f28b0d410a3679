// Purpose: see rig.hh.
#include "rig.hh"

#include "io/http_request.hpp"
#include "io/http_response.hpp"
#include "io/main_loop.hpp"
#include "io/timer.hpp"

#include <glib.h>
#include <unistd.h>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <stdexcept>

namespace fescuevane::review
{
namespace
{

constexpr std::int64_t tick_ms = 10;
constexpr int          attempts_of_a_job = 4;

std::string domain_of(int number)
{
    return "domain-" + std::to_string(number % 3 + 1);
}

std::string programs()
{
    return std::filesystem::canonical("/proc/self/exe").parent_path().string();
}

} // namespace

rig::rig(rig_options options)
    : options_(std::move(options))
    , layout_(static_cast<int>(getpid()))
    , record_(options_.case_folder_ + "/record.txt")
    , random_(std::random_device{}())
    , client_(64)
    , control_(4)
    , hosts_(static_cast<std::size_t>(options_.hosts_))
    , host_logs_(static_cast<std::size_t>(options_.hosts_))
{
    std::string pattern =
        (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (mkdtemp(pattern.data()) == nullptr)
    {
        throw std::runtime_error("no temporary folder");
    }
    folder_ = pattern;
}

rig::~rig()
{
    hosts_.clear();
    targets_.reset();
    store_.reset();
    if (std::getenv("KEEP") == nullptr)
    {
        std::filesystem::remove_all(folder_);
    }
}

std::int64_t rig::now() const
{
    return io::read_clock().micros();
}

void rig::note(std::string const& text)
{
    record_ << now() << " " << text << std::endl;
}

// Time

bool rig::run_until(std::function<bool()> const& condition, std::int64_t ms)
{
    instant const end = io::read_clock().after(ms * micros_per_milli);
    io::timer     timer([] {});
    while (!condition())
    {
        instant const present = io::read_clock();
        if (present >= end)
        {
            return false;
        }
        timer.arm(present.after(tick_ms * micros_per_milli));
        g_main_context_iteration(nullptr, TRUE);
    }
    return true;
}

void rig::run_for(std::int64_t ms)
{
    run_until(
        []
        {
            return false;
        },
        ms);
}

// Programs

void rig::start()
{
    json targets = json::array();
    for (int target = 0; target < options_.targets_; ++target)
    {
        targets.push_back({{"name", "target-" + std::to_string(target + 1)},
                           {"address", layout_.target(target)},
                           {"domain", domain_of(target)},
                           {"rack", "rack-" + domain_of(target)},
                           {"cpu", options_.target_cpu_},
                           {"memory", 131'072}});
    }
    std::ofstream(folder_ + "/targets.json")
        << json{{"targets", targets}}.dump(1);
    store_ = std::make_unique<soak::child_process>(
        std::vector<std::string>{programs() + "/store_stand_in", "--listen",
                                 layout_.store(), "--control",
                                 layout_.store_control(), "--seed", "1"},
        folder_ + "/store.log");
    targets_ = std::make_unique<soak::child_process>(
        std::vector<std::string>{programs() + "/target_stand_in", "--targets",
                                 folder_ + "/targets.json", "--control",
                                 layout_.target_control(), "--store",
                                 layout_.store_control(), "--history",
                                 folder_ + "/runs.jsonl", "--seed", "1"},
        folder_ + "/targets.log");
    for (int host = 0; host < options_.hosts_; ++host)
    {
        std::string const name = "host-" + std::to_string(host + 1);
        host_logs_[static_cast<std::size_t>(host)] =
            folder_ + "/" + name + ".log";
        std::ofstream(folder_ + "/" + name + ".yaml")
            << "host: " << name << "\naddress: " << layout_.host(host)
            << "\nfailure_domain: " << domain_of(host)
            << "\nfailure_domains: [domain-1, domain-2, domain-3]"
            << "\nfront: " << layout_.front(host)
            << "\nready: " << layout_.ready(host)
            << "\nfirst_port: 7420\ncpu_share: 0.25\nstore: " << layout_.store()
            << "\npolicy_service: \"\"\nmachines: \"\"\nmax_lease_ms: 6000"
            << "\nearly_start_ms: 250\nremote_rack_factor: 3"
            << "\nstop_grace_s: 6\n";
    }
    run_for(500);
    for (int host = 0; host < options_.hosts_; ++host)
    {
        start_host(host);
    }
    put_config({"/jobs/"}, 3);
    std::vector<bool> ready(hosts_.size(), false);
    bool const        all = run_until(
        [&]
        {
            bool done = true;
            for (int host = 0; host < options_.hosts_; ++host)
            {
                auto const row = static_cast<std::size_t>(host);
                if (!ready[row])
                {
                    done = false;
                    control_.send(
                               {.address_ = layout_.ready(host),
                                .path_ = "/readiness",
                                .deadline_ = io::read_clock().after(1'000'000)},
                               [&ready, row](io::http_response const& response)
                               {
                            ready[row] = ready[row] || response.status_ == 200;
                        });
                }
            }
            if (!done)
            {
                run_for(200);
            }
            return done;
        },
        20'000);
    if (!all)
    {
        throw std::runtime_error("the cell isn't ready in time");
    }
    note("all hosts are ready");
    run_for(5'000); // shards get their owners
}

void rig::start_host(int host)
{
    auto const row = static_cast<std::size_t>(host);
    hosts_[row].reset();
    hosts_[row] = std::make_unique<soak::child_process>(
        std::vector<std::string>{std::filesystem::path(programs())
                                         .parent_path()
                                         .parent_path()
                                         .string() +
                                     "/bin/fescuevane",
                                 "cell", "--settings",
                                 folder_ + "/host-" + std::to_string(host + 1) +
                                     ".yaml"},
        host_logs_[row]);
    note("host-" + std::to_string(host + 1) + " started");
}

void rig::signal_host(int host, int number)
{
    note("host-" + std::to_string(host + 1) + " gets signal " +
         std::to_string(number));
    hosts_.at(static_cast<std::size_t>(host))->send_signal(number);
}

void rig::kill_host(int host)
{
    signal_host(host, SIGKILL);
}

void rig::term_host(int host)
{
    signal_host(host, SIGTERM);
}

bool rig::is_running(int host) const
{
    auto const& process = hosts_.at(static_cast<std::size_t>(host));
    return process && process->is_running();
}

// Platform

void rig::post(std::string const& address, std::string const& path,
               json const& body)
{
    bool answered = false;
    bool ok = false;
    for (int attempt = 0; attempt < 20 && !ok; ++attempt)
    {
        answered = false;
        control_.send({.method_ = "POST",
                       .address_ = address,
                       .path_ = path,
                       .body_ = body.dump(),
                       .deadline_ = io::read_clock().after(1'000'000)},
                      [&](io::http_response const& response)
                      {
                          answered = true;
                          ok = response.status_ == 200;
                      });
        run_until(
            [&]
            {
                return answered;
            },
            2'000);
        if (!ok)
        {
            run_for(100);
        }
    }
    if (!ok)
    {
        throw std::runtime_error("a stand-in doesn't answer");
    }
}

void rig::put_config(std::vector<std::string> const& routes, int max_attempts)
{
    version_ += 1 + static_cast<int>(random_() % 3);
    json rows = json::array();
    for (std::string const& prefix : routes)
    {
        rows.push_back({{"name", "queue" + prefix.substr(0, prefix.size() - 1)},
                        {"host", "desk.example"},
                        {"prefix", prefix},
                        {"service", "desk"},
                        {"priority", 0},
                        {"maxAttempts", max_attempts},
                        {"slackFactor", 4},
                        {"sloMs", 3000}});
    }
    json const config{
        {"version", version_},
        {"routes", rows},
        {"services", {{{"name", "desk"}, {"enforcesCapacity", false}}}},
        {"tenants",
         {{{"name", "tenant-1"},
           {"weight", 50},
           {"apiKeys", {"key-1"}},
           {"upperBound", {{"cpu", 0}, {"memMb", 0}, {"gpu", 0}}}}}},
        {"limits", {{"maxBodyBytes", 262144}}}};
    post(layout_.store_control(), "/rows",
         {{"rows",
           {{{"table", "op"}, {"key", "config"}, {"text", config.dump()}}}}});
    note("config acknowledged: " + config.dump());
}

void rig::fault_target(int target, std::string const& fault, std::int64_t ms,
                       bool keep_id)
{
    post(layout_.target_control(), "/fault",
         {{"target", target},
          {"fault", fault},
          {"ms", ms},
          {"keep_id", keep_id}});
    note("target-" + std::to_string(target + 1) + " " + fault + " for " +
         std::to_string(ms) + " ms" +
         (keep_id ? ", then up again under its id" : ""));
}

void rig::set_store(json const& faults)
{
    post(layout_.store_control(), "/faults", faults);
    note("store: " + faults.dump());
}

void rig::put_rows(json const& rows)
{
    post(layout_.store_control(), "/rows", {{"rows", rows}});
}

// Clients

std::string rig::new_id()
{
    constexpr char const* digits = "0123456789abcdef";
    std::string           id;
    for (int digit = 0; digit < 16; ++digit)
    {
        id += digits[random_() % 16];
    }
    return id;
}

void rig::call(std::string const& method, int host, std::string const& path,
               std::string const&                                body,
               std::function<void(unsigned, std::string const&)> reply)
{
    std::string const what =
        method + " " + path + " at host-" + std::to_string(host + 1);
    note("sent " + what + (body.empty() ? "" : " " + body.substr(0, 400)));
    constexpr std::int64_t wait_ms = 3'000;
    client_.send(
        {.method_ = method,
         .address_ = layout_.front(host),
         .path_ = path,
         .headers_ = {{"Host", "desk.example"},
                      {"Authorization", "Bearer key-1"},
                      {"X-Fescuevane-Deadline-Ms", std::to_string(wait_ms)}},
         .body_ = body,
         .deadline_ = io::read_clock().after(wait_ms * micros_per_milli)},
        [this, what, reply](io::http_response const& response)
        {
            note("answer to " + what + ": " + std::to_string(response.status_) +
                 " " + response.body_);
            reply(response.status_, response.body_);
        });
}

void rig::submit(std::string const& id, json const& job,
                 std::string const& prefix)
{
    jobs_[id].id_ = id;
    attempt(id, job.dump(), prefix, attempts_of_a_job);
}

void rig::attempt(std::string const& id, std::string const& body,
                  std::string const& prefix, int attempts)
{
    int host = next_host_++ % options_.hosts_;
    while (!is_running(host))
    {
        host = next_host_++ % options_.hosts_;
    }
    call("POST", host, prefix + id, body,
         [this, id, body, prefix, attempts](unsigned status, std::string const&)
         {
             client_job& job = jobs_[id];
             if (status >= 200 && status < 300)
             {
                 job.accepted_ = true;
                 job.accepted_at_ = now();
                 return;
             }
             job.refused_ = job.refused_ || status == 429 || status == 503;
             job.open_ =
                 job.open_ || status == 0 || status == 502 || status == 504;
             if (attempts > 1)
             {
                 attempt(id, body, prefix, attempts - 1);
             }
         });
}

void rig::look_up(std::string const& id, int attempts)
{
    int host = next_host_++ % options_.hosts_;
    while (!is_running(host))
    {
        host = next_host_++ % options_.hosts_;
    }
    ++open_look_ups_;
    call("GET", host, "/jobs/" + id, "",
         [this, id, attempts](unsigned status, std::string const& body)
         {
             --open_look_ups_;
             client_job& job = jobs_[id];
             job.last_status_ = status;
             json const value = json::parse(body, nullptr, false);
             if (status == 200 && value.is_object())
             {
                 job.state_ = value.value("state", "");
             }
             else if (attempts > 1 && (status == 0 || status >= 502))
             {
                 look_up(id, attempts - 1);
             }
         });
}

void rig::await_look_ups()
{
    constexpr std::int64_t most_ms = 14'000;
    run_until(
        [this]
        {
            return open_look_ups_ == 0;
        },
        most_ms);
}

// Evidence

std::map<std::string, task_history> rig::read_tasks()
{
    std::map<std::string, task_history> tasks;
    std::ifstream                       file(folder_ + "/runs.jsonl");
    std::string                         line;
    while (std::getline(file, line))
    {
        json const row = json::parse(line, nullptr, false);
        if (!row.is_object() || !row.contains("task"))
        {
            continue;
        }
        task_history&     task = tasks[row.at("task").get<std::string>()];
        auto const        at = row.at("t_us").get<std::int64_t>();
        std::string const event = row.at("event").get<std::string>();
        std::string const reason = row.value("reason", "");
        if (event == "start")
        {
            task.starts_.push_back(at);
            task.targets_.push_back(row.at("target").get<std::string>());
        }
        else if (event == "end" && reason == "done")
        {
            task.done_.push_back(at);
        }
        else if (event == "end" && reason == "failed")
        {
            task.failed_.push_back(at);
        }
        else if (event == "noted" && reason == "done")
        {
            task.noted_done_.push_back(at);
        }
    }
    return tasks;
}

std::map<std::string, std::int64_t> rig::read_told()
{
    std::map<std::string, std::int64_t> told;
    std::ifstream                       file(folder_ + "/runs.jsonl");
    std::string                         line;
    while (std::getline(file, line))
    {
        json const row = json::parse(line, nullptr, false);
        if (row.is_object() && row.value("event", "") == "told")
        {
            told[row.at("target").get<std::string>()] =
                row.at("t_us").get<std::int64_t>();
        }
    }
    return told;
}

void rig::finish()
{
    hosts_.clear();
    targets_.reset();
    std::ifstream file(folder_ + "/runs.jsonl");
    std::string   line;
    note("what the targets ran:");
    while (std::getline(file, line))
    {
        record_ << line << '\n';
    }
    std::ifstream store(folder_ + "/store.log");
    record_ << "what the store said:\n";
    int lines = 0;
    while (std::getline(store, line) && ++lines <= 40)
    {
        record_ << line << '\n';
    }
    record_.flush();
}

// Jobs

json make_step(int count, int cpu, int ms, std::vector<int> const& after)
{
    json step{
        {"count", count}, {"cpu", cpu}, {"memMb", 64}, {"estimateMs", ms}};
    if (!after.empty())
    {
        step["after"] = after;
    }
    return step;
}

json make_job(std::string const& id, std::vector<json> const& steps)
{
    json payload_steps = steps;
    for (json& step : payload_steps)
    {
        step["fails"] = false;
    }
    json const payload{
        {"id", id}, {"organisation", "tenant-1"}, {"steps", payload_steps}};
    std::vector<json> sent = steps;
    for (json& step : sent)
    {
        step.erase("failsOnce"); // only the stand-in of the targets knows it
    }
    return {{"taskSpec", payload.dump()}, {"steps", sent}};
}

bool has_trouble()
{
    char const* const value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

} // namespace fescuevane::review
