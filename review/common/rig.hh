// Purpose: a small cell of separate processes for a case: the store, targets
// and hosts, and clients that call the hosts. All addresses are loopback ones.
#ifndef FESCUEVANE_REVIEW_RIG_HH
#define FESCUEVANE_REVIEW_RIG_HH

#include "core/instant.hpp"
#include "io/http_client.hpp"
#include "tests/soak/child_process.hpp"
#include "tests/soak/layout.hpp"

#include <nlohmann/json.hpp>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace fescuevane::review
{

using nlohmann::json;

struct rig_options
{
    std::string  case_folder_;        // of record.txt
    int          hosts_ = 6;          // two in each failure domain
    int          targets_ = 12;       // four in each failure domain
    std::int64_t target_cpu_ = 64000; // thousandths of a core
};

// What clients know of a job.
struct client_job
{
    std::string  id_;
    bool         accepted_ = false;
    bool         refused_ = false; // some attempt ended with 429 or 503
    bool         open_ = false;    // some attempt has no sound answer
    std::int64_t accepted_at_ = 0; // microseconds of the steady clock
    std::string  state_;           // as last shown
    unsigned     last_status_ = 0; // of the last look-up
};

// What targets did with one task.
struct task_history
{
    std::vector<std::int64_t> starts_;
    std::vector<std::int64_t> done_;
    std::vector<std::int64_t> failed_;
    std::vector<std::int64_t> noted_done_;
    std::vector<std::string>  targets_; // of the starts, ID/LIFE
};

class rig
{
public:
    explicit rig(rig_options options);
    ~rig(); // ends all processes

    // Programs
    void               start(); // throws when the cell isn't ready in time
    void               start_host(int host);
    void               kill_host(int host); // SIGKILL
    void               term_host(int host); // SIGTERM
    bool               is_running(int host) const;
    void               signal_host(int host, int number);
    std::string const& log_of(int host) const { return host_logs_.at(host); }

    // Platform
    void put_config(std::vector<std::string> const& routes, int max_attempts);
    // `keep_id`: after a crash the target starts under the id that it had.
    void fault_target(int target, std::string const& fault, std::int64_t ms,
                      bool keep_id = false);
    void set_store(json const& faults);
    void put_rows(json const& rows);

    // Clients
    std::string new_id();
    // Hands a job in, again with the same id where the pages say so, up to four
    // times and at another host each time.
    void submit(std::string const& id, json const& job,
                std::string const& prefix = "/jobs/");
    // Asks again at another host, up to four times, while there is no answer,
    // or one of 502, 503 or 504.
    void look_up(std::string const& id, int attempts = 4);
    // Waits for the answers to all look-ups.
    void await_look_ups();
    void call(std::string const& method, int host, std::string const& path,
              std::string const&                                body,
              std::function<void(unsigned, std::string const&)> reply);
    std::map<std::string, client_job> jobs_;

    // Time
    void run_for(std::int64_t ms);
    bool run_until(std::function<bool()> const& condition, std::int64_t ms);

    // Evidence
    void                                note(std::string const& text);
    std::map<std::string, task_history> read_tasks(); // by ID.K.STEP.INDEX
    std::map<std::string, std::int64_t> read_told();  // when a life told `born`
    void         finish(); // ends the processes and appends what targets did
    std::int64_t now() const;

private:
    void attempt(std::string const& id, std::string const& body,
                 std::string const& prefix, int attempts);
    void post(std::string const& address, std::string const& path,
              json const& body);

    rig_options const                                 options_;
    soak::layout const                                layout_;
    std::string                                       folder_;
    std::ofstream                                     record_;
    std::mt19937_64                                   random_;
    io::http_client                                   client_;
    io::http_client                                   control_;
    std::unique_ptr<soak::child_process>              store_;
    std::unique_ptr<soak::child_process>              targets_;
    std::vector<std::unique_ptr<soak::child_process>> hosts_;
    std::vector<std::string>                          host_logs_;
    int                                               version_ = 0;
    int                                               next_host_ = 0;
    int                                               open_look_ups_ = 0;
};

// A step as clients write it; the targets' stand-in works `ms` on each task.
json make_step(int count, int cpu, int ms, std::vector<int> const& after = {});
// A job; the text that goes with it tells the stand-in what to run.
json make_job(std::string const& id, std::vector<json> const& steps);

// True unless the environment has TROUBLE=0.
bool has_trouble();

} // namespace fescuevane::review

#endif
