// The process of one host is killed once, right after a write to the store by which
// a job is completed, and starts again 1 s later. Jobs come and go all the time.
// LOST: 14 s (finish_s) after the end of the traffic no accepted job
// may have nothing running while a task's turn has come and there is room for it.
#include "harness.hh"

using namespace harness;

int main(int, char** argv)
{
    record::open(argv[1]);
    temporary_folder const folder;
    bool const             trouble = is_trouble();
    record::line("trouble: %s", trouble ? "yes" : "no");

    std::vector<std::string> const zones = {"zone-a", "zone-b", "zone-c"};
    store                          platform("127.0.6.1");
    run_log                        runs;
    platform.put("op", "config", make_config(3).dump());
    std::vector<std::unique_ptr<worker>> workers;
    std::vector<std::unique_ptr<host>>   hosts;
    for (std::size_t at = 0; at < zones.size(); ++at)
    {
        std::string const number = std::to_string(at + 1);
        workers.push_back(std::make_unique<worker>("127.0.6.1" + number, "worker-" + number, zones[at],
                                                   "rack-" + number, 64000, platform, runs));
        std::size_t const link = platform.add_listener("127.0.6.3" + number);
        hosts.push_back(std::make_unique<host>(
            host_options{"host-" + number, "127.0.6.2" + number, zones[at], zones,
                         platform.listener(link).address()},
            folder.path()));
        hosts.back()->start();
    }
    auto const serves = [&]
    {
        return std::all_of(hosts.begin(), hosts.end(), [](auto& one) { return one->is_ready(); }) &&
               platform.list("grant").size() == zones.size();
    };
    if (!wait_until(30'000, serves))
    {
        record::line("the cell doesn't serve");
        finish(hosts, 2);
    }
    sleep_ms(1000);

    // Each job has two steps of ten tasks of 0.1 to 0.5 s on a tenth of a core.
    std::vector<std::string> accepted;
    std::mutex               mutex;
    std::atomic<int>         next{0x1000};
    std::int64_t const       start = now_ms();
    std::int64_t const       end = start + 30'000;
    std::vector<std::thread> clients;
    for (int client = 0; client < 6; ++client)
    {
        clients.emplace_back(
            [&]
            {
                while (now_ms() < end)
                {
                    int const number = next++;
                    char      id[20];
                    std::snprintf(id, sizeof id, "%016x", number);
                    json job = make_job("work " + std::to_string(100 + number * 37 % 400), 10, 100);
                    job["steps"].push_back(job["steps"][0]);
                    job["steps"][1]["after"] = {0};
                    // Retried at the next host, as by the platform's balancer.
                    for (std::size_t attempt = 0; attempt < 4; ++attempt)
                    {
                        std::size_t const at = (static_cast<std::size_t>(number) + attempt) % hosts.size();
                        int const status = call(hosts[at]->front(), "POST", std::string("/jobs/") + id, "desk.example",
                                                "key-cafe", job.dump(), 3000)
                                               .status_;
                        if (status == 200)
                        {
                            std::lock_guard const lock(mutex);
                            accepted.push_back(id);
                            break;
                        }
                        sleep_ms(100);
                    }
                    sleep_ms(130);
                }
            });
    }
    std::thread watch(
        [&]
        {
            while (now_ms() < end)
            {
                record::line("ends that are listed and not taken note of: %zu, %zu, %zu", workers[0]->count_ends(),
                             workers[1]->count_ends(), workers[2]->count_ends());
                sleep_ms(2000);
            }
        });
    if (trouble)
    {
        sleep_ms(5'000);
        std::atomic<bool> killed{false};
        platform.set_filter(
            [&](request const& one, response const& answer)
            {
                if (one.listener_ != 0 || one.path_ != "/rows-tx" || answer.status_ != 200 || killed)
                {
                    return answer;
                }
                json const body = json::parse(one.body_);
                for (json const& row : body.value("writes", json::array()))
                {
                    bool const completes =
                        row.value("table", "") == "job" &&
                        decode_base64(row.value("value", "")).find("\"phase\":2") != std::string::npos;
                    if (completes && !killed.exchange(true))
                    {
                        record::line("the store performed a write of host-1 that completes %s",
                                     row.value("key", "").c_str());
                        hosts[0]->signal(SIGKILL);
                        return response{0, "", response::fate::reset};
                    }
                }
                return answer;
            });
        wait_until(10'000, [&] { return killed.load(); });
        sleep_ms(1'000);
        hosts[0]->wait(1000);
        hosts[0]->start();
    }
    for (auto& client : clients)
    {
        client.join();
    }
    watch.join();
    record::line("end of the traffic, %zu jobs accepted", accepted.size());
    sleep_ms(14'000);
    std::map<std::string, std::size_t> done; // tasks, by step
    for (run_event const& event : runs.list())
    {
        done[event.task_.substr(0, event.task_.rfind('.'))] += event.what_ == "done" ? 1 : 0;
    }
    // Clients ask for all jobs side by side.
    std::atomic<std::size_t>           asked{0};
    std::map<std::string, std::string> states;
    clients.clear();
    for (int client = 0; client < 6; ++client)
    {
        clients.emplace_back(
            [&]
            {
                for (std::size_t at = asked++; at < accepted.size(); at = asked++)
                {
                    std::string const& id = accepted[at];
                    reply const        answer = call(hosts[1 + at % 2]->front(), "GET", "/jobs/" + id, "desk.example",
                                                     "key-cafe", "", 3000);
                    json const body = json::parse(answer.body_, nullptr, false);
                    std::lock_guard const lock(mutex);
                    states[id] = answer.status_ == 200 && body.is_object() ? body.value("state", "") : "";
                }
            });
    }
    for (auto& client : clients)
    {
        client.join();
    }
    std::size_t stuck = 0;
    std::size_t open = 0;
    for (std::string const& id : accepted)
    {
        if (states[id] == "completed")
        {
            continue;
        }
        ++open;
        bool running = false;
        for (auto& one : workers)
        {
            for (std::string const& task : one->list_running())
            {
                running = running || task.rfind(id, 0) == 0;
            }
        }
        bool const first_done = done[id + ".0.0"] >= 10;
        bool const second_begun = done[id + ".0.1"] > 0;
        record::line("%s is shown as %s: %zu of 10 and %zu of 10 tasks ended done, %s runs", id.c_str(),
                     states[id].empty() ? "nothing" : states[id].c_str(), done[id + ".0.0"], done[id + ".0.1"],
                     running ? "a task" : "nothing");
        stuck += first_done && !second_begun && !running ? 1 : 0;
    }
    record::line("%zu of %zu accepted jobs aren't completed, %zu of them have nothing running and a step whose turn has come",
                 open, accepted.size(), stuck);
    finish(hosts, stuck > 0 ? 1 : accepted.empty() ? 2 : 0);
}
